package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/anvilfork/anvilfork/daemon"
)

const statusHelp = "Prints the state of the whole fleet. The VM collects it from all others over its peer connections.\n" +
	"Exits with 1 when a VM does not answer. " + adminKeyHelp

func runStatus(e *env, args []string) ExitCode {
	f := e.newFlags("status", "", statusHelp)
	baseURL := f.String("url", "", "base `URL` of the admin interface of a VM")
	ca := f.ca()
	asJSON := f.Bool("json", false, "print JSON")
	interval := f.Duration("watch", 0, "print again after each `interval`; 0 prints once")
	maxPrints := f.Int("times", 0, "with -watch, number of prints after which to end; 0 never ends")
	if code, ok := e.parse(f, args, 0); !ok {
		return code
	}
	c, err := newAdminClient(*baseURL, *ca)
	switch {
	case err != nil:
		return e.usageError(f, err)
	case *interval < 0:
		return e.usageError(f, &FlagError{Flag: "watch", Value: interval.String(), Reason: "must not be below 0"})
	case *maxPrints < 0:
		return e.usageError(f, &FlagError{Flag: "times", Value: fmt.Sprint(*maxPrints), Reason: "must not be below 0"})
	}
	defer c.close()
	code := e.printStatus(c, *asJSON)
	for n := 1; *interval > 0 && n != *maxPrints; n++ {
		time.Sleep(*interval)
		fmt.Fprintln(e.stdout)
		code = e.printStatus(c, *asJSON)
	}
	return code
}

// printStatus fetches and prints the status once. It returns ExitFailed unless all
// VMs respond.
func (e *env) printStatus(c *adminClient, asJSON bool) ExitCode {
	var dump daemon.FleetDump
	if err := c.getJSON(context.Background(), fleetPath, &dump); err != nil {
		return e.reportFailure(err)
	}
	s := summarize(&dump)
	code := ExitOK
	if s.ResponsiveVMs < len(s.VMs) {
		code = ExitFailed
	}
	if asJSON {
		return e.printJSON(s, code)
	}
	s.print(e.stdout)
	return code
}
