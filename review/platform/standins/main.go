// Command standins plays the cases of this review: it starts the system's processes
// with the command of the deploy file, and the stand-ins of platform, searchers and
// clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(rec *recorder, root string, trouble bool) bool{
	"quota-lift": quotaLift,
	"evacuate":   evacuate,
	"leave":      leave,
	"upload":     upload,
	"rename":     rename,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "use: standins CASE REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	rec := newRecorder()
	broken := cases[os.Args[1]](rec, os.Args[2], os.Getenv("TROUBLE") != "0")
	rec.write(os.Args[3])
	if broken {
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
