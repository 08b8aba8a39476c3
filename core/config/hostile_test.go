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

// maxParseTime is far above the usual few milliseconds, even with the race
// detector. A VM that parses for longer misses its heartbeats.
const maxParseTime = 20 * time.Second

// repeatLines formats the numbers from 0 to n-1, one after the other.
func repeatLines(format string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, format, i)
	}
	return b.String()
}

// Guards against documents that exhaust the stack, take too long to parse or
// exceed the size limit of the configuration service.
func TestHostileDocuments(t *testing.T) {
	cases := map[string]string{
		"empty":            "",
		"too large":        baseDocument + strings.Repeat("#", config.MaxDocumentBytes),
		"nested arrays":    "a = " + strings.Repeat("[", config.MaxDocumentBytes-4),
		"nested tables":    "a = " + strings.Repeat("{a=", (config.MaxDocumentBytes-4)/3),
		"deep header":      "[a" + strings.Repeat(".a", (config.MaxDocumentBytes-3)/2) + "]",
		"long key":         "[" + strings.Repeat("a", config.MaxDocumentBytes/2) + "]\n" + repeatLines("k%d=1\n", 2000),
		"many arrays":      repeatLines("a%d="+strings.Repeat("[", 9000)+strings.Repeat("]", 9000)+"\n", 55),
		"unreadable lines": strings.Repeat("a = b = c\n", 100_000),
		"no UTF-8":         "a = \"\xff\"",
		"carriage returns": "a\r=\r1",
		"zero byte":        "revision = 1\x00",
	}
	for name, document := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			_, err := config.Parse([]byte(document))
			var invalid *config.InvalidDocumentError
			assert.Assert(t, errors.As(err, &invalid))
			assert.Assert(t, time.Since(start) < maxParseTime, "took %v", time.Since(start))
			for _, m := range invalid.Violations {
				assert.Assert(t, m.Line >= 1)
			}
		})
	}
}

// Guards against panics, and against a document that parses differently the
// second time.
func FuzzParse(f *testing.F) {
	f.Add([]byte(baseDocument))
	f.Fuzz(func(t *testing.T, document []byte) {
		c, err := config.Parse(document)
		if err != nil {
			return
		}
		assert.Assert(t, bytes.Equal(c.Document, document))
		again, err := config.Parse(c.Document)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, c)
	})
}

// largeDocument returns a document with one service of that many shards with three
// targets each.
func largeDocument(shards int) []byte {
	var b strings.Builder
	b.WriteString("revision = 1\n[fleet]\nmax_vms = 9\n[[zone]]\nname = \"a\"\n[[service]]\nname = \"s\"\npartition_map = 1\nslots = 2\nconnections = 25\n")
	for shard := range shards {
		fmt.Fprintf(&b, "[[service.group]]\nname = \"g%d\"\ntargets = [\n", shard)
		for i := range 3 {
			fmt.Fprintf(&b, "  {address = \"127.%d.%d.%d:80\", zone = \"a\"},\n", i, shard/256, shard%256)
		}
		b.WriteString("]\n")
	}
	return []byte(b.String())
}

func BenchmarkParse(b *testing.B) {
	for _, shards := range []int{8, 1333} {
		b.Run(fmt.Sprintf("groups=%d", shards), func(b *testing.B) {
			text := largeDocument(shards)
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
