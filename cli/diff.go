package cli

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/anvilfork/anvilfork/core/config"
)

const diffHelp = `Prints one line a change, with "!" and the risk where there is one.
The file of -use holds a JSON object from paths such as "workspace[a].rate" to
present use; a lowered limit that is above its use is no risk.`

func runDiff(e *env, args []string) ExitCode {
	f := e.flags("diff", "OLD NEW", diffHelp)
	asJSON := f.Bool("json", false, "print JSON")
	strictly := f.Bool("strict", false, "exit with 3 when a change has a risk")
	usePath := f.String("use", "", "`file` with the present use of limits")
	if code, ok := e.parse(f, args, 2); !ok {
		return code
	}
	use, err := readUse(*usePath)
	if err != nil {
		return e.misused(f, err)
	}
	old, err := e.read(f.Arg(0))
	if err != nil {
		return e.unreadable(f.Arg(0), err)
	}
	new, err := e.read(f.Arg(1))
	if err != nil {
		return e.unreadable(f.Arg(1), err)
	}
	changes := config.DiffWithUsage(old, new, use)
	code := ExitOK
	if *strictly && risky(changes) {
		code = ExitRisk
	}
	if *asJSON {
		return e.json(append([]config.Change{}, changes...), code)
	}
	e.printChanges(changes)
	return code
}

func readUse(path string) (config.Usage, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var use config.Usage
	if err := json.Unmarshal(text, &use); err != nil {
		return nil, &UseFileError{Path: path, Reason: err.Error()}
	}
	return use, nil
}

// UseFileError reports a file of present use that cannot be read.
type UseFileError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *UseFileError) Error() string { return "use file " + e.Path + ": " + e.Reason }

func risky(changes []config.Change) bool {
	for _, c := range changes {
		if c.Risk != config.RiskNone {
			return true
		}
	}
	return false
}

func (e *env) printChanges(changes []config.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(e.stdout, "no changes")
	}
	for _, c := range changes {
		mark := " "
		if c.Risk != config.RiskNone {
			mark = "!"
		}
		switch {
		case c.Old == "":
			fmt.Fprintf(e.stdout, "%s %s added", mark, c.Path)
		case c.New == "":
			fmt.Fprintf(e.stdout, "%s %s removed", mark, c.Path)
		default:
			fmt.Fprintf(e.stdout, "%s %s: %s -> %s", mark, c.Path, c.Old, c.New)
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
