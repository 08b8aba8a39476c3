// Command soak runs a fleet of daemon processes on loopback addresses, injects
// faults into the processes, their connections, the targets and the store, and
// checks the guarantees to callers and targets. A seed determines the faults and
// their times. The exit status is 1 if any seed has a violation.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	bin := flag.String("bin", "bin/anvilforkd", "path of the daemon binary")
	seed := flag.Int64("seed", 1, "seed of the run")
	seeds := flag.String("seeds", "", "range A..B of seeds to run instead of -seed")
	duration := flag.Duration("for", 20*time.Second, "duration of the fault injection")
	list := flag.Bool("list", false, "print the schedule of faults and exit")
	dir := flag.String("dir", "", "directory for settings and logs; a temporary one if empty")
	flag.Parse()
	first, last, err := seedRange(*seed, *seeds)
	if err != nil || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := runSeeds(ctx, *bin, *dir, first, last, *duration, *list)
	stop()
	os.Exit(code)
}

func seedRange(seed int64, seeds string) (first, last int64, err error) {
	if seeds == "" {
		return seed, seed, nil
	}
	a, b, _ := strings.Cut(seeds, "..")
	if first, err = strconv.ParseInt(a, 10, 64); err != nil {
		return 0, 0, err
	}
	last, err = strconv.ParseInt(b, 10, 64)
	return first, last, err
}

func runSeeds(ctx context.Context, bin, dir string, first, last int64, duration time.Duration, list bool) int {
	if dir == "" {
		tempDir, err := os.MkdirTemp("", "soak")
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			return exitFailure
		}
		dir = tempDir
	}
	failed := 0
	for seed := first; seed <= last && ctx.Err() == nil; seed++ {
		if list {
			for _, s := range schedule(seed, duration) {
				fmt.Println(s)
			}
			continue
		}
		r, err := runSeed(ctx, bin, dir, seed, duration)
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			return exitFailure
		}
		if !report(r) {
			failed++
		}
	}
	if failed > 0 {
		fmt.Printf("%d seeds failed\n", failed)
		return exitFailure
	}
	return 0
}

// report prints the result of a seed and returns true if it has no violations.
func report(r *result) bool {
	fmt.Printf("seed %d: %d calls, %d answered, %d violations\n", r.seed, r.calls, r.answered, len(r.violations))
	if len(r.violations) == 0 {
		return true
	}
	const maxShown = 5
	for _, v := range r.violations[:min(len(r.violations), maxShown)] {
		fmt.Println("  violated:", v)
	}
	for _, s := range r.timeline {
		fmt.Println("  ", s)
	}
	fmt.Println("  logs:", r.logs)
	return false
}
