// Package strict decodes TOML documents into tagged structs. It stops at no
// error: a Report lists all violations of a document, each with its line and
// field path, so that an operator can correct them together. The tags of the
// struct are the schema, with keys, defaults and limits.
package strict

import (
	"fmt"
	"slices"
	"strings"
)

// maxShownValueBytes is the size to which a message cuts an offending value.
const maxShownValueBytes = 100

// Violation is one validation error of a document.
type Violation struct {
	Line   int    `json:"line"`            // 1-based
	Field  string `json:"field"`           // path such as service[1].group[0].name; empty for the document as a whole
	Value  string `json:"value,omitempty"` // offending value; empty if there is none or it is a table or an array
	Reason string `json:"reason"`
}

// String returns the violation as one line.
func (v Violation) String() string {
	field := v.Field
	if field == "" {
		field = "text"
	}
	if v.Value == "" {
		return fmt.Sprintf("line %d: %s: %s", v.Line, field, v.Reason)
	}
	value := v.Value
	if len(value) > maxShownValueBytes {
		value = value[:maxShownValueBytes] + "..."
	}
	return fmt.Sprintf("line %d: %s = %q: %s", v.Line, field, value, v.Reason)
}

// FormatViolations returns the violations as text, one per line.
func FormatViolations(violations []Violation) string {
	lines := make([]string, 0, len(violations))
	for _, v := range violations {
		lines = append(lines, v.String())
	}
	return strings.Join(lines, "\n")
}

// Report collects the violations of one document.
type Report struct {
	document     []byte // as decoded, with lines that are not valid TOML replaced by spaces
	violations   []Violation
	invalidPaths map[string]bool // paths of fields with a violation
	partial      bool            // lines were blanked, so a field that seems absent may stand on one of them
}

// Add records a violation of the field at path.
func (r *Report) Add(path, value, reason string) {
	if r.invalidPaths == nil {
		r.invalidPaths = make(map[string]bool)
	}
	r.invalidPaths[path] = true
	r.violations = append(r.violations, Violation{Field: path, Value: value, Reason: reason})
}

// AddMissing records that something required is absent from the document. In a
// document with unreadable lines, which may hold it, it only marks the path as
// invalid and adds no violation.
func (r *Report) AddMissing(path, value, reason string) {
	if r.partial {
		if r.invalidPaths == nil {
			r.invalidPaths = make(map[string]bool)
		}
		r.invalidPaths[path] = true
		return
	}
	r.Add(path, value, reason)
}

// Clean reports whether no violation has been recorded.
func (r *Report) Clean() bool { return len(r.invalidPaths) == 0 && len(r.violations) == 0 }

// Valid reports whether no violation has been recorded for the fields at paths or
// the tables that contain them. Later checks call it to avoid follow-up errors.
func (r *Report) Valid(paths ...string) bool {
	if len(r.invalidPaths) == 0 {
		return true
	}
	for _, p := range paths {
		for ; p != ""; p = parentPath(p) {
			if r.invalidPaths[p] {
				return false
			}
		}
	}
	return true
}

// parentPath returns the path of the table or array that contains path.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// Violations returns the violations with their lines, sorted by line and field.
func (r *Report) Violations() []Violation {
	if len(r.violations) == 0 {
		return nil
	}
	var lines map[string]int
	for i := range r.violations {
		v := &r.violations[i]
		if v.Line > 0 {
			continue
		}
		if lines == nil {
			lines = lineNumbers(r.document)
		}
		v.Line = lineOf(lines, v.Field)
	}
	slices.SortStableFunc(r.violations, func(a, b Violation) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return strings.Compare(a.Field, b.Field)
	})
	return r.violations
}
