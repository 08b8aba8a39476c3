// Package cli implements the anvilfork command. It parses the command line, runs
// the named verb, writes results to standard output and errors to standard error,
// and returns the exit code of the process. Each verb has a file of its own.
package cli

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
)

// ExitCode is the exit status of the process.
type ExitCode int

// Exit codes of the program.
const (
	ExitOK     ExitCode = 0
	ExitFailed ExitCode = 1 // the verb ran and failed, or its result is negative
	ExitUsage  ExitCode = 2 // the command line is invalid, or a file cannot be read
	ExitRisk   ExitCode = 3 // diff -strict found a risky change
)

// verb is a subcommand. Its name may consist of several words, as in "key new".
type verb struct {
	name    string
	summary string
	run     func(e *env, args []string) ExitCode
}

// env holds the output streams of a verb.
type env struct {
	stdout io.Writer
	stderr io.Writer
}

func verbs() []verb {
	return []verb{
		{"check", "validate a configuration document", runCheck},
		{"diff", "compare two configuration documents and report risky changes", runDiff},
		{"key new", "generate a workspace key", runKeyNew},
		{"query", "send one query", runQuery},
		{"status", "show the whole fleet", runStatus},
		{"dump", "print the state of one VM", runDump},
		{"wait", "wait until the whole fleet has a configuration revision", runWait},
		{"demo", "run a fleet in this process and inject failures", runDemo},
		{"version", "print the version", runVersion},
	}
}

// Run executes the verb that args name, without the program name, and returns
// the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	e := &env{stdout: stdout, stderr: stderr}
	return int(e.dispatch(args))
}

func (e *env) dispatch(args []string) ExitCode {
	if len(args) == 0 {
		usage(e.stderr)
		return ExitUsage
	}
	for _, v := range verbs() {
		words := strings.Fields(v.name)
		if len(args) >= len(words) && slices.Equal(args[:len(words)], words) {
			return v.run(e, args[len(words):])
		}
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		usage(e.stdout)
		return ExitOK
	}
	fmt.Fprintf(e.stderr, "anvilfork: verb %q does not exist%s\n", strings.Join(args[:min(len(args), 2)], " "), suggestion(args[0]))
	usage(e.stderr)
	return ExitUsage
}

// suggestion names the verbs that begin with the first letter of word. It is empty
// when there are none.
func suggestion(word string) string {
	var candidates []string
	for _, v := range verbs() {
		if word != "" && strings.HasPrefix(v.name, word[:1]) {
			candidates = append(candidates, fmt.Sprintf("%q", v.name))
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return "; did you mean " + strings.Join(candidates, " or ") + "?"
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: anvilfork VERB [flags] [arguments]; -h after a verb shows its flags")
	for _, v := range verbs() {
		fmt.Fprintf(w, "  %-9s %s\n", v.name, v.summary)
	}
}

// verbFlags is the flag set of a verb and the texts of its usage message.
type verbFlags struct {
	*flag.FlagSet
	arguments string // operands after the flags, as the usage message shows them
	help      string // may be empty
}

// newFlags returns the flag set of a verb. Nothing is printed while it parses;
// the caller prints the usage message.
func (e *env) newFlags(name, arguments, help string) *verbFlags {
	f := &verbFlags{FlagSet: flag.NewFlagSet(name, flag.ContinueOnError), arguments: arguments, help: help}
	f.SetOutput(io.Discard)
	f.Usage = func() {}
	return f
}

func (f *verbFlags) printUsage(w io.Writer) {
	fmt.Fprintln(w, strings.TrimRight(fmt.Sprintf("usage: anvilfork %s [flags] %s", f.Name(), f.arguments), " "))
	if f.help != "" {
		fmt.Fprintln(w, f.help)
	}
	f.SetOutput(w)
	f.PrintDefaults()
}

// parse parses the flags and requires wantOperands operands after them. It returns
// false and the exit code when the verb must not run: after a request for help,
// which is printed to standard output, or a usage error.
func (e *env) parse(f *verbFlags, args []string, wantOperands int) (ExitCode, bool) {
	err := f.Parse(args)
	if err == nil && f.NArg() != wantOperands {
		err = &OperandsError{Verb: f.Name(), Want: wantOperands, Got: f.NArg()}
	}
	if err == nil {
		return ExitOK, true
	}
	if errors.Is(err, flag.ErrHelp) {
		f.printUsage(e.stdout)
		return ExitOK, false
	}
	return e.usageError(f, err), false
}

// usageError prints err and the usage message of the verb to standard error.
func (e *env) usageError(f *verbFlags, err error) ExitCode {
	fmt.Fprintln(e.stderr, "anvilfork:", err)
	f.printUsage(e.stderr)
	return ExitUsage
}

// OperandsError reports a command line with too few or too many operands.
type OperandsError struct {
	Verb      string
	Want, Got int
}

// Error implements error.
func (e *OperandsError) Error() string {
	return fmt.Sprintf("%s takes %d arguments after its flags, got %d", e.Verb, e.Want, e.Got)
}

// printJSON writes result as indented JSON to standard output. It returns code, or
// ExitFailed when the result cannot be written.
func (e *env) printJSON(result any, code ExitCode) ExitCode {
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result); err != nil {
		fmt.Fprintln(e.stderr, "anvilfork:", err)
		return ExitFailed
	}
	return code
}
