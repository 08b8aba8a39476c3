package main

import (
	"fmt"
	"os"
	"time"
)

// record is the file that lists what was sent, answered and run. It is safe for
// concurrent use.
type record struct {
	mu    guard
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{mu: newGuard(), file: f, start: time.Now()}, nil
}

// add writes a line with the time since the start in seconds.
func (r *record) add(format string, args ...any) {
	r.addAt(time.Now(), format, args...)
}

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() { _ = r.file.Close() }
