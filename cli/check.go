package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/anvilfork/anvilfork/core/config"
)

// checkResult is the result of check for programs.
type checkResult struct {
	Valid      bool               `json:"valid"`
	Revision   uint64             `json:"revision,omitempty"`
	Digest     string             `json:"digest,omitempty"`
	Zones      int                `json:"zones"`
	Services   int                `json:"services"`
	Groups     int                `json:"groups"`
	Targets    int                `json:"targets"`
	Workspaces int                `json:"workspaces"`
	Mistakes   []config.Violation `json:"mistakes"`
}

func runCheck(e *env, args []string) ExitCode {
	f := e.flags("check", "FILE", "Exits with 1 and lists every mistake when the text is not valid.")
	asJSON := f.Bool("json", false, "print JSON, mistakes included")
	if code, ok := e.parse(f, args, 1); !ok {
		return code
	}
	c, err := e.read(f.Arg(0))
	var invalid *config.InvalidDocumentError
	switch {
	case err == nil && *asJSON:
		return e.json(summary(c), ExitOK)
	case err == nil:
		s := summary(c)
		fmt.Fprintf(e.stdout, "revision %d is valid: %d availability zones, %d services, %d groups, %d targets, %d workspaces\n",
			s.Revision, s.Zones, s.Services, s.Groups, s.Targets, s.Workspaces)
		return ExitOK
	case *asJSON && errors.As(err, &invalid):
		return e.json(checkResult{Mistakes: invalid.Violations}, ExitFailed)
	}
	return e.unreadable(f.Arg(0), err)
}

func summary(c *config.Config) checkResult {
	s := checkResult{
		Valid: true, Revision: c.Revision, Digest: c.Digest.String(), Zones: len(c.Zones),
		Services: len(c.Services), Workspaces: len(c.Workspaces), Mistakes: []config.Violation{},
	}
	for i := range c.Services {
		s.Groups += len(c.Services[i].Shards)
		for _, g := range c.Services[i].Shards {
			s.Targets += len(g.Targets)
		}
	}
	return s
}

// read reads and parses the configuration text in a file.
func (e *env) read(path string) (*config.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return config.Parse(text)
}

// unreadable reports a file that read refused: all mistakes of a bad text with
// the file's name, as compilers show them, or why the file cannot be read.
func (e *env) unreadable(path string, err error) ExitCode {
	var invalid *config.InvalidDocumentError
	if !errors.As(err, &invalid) {
		fmt.Fprintln(e.stderr, "anvilfork:", err)
		return ExitUsage
	}
	for _, m := range invalid.Violations {
		fmt.Fprintf(e.stderr, "%s: %s\n", path, m)
	}
	return ExitFailed
}
