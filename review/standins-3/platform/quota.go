package main

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Bounds of the rule on quotas.
const (
	quotaWindow = 5 * time.Second // QuotaWindowS
	quotaOver   = 0.25            // QuotaOver
	quotaSlack  = 20.0            // QuotaSlack
)

// firstRuns holds when each request was run first.
type firstRuns struct {
	owner owner
	at    map[string]time.Time
}

func newFirstRuns() *firstRuns {
	return &firstRuns{owner: newOwner(), at: make(map[string]time.Time)}
}

func (f *firstRuns) add(r run) {
	f.owner.do(func() {
		if f.at[r.request].IsZero() {
			f.at[r.request] = r.at
		}
	})
}

func (f *firstRuns) times() (all map[string]time.Time) {
	f.owner.do(func() { all = maps.Clone(f.at) })
	return all
}

// checkQuota compares the requests of a tenant that were both sent and run within a
// window with what its rate and burst allow. ran holds when each was run first.
func (p *play) checkQuota(all []answered, ran map[string]time.Time, rate, burst int) error {
	type counted struct{ sent, ran time.Time }
	var requests []counted
	statuses, notRun := map[int]int{}, 0
	for _, a := range all {
		statuses[a.status]++
		if at, found := ran[a.id]; found {
			requests = append(requests, counted{a.sent, at})
			if a.promisesNotRun() {
				notRun++
			}
		}
	}
	slices.SortFunc(requests, func(a, b counted) int { return a.sent.Compare(b.sent) })
	most, mostAt := 0, p.rec.begin
	for i, first := range requests {
		n := 0
		for _, c := range requests[i:] {
			if c.sent.Sub(first.sent) > quotaWindow {
				break
			}
			if c.ran.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, mostAt = n, first.sent
		}
	}
	allowed := (float64(rate)*quotaWindow.Seconds()+float64(burst))*(1+quotaOver) + quotaSlack
	p.report("%d requests, statuses %v, %d ran though answered as not run; at most %d were sent and run in %v, from %.3f s; allowed %.0f",
		len(all), statuses, notRun, most, quotaWindow, mostAt.Sub(p.rec.begin).Seconds(), allowed)
	if float64(most) > allowed {
		return errBroken
	}
	return nil
}

// report writes the outcome of a case to its record and to the terminal.
func (p *play) report(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	p.rec.add("%s", text)
	fmt.Println(text)
}
