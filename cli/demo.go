package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/anvilfork/anvilfork/demo"
	"github.com/anvilfork/anvilfork/examples"
)

func runDemo(e *env, args []string) ExitCode {
	f := e.newFlags("demo", "", "")
	documentPath := f.String("text", "", "configuration document; empty uses the built-in example")
	asJSON := f.Bool("json", false, "print the result as JSON to standard output")
	if code, ok := e.parse(f, args, 0); !ok {
		return code
	}
	document, err := demoDocument(*documentPath)
	if err != nil {
		fmt.Fprintln(e.stderr, "anvilfork:", err)
		return ExitUsage
	}
	r, err := demo.Run(context.Background(), document, e.stderr)
	if err != nil {
		fmt.Fprintln(e.stderr, "anvilfork:", err)
		return ExitFailed
	}
	if *asJSON {
		err = json.NewEncoder(e.stdout).Encode(r)
	} else {
		printDemoResult(e.stdout, r)
	}
	if err != nil || !r.OK() {
		return ExitFailed
	}
	return ExitOK
}

func demoDocument(path string) ([]byte, error) {
	if path == "" {
		return examples.Matlane, nil
	}
	return os.ReadFile(path)
}

func printDemoResult(w io.Writer, r demo.Result) {
	rows := []struct {
		name  string
		value any
	}{
		{"queries", r.Queries}, {"answered whole", r.AnsweredWhole}, {"answered partial", r.AnsweredPartial},
		{"refused, not run", r.RefusedNotRun}, {"outcome unknown", r.OutcomeUnknown},
		{"mixed snapshots (must be 0)", r.MixedSnapshots}, {"wrong coverage (must be 0)", r.WrongCoverage},
		{"key leaks (must be 0)", r.KeyLeaks}, {"p50 ms", r.P50Ms}, {"p99 ms", r.P99Ms},
	}
	for _, row := range rows {
		fmt.Fprintf(w, "%-28s %v\n", row.name, row.value)
	}
}
