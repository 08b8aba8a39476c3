// Command standins3 plays the cases of this review against processes of the query tier.
// It contains the stand-ins of the platform's store, the searchers and the clients.
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
	exitNoRun  = 2
)

// maxPlay bounds a run.
const maxPlay = 115 * time.Second

// play is the environment of a case.
type play struct {
	root, dir string
	rec       *recorder
	trouble   bool
	st        *store
	fleet     *fleet
}

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(*play) error{
	"late":   playLate,
	"poison": playPoison,
	"seeds":  playSeeds,
	"refund": playRefund,
}

func main() {
	name := flag.String("case", "", "case to play")
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(exitNoRun)
	}
	os.Exit(runCase(run, *root, *record))
}

func runCase(run func(*play) error, root, record string) int {
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer os.RemoveAll(dir)
	p := &play{root: root, dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan error, 1)
	go func() { ended <- run(p) }()
	select {
	case err = <-ended:
	case <-stop:
		err = errors.New("interrupted")
	case <-time.After(maxPlay):
		err = errors.New("the run took too long")
	}
	if p.fleet != nil {
		p.fleet.stopAll()
	}
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
	case err != nil:
		code = exitNoRun
	}
	rec.add("exit %d: %v", code, err)
	fmt.Printf("exit %d: %v\n", code, err)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" && p.fleet != nil {
		for _, v := range p.fleet.vms {
			if text, err := os.ReadFile(filepath.Join(dir, v.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, v.name+".log"), text, 0o600) // for debugging only
			}
		}
	}
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	return code
}

// setUp starts the store and prepares the VMs, one for each zone given.
func (p *play) setUp(zones []string, seeds int) error {
	var storeErr error
	fleet, err := newFleet(p.root, p.dir, p.rec, func(network string) string {
		p.st, storeErr = newStore(network + ".250:0")
		if storeErr != nil {
			return ""
		}
		return p.st.address
	}, zones, seeds)
	if storeErr != nil {
		return storeErr
	}
	if err != nil {
		return err
	}
	p.fleet = fleet
	return nil
}
