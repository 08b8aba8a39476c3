// Package strict decodes TOML texts into tagged structs and reports every
// mistake of a text in one go, each with its line and field path.
package strict

import (
	"fmt"
	"slices"
	"strings"
)

const maxShownValueBytes = 100 // of an offending value, in a message

// Violation is one problem in a text.
type Violation struct {
	Line   int    `json:"line"`            // 1-based
	Field  string `json:"field"`           // path such as service[1].group[0].name; empty for the whole text
	Value  string `json:"value,omitempty"` // offending value; empty when there is none
	Reason string `json:"reason"`
}

// String returns the mistake as one line.
func (m Violation) String() string {
	field := m.Field
	if field == "" {
		field = "text"
	}
	if m.Value == "" {
		return fmt.Sprintf("line %d: %s: %s", m.Line, field, m.Reason)
	}
	value := m.Value
	if len(value) > maxShownValueBytes {
		value = value[:maxShownValueBytes] + "..."
	}
	return fmt.Sprintf("line %d: %s = %q: %s", m.Line, field, value, m.Reason)
}

// Join returns the mistakes as text, one a line.
func Join(mistakes []Violation) string {
	lines := make([]string, 0, len(mistakes))
	for _, m := range mistakes {
		lines = append(lines, m.String())
	}
	return strings.Join(lines, "\n")
}

// Report collects the mistakes of one text.
type Report struct {
	text     []byte // as decoded: with unreadable lines blanked
	mistakes []Violation
	bad      map[string]bool // paths with a mistake
	partial  bool            // lines were blanked, so that fields may be absent for that reason alone
}

// Add records a mistake in the field at path.
func (r *Report) Add(path, value, reason string) {
	if r.bad == nil {
		r.bad = make(map[string]bool)
	}
	r.bad[path] = true
	r.mistakes = append(r.mistakes, Violation{Field: path, Value: value, Reason: reason})
}

// AddMissing records that something the text needs is not in it. It records
// nothing for a text with unreadable lines, which may hold what is absent.
func (r *Report) AddMissing(path, value, reason string) {
	if r.partial {
		if r.bad == nil {
			r.bad = make(map[string]bool)
		}
		r.bad[path] = true
		return
	}
	r.Add(path, value, reason)
}

// Clean reports whether no mistake is recorded so far.
func (r *Report) Clean() bool { return len(r.bad) == 0 && len(r.mistakes) == 0 }

// Valid reports whether no mistake is recorded for the fields at paths and the
// tables round them, so that further checks do not repeat a mistake.
func (r *Report) Valid(paths ...string) bool {
	if len(r.bad) == 0 {
		return true
	}
	for _, p := range paths {
		for ; p != ""; p = parent(p) {
			if r.bad[p] {
				return false
			}
		}
	}
	return true
}

// parent returns the path of the table or array that holds path.
func parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// Violations returns the mistakes with their lines, in the order of the text.
func (r *Report) Violations() []Violation {
	if len(r.mistakes) == 0 {
		return nil
	}
	var lines map[string]int
	for i := range r.mistakes {
		m := &r.mistakes[i]
		if m.Line > 0 {
			continue
		}
		if lines == nil {
			lines = lineNumbers(r.text)
		}
		m.Line = lineOf(lines, m.Field)
	}
	slices.SortStableFunc(r.mistakes, func(a, b Violation) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return strings.Compare(a.Field, b.Field)
	})
	return r.mistakes
}
