package cli

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/anvilfork/anvilfork/core/config"
)

const diffHelp = `Prints one line per change, marked with "!" and the risk if it is risky.
The file of -use holds a JSON object that maps paths such as "workspace[a].rate"
to their current use; lowering a limit to a value above its use is no risk.`

func runDiff(e *env, args []string) ExitCode {
	f := e.newFlags("diff", "OLD NEW", diffHelp)
	asJSON := f.Bool("json", false, "print JSON")
	failOnRisk := f.Bool("strict", false, "exit with 3 when a change is risky")
	usagePath := f.String("use", "", "`file` with the current use of limits")
	if code, ok := e.parse(f, args, 2); !ok {
		return code
	}
	limitUsage, err := readUsageFile(*usagePath)
	if err != nil {
		return e.usageError(f, err)
	}
	oldConfig, err := e.readConfig(f.Arg(0))
	if err != nil {
		return e.reportConfigError(f.Arg(0), err)
	}
	newConfig, err := e.readConfig(f.Arg(1))
	if err != nil {
		return e.reportConfigError(f.Arg(1), err)
	}
	changes := config.DiffWithUsage(oldConfig, newConfig, limitUsage)
	code := ExitOK
	if *failOnRisk && hasRisk(changes) {
		code = ExitRisk
	}
	if *asJSON {
		return e.printJSON(append([]config.Change{}, changes...), code)
	}
	e.printChanges(changes)
	return code
}

// readUsageFile reads the current use of limits. It returns nil for an empty path.
func readUsageFile(path string) (config.Usage, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var limitUsage config.Usage
	if err := json.Unmarshal(data, &limitUsage); err != nil {
		return nil, &UsageFileError{Path: path, Reason: err.Error()}
	}
	return limitUsage, nil
}

// UsageFileError reports a file given with -use that is not valid JSON.
type UsageFileError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *UsageFileError) Error() string { return "use file " + e.Path + ": " + e.Reason }

func hasRisk(changes []config.Change) bool {
	for _, c := range changes {
		if c.Risk != config.RiskNone {
			return true
		}
	}
	return false
}

// printChanges prints one line per change. A field without an old value was added,
// one without a new value was removed.
func (e *env) printChanges(changes []config.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(e.stdout, "no changes")
	}
	for _, c := range changes {
		marker := " "
		if c.Risk != config.RiskNone {
			marker = "!"
		}
		switch {
		case c.Old == "":
			fmt.Fprintf(e.stdout, "%s %s added", marker, c.Path)
		case c.New == "":
			fmt.Fprintf(e.stdout, "%s %s removed", marker, c.Path)
		default:
			fmt.Fprintf(e.stdout, "%s %s: %s -> %s", marker, c.Path, c.Old, c.New)
		}
		if c.Risk != config.RiskNone {
			fmt.Fprintf(e.stdout, "  [%s]", c.Risk)
		}
		if c.Note != "" {
			fmt.Fprintf(e.stdout, " %s", c.Note)
		}
		fmt.Fprintln(e.stdout)
	}
}
