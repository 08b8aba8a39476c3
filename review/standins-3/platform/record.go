package main

import (
	"bufio"
	"fmt"
	"os"
	"time"
)

// recorder writes what was sent, answered and run, with the time since its start.
type recorder struct {
	owner owner // of out
	begin time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{owner: newOwner(), begin: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (r *recorder) add(format string, args ...any) {
	r.owner.do(func() {
		fmt.Fprintf(r.out, "%9.4f ", time.Since(r.begin).Seconds())
		fmt.Fprintf(r.out, format, args...)
		_ = r.out.WriteByte('\n') // an error shows at close
	})
}

func (r *recorder) close() error {
	var err error
	r.owner.do(func() { err = r.out.Flush() })
	if err != nil {
		return err
	}
	return r.file.Close()
}
