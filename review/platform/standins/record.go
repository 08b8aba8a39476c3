package main

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"time"
)

// event is one thing that a client, a searcher or the operator has seen.
type event struct {
	at     time.Duration // since the start of the run
	kind   string
	id     string // request id
	where  string
	detail string
}

// recorder keeps all events and writes them to record.txt.
type recorder struct {
	mu     guard
	start  time.Time
	events []event
}

func newRecorder() *recorder { return &recorder{mu: newGuard(), start: time.Now()} }

func (r *recorder) now() time.Duration { return time.Since(r.start) }

func (r *recorder) add(e event) time.Duration {
	r.mu.lock()
	defer r.mu.unlock()
	e.at = time.Since(r.start)
	r.events = append(r.events, e)
	return e.at
}

// note records what the operator or the script does.
func (r *recorder) note(format string, args ...any) time.Duration {
	text := fmt.Sprintf(format, args...)
	at := r.add(event{kind: "note", detail: text})
	fmt.Printf("%8.3f s  %s\n", at.Seconds(), text)
	return at
}

func (r *recorder) all() []event {
	r.mu.lock()
	defer r.mu.unlock()
	return append([]event(nil), r.events...)
}

func (r *recorder) write(path string) {
	all := r.all()
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	f, err := os.Create(path)
	check(err)
	w := bufio.NewWriter(f)
	for _, e := range all {
		fmt.Fprintf(w, "%10.4f %-9s %-14s %-12s %s\n", e.at.Seconds(), e.kind, e.id, e.where, e.detail)
	}
	check(w.Flush())
	check(f.Close())
}
