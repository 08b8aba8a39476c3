package gateway

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	logBufferLines = 2048 // lines waiting for the output; further lines are dropped
	// maxLinesPerSecond bounds the lines about requests that a task logs in a
	// second. A VM answers fewer requests than that; the bound limits the log during
	// a flood.
	maxLinesPerSecond = 400
)

// NewLogOutput returns a writer that never blocks. A separate goroutine writes the
// lines to w. Lines are dropped while the buffer is full, and their number is
// logged.
func NewLogOutput(w io.Writer) io.WriteCloser {
	logger := zerolog.New(w).With().Timestamp().Logger()
	return diode.NewWriter(w, logBufferLines, 0, func(dropped int) {
		logger.Warn().Str("event", "log_lines_dropped").Int("lines", dropped).Str("reason", "the output is slow").Msg("log lines were dropped")
	})
}

// lineLimiter limits the lines that a task logs about requests to
// maxLinesPerSecond.
type lineLimiter struct {
	windowStart time.Time
	used        int
	dropped     int
}

// allow reports whether a line may be logged at now. When a new second begins, it
// also returns the number of lines dropped in the previous one.
func (l *lineLimiter) allow(now time.Time) (ok bool, dropped int) {
	if now.Sub(l.windowStart) >= time.Second {
		dropped = l.dropped
		*l = lineLimiter{windowStart: now}
	}
	if l.used >= maxLinesPerSecond {
		l.dropped++
		return false, dropped
	}
	l.used++
	return true, dropped
}
