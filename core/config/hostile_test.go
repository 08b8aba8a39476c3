package config_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
)

// maxParseTime is far above the usual milliseconds, and above what the race
// detector adds; a VM that parses for longer misses its heartbeats.
const maxParseTime = 20 * time.Second

func lines(format string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, format, i)
	}
	return b.String()
}

// Guards against texts that exhaust the stack, keep a VM busy for long or
// exceed the service's size limit.
func TestHostileTexts(t *testing.T) {
	cases := map[string]string{
		"empty":            "",
		"too large":        baseText + strings.Repeat("#", config.MaxDocumentBytes),
		"nested arrays":    "a = " + strings.Repeat("[", config.MaxDocumentBytes-4),
		"nested tables":    "a = " + strings.Repeat("{a=", (config.MaxDocumentBytes-4)/3),
		"deep header":      "[a" + strings.Repeat(".a", (config.MaxDocumentBytes-3)/2) + "]",
		"long key":         "[" + strings.Repeat("a", config.MaxDocumentBytes/2) + "]\n" + lines("k%d=1\n", 2000),
		"many arrays":      lines("a%d="+strings.Repeat("[", 9000)+strings.Repeat("]", 9000)+"\n", 55),
		"unreadable lines": strings.Repeat("a = b = c\n", 100_000),
		"no UTF-8":         "a = \"\xff\"",
		"carriage returns": "a\r=\r1",
		"zero byte":        "revision = 1\x00",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			_, err := config.Parse([]byte(text))
			var invalid *config.InvalidDocumentError
			assert.Assert(t, errors.As(err, &invalid))
			assert.Assert(t, time.Since(start) < maxParseTime, "took %v", time.Since(start))
			for _, m := range invalid.Violations {
				assert.Assert(t, m.Line >= 1)
			}
		})
	}
}

// Guards against panics, and against a text whose second reading differs.
func FuzzParse(f *testing.F) {
	f.Add([]byte(baseText))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := config.Parse(text)
		if err != nil {
			return
		}
		assert.Assert(t, bytes.Equal(c.Document, text))
		again, err := config.Parse(c.Document)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, c)
	})
}

// largeText returns a text with one service of that many groups of three targets.
func largeText(groups int) []byte {
	var b strings.Builder
	b.WriteString("revision = 1\n[fleet]\nmax_vms = 9\n[[zone]]\nname = \"a\"\n[[service]]\nname = \"s\"\npartition_map = 1\nslots = 2\nconnections = 25\n")
	for g := range groups {
		fmt.Fprintf(&b, "[[service.group]]\nname = \"g%d\"\ntargets = [\n", g)
		for i := range 3 {
			fmt.Fprintf(&b, "  {address = \"127.%d.%d.%d:80\", zone = \"a\"},\n", i, g/256, g%256)
		}
		b.WriteString("]\n")
	}
	return []byte(b.String())
}

func BenchmarkParse(b *testing.B) {
	for _, groups := range []int{8, 1333} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			text := largeText(groups)
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := config.Parse(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
