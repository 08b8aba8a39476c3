// Command standins2 plays the cases of the second review: it starts the project's
// processes, and stand-ins of the platform, the searchers and the clients, and checks
// one rule by what these see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case and reports whether the rule was broken.
type scenario func(p *play) (broken bool, err error)

var scenarios = map[string]scenario{"poison": playPoison, "cold": playCold, "gone": playGone, "away": playAway}

// play is what a scenario needs.
type play struct {
	root    string // the repository
	dir     string // temporary
	trouble bool
	record  *record
}

func main() {
	root := flag.String("root", ".", "the repository, with target/anvilforkd")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	go endInTime()
	os.Exit(run(*root, *path, flag.Arg(0)))
}

const maxTime = 115 * time.Second

// endInTime ends the processes and this program on a signal, or if it takes too long.
func endInTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	killStarted()
	os.Exit(fail(errors.New("ended before the case was played")))
}

func run(root, path, name string) int {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(dir)
	r, err := newRecord(path)
	if err != nil {
		return fail(err)
	}
	defer r.close()
	if root, err = filepath.Abs(root); err != nil {
		return fail(err)
	}
	s := scenarios[name]
	if s == nil {
		return fail(errors.New("unknown scenario " + name))
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" { // for a look at the processes' logs by hand
		dir = keep
	}
	broken, err := s(&play{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: r})
	switch {
	case err != nil:
		r.add("not run: %v", err)
		return fail(err)
	case broken:
		r.say("the rule was broken")
		return exitBroken
	}
	r.say("the rule held")
	return exitHeld
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "standins2:", err)
	return exitNotRun
}
