package main

import (
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00" // with milliseconds, to compare events of several VMs

// newLogger returns a logger that writes one JSON object per line to file, or plain
// text if file is a terminal. It sets zerolog's global level, so that operators
// can change the level of the whole process.
func newLogger(file *os.File, level string) (zerolog.Logger, error) {
	var out io.Writer = file
	if isTerminal(file) {
		out = zerolog.ConsoleWriter{Out: file, TimeFormat: timeFormat}
	}
	return newWriterLogger(out, level)
}

// newWriterLogger returns a logger that writes JSON with times in UTC to out, and
// sets zerolog's global level and time format.
func newWriterLogger(out io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Wrap(err, "log level")
	}
	zerolog.SetGlobalLevel(parsed)
	zerolog.TimeFieldFormat = timeFormat
	zerolog.TimestampFunc = func() time.Time { return time.Now().UTC() }
	return zerolog.New(out).With().Timestamp().Logger(), nil
}

// isTerminal reports whether file is a character device, as terminals are;
// /dev/null counts too.
func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
