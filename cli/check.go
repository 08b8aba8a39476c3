package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/anvilfork/anvilfork/core/config"
)

// checkResult is the JSON output of check. For an invalid document it holds only
// the violations.
type checkResult struct {
	Valid      bool               `json:"valid"`
	Revision   uint64             `json:"revision,omitempty"`
	Digest     string             `json:"digest,omitempty"`
	Zones      int                `json:"zones"`
	Services   int                `json:"services"`
	Shards     int                `json:"groups"`
	Targets    int                `json:"targets"`
	Workspaces int                `json:"workspaces"`
	Violations []config.Violation `json:"mistakes"`
}

func runCheck(e *env, args []string) ExitCode {
	f := e.newFlags("check", "FILE", "Exits with 1 and lists all violations when the document is not valid.")
	asJSON := f.Bool("json", false, "print JSON, violations included")
	if code, ok := e.parse(f, args, 1); !ok {
		return code
	}
	c, err := e.readConfig(f.Arg(0))
	var invalid *config.InvalidDocumentError
	switch {
	case err == nil && *asJSON:
		return e.printJSON(newCheckResult(c), ExitOK)
	case err == nil:
		s := newCheckResult(c)
		fmt.Fprintf(e.stdout, "revision %d is valid: %d availability zones, %d services, %d groups, %d targets, %d workspaces\n",
			s.Revision, s.Zones, s.Services, s.Shards, s.Targets, s.Workspaces)
		return ExitOK
	case *asJSON && errors.As(err, &invalid):
		return e.printJSON(checkResult{Violations: invalid.Violations}, ExitFailed)
	}
	return e.reportConfigError(f.Arg(0), err)
}

func newCheckResult(c *config.Config) checkResult {
	s := checkResult{
		Valid: true, Revision: c.Revision, Digest: c.Digest.String(), Zones: len(c.Zones),
		Services: len(c.Services), Workspaces: len(c.Workspaces), Violations: []config.Violation{},
	}
	for i := range c.Services {
		s.Shards += len(c.Services[i].Shards)
		for _, shard := range c.Services[i].Shards {
			s.Targets += len(shard.Targets)
		}
	}
	return s
}

// readConfig reads and parses a configuration document. It returns a
// *config.InvalidDocumentError for a document with violations.
func (e *env) readConfig(path string) (*config.Config, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return config.Parse(document)
}

// reportConfigError prints an error of readConfig: each violation on a line with
// the file name, as compilers do, or why the file cannot be read.
func (e *env) reportConfigError(path string, err error) ExitCode {
	var invalid *config.InvalidDocumentError
	if !errors.As(err, &invalid) {
		fmt.Fprintln(e.stderr, "anvilfork:", err)
		return ExitUsage
	}
	for _, violation := range invalid.Violations {
		fmt.Fprintf(e.stderr, "%s: %s\n", path, violation)
	}
	return ExitFailed
}
