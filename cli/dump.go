package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/anvilfork/anvilfork/daemon"
)

const dumpHelp = "Prints the state of all tasks of one VM as JSON; docs/api.md describes the fields.\n" +
	"Exits with 1 when a task does not answer. " + adminKeyHelp

func runDump(e *env, args []string) ExitCode {
	f := e.newFlags("dump", "", dumpHelp)
	baseURL := f.String("url", "", "base `URL` of the admin interface of a VM")
	ca := f.ca()
	if code, ok := e.parse(f, args, 0); !ok {
		return code
	}
	c, err := newAdminClient(*baseURL, *ca)
	if err != nil {
		return e.usageError(f, err)
	}
	defer c.close()
	body, err := c.get(context.Background(), "/v1/dump")
	if err != nil {
		return e.reportFailure(err)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, bytes.TrimSpace(body), "", "  "); err != nil {
		return e.reportFailure(&AdminError{URL: c.url, Reason: err.Error()})
	}
	fmt.Fprintln(e.stdout, indented.String())
	var dump daemon.Dump
	if err := json.Unmarshal(body, &dump); err != nil {
		return e.reportFailure(&AdminError{URL: c.url, Reason: err.Error()})
	}
	if len(dump.NotAnswering) > 0 {
		return e.reportFailure(&AdminError{URL: c.url, Reason: "unresponsive tasks: " + strings.Join(dump.NotAnswering, ", ")})
	}
	return ExitOK
}
