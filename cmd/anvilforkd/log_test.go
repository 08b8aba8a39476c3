package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Guards against a log level that has no effect, and against log lines that are not
// JSON with a level, an event and a time.
func TestLogger(t *testing.T) {
	t.Cleanup(func() { zerolog.SetGlobalLevel(zerolog.TraceLevel) })
	all := []string{"debug", "info", "warn", "error"}
	for i, level := range all {
		t.Run(level, func(t *testing.T) {
			file, err := os.Create(filepath.Join(t.TempDir(), "log"))
			assert.NilError(t, err)
			defer file.Close()
			log, err := newLogger(file, level)
			assert.NilError(t, err)
			for _, l := range []zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel} {
				log.WithLevel(l).Str("event", "tested").Msg("a line")
			}
			log.Debug().Str("event", "tested").Msg("a line")
			assert.DeepEqual(t, readLevels(t, file.Name()), expectedLevels(all, i))
		})
	}
}

// expectedLevels returns the levels of the lines that TestLogger writes at the
// level all[from]. The global level applies to WithLevel, too.
func expectedLevels(all []string, from int) []string {
	want := append([]string{}, all[from:]...)
	if from == 0 {
		want = append(want, "debug")
	}
	return want
}

// readLevels returns the levels of the lines in a log file.
func readLevels(t *testing.T, path string) []string {
	t.Helper()
	file, err := os.Open(path)
	assert.NilError(t, err)
	defer file.Close()
	var got []string
	for d := json.NewDecoder(file); d.More(); {
		var line struct{ Level, Event, Time string }
		assert.NilError(t, d.Decode(&line))
		assert.Equal(t, line.Event, "tested")
		_, err := time.Parse(timeFormat, line.Time)
		assert.NilError(t, err)
		got = append(got, line.Level)
	}
	return got
}

// Guards against plain text instead of JSON in a file or a pipe.
func TestIsTerminal(t *testing.T) {
	read, write, err := os.Pipe()
	assert.NilError(t, err)
	defer read.Close()
	defer write.Close()
	assert.Assert(t, !isTerminal(write))
	device, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	assert.NilError(t, err)
	defer device.Close()
	assert.Assert(t, isTerminal(device)) // a character device, like a terminal
}

// Guards against an unknown level that is accepted as another one.
func TestLoggerLevelUnknown(t *testing.T) {
	_, err := newLogger(os.Stderr, "loud")
	assert.ErrorContains(t, err, "loud")
}
