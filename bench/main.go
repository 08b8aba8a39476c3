// Command bench compares the query tier with a naive policy under the same load, with
// stand-in targets on loopback. It prints a table of latency quantiles, coverage,
// extra load, refusals and the goodput of the worst-served workspace.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilfork/anvilfork/core/config"
)

type options struct {
	documentPath     string
	vms              int
	runDuration      time.Duration
	warmUpDuration   time.Duration
	queriesPerSecond float64 // total of all workspaces
	seed             int64
	scenario         string
}

func main() {
	var o options
	flag.StringVar(&o.documentPath, "text", "examples/matlane.toml", "path of the configuration document")
	flag.IntVar(&o.vms, "vms", 8, "number of VMs, for either policy")
	flag.DurationVar(&o.runDuration, "duration", 10*time.Second, "duration of one measurement")
	flag.DurationVar(&o.warmUpDuration, "warm-up", 2*time.Second, "duration of the load before a measurement")
	flag.Float64Var(&o.queriesPerSecond, "rate", 200, "queries per second, total of all workspaces")
	flag.Int64Var(&o.seed, "seed", 1, "seed of arrival times, service times and stragglers")
	flag.StringVar(&o.scenario, "scenario", "", "name of the scenario to run; empty runs all")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	document, err := os.ReadFile(o.documentPath)
	if err != nil {
		return errors.Wrap(err, "reading the configuration document")
	}
	parsed, err := config.Parse(document)
	if err != nil {
		return errors.Wrap(err, "parsing the configuration document")
	}
	fmt.Printf("text %s, %d VMs, %.0f queries/s, %v a run, seed %d\n\n", o.documentPath, o.vms, o.queriesPerSecond, o.runDuration, o.seed)
	printHeader()
	for _, s := range scenarios() {
		if o.scenario != "" && o.scenario != s.name {
			continue
		}
		for _, p := range []policy{policyNaive, policyTier} {
			r, err := measure(context.Background(), o, document, parsed, s, p)
			if err != nil {
				return errors.Wrapf(err, "scenario %s, %s", s.name, p)
			}
			printRow(s.name, p, r)
		}
	}
	return nil
}
