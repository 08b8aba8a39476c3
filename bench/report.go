package main

import (
	"fmt"
	"time"
)

const percent = 100

// printHeader starts the Markdown table of the results.
func printHeader() {
	fmt.Println("| scenario | policy | queries | p50 ms | p99 ms | p99.9 ms | coverage | extra load | refused | rate refused | worst workspace goodput |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
}

// printRow prints the figures of one measurement, and its refusals by code in a
// comment. Refusals for the rate have a column of their own.
func printRow(scenario string, p policy, r result) {
	refused := r.RefusedNotRun + r.OutcomeUnknown - r.RateRefused
	fmt.Printf("| %s | %s | %d | %s | %s | %s | %.5f | %.1f%% | %d | %d | %.4f |\n",
		scenario, p, r.Queries, ms(r.P50), ms(r.P99), ms(r.P999), r.MeanCoverage,
		r.ExtraLoadRatio*percent, refused, r.RateRefused, r.WorstGoodput(r.NoisyWorkspace))
	if len(r.Refusals) > 0 {
		fmt.Printf("<!-- %s %s refusals: %v, shed attempts: %d -->\n", scenario, p, r.Refusals, r.ShedAttempts)
	}
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }
