package cli

import (
	"fmt"
	"runtime"
)

// Version is the version of the anvilfork command.
const Version = "0.1.0"

func runVersion(e *env, args []string) ExitCode {
	f := e.newFlags("version", "", "")
	asJSON := f.Bool("json", false, "print JSON")
	if code, ok := e.parse(f, args, 0); !ok {
		return code
	}
	if *asJSON {
		return e.printJSON(struct {
			Version string `json:"version"`
			Go      string `json:"go"`
		}{Version, runtime.Version()}, ExitOK)
	}
	fmt.Fprintln(e.stdout, "anvilfork", Version)
	return ExitOK
}
