package strict

import (
	"bytes"
	"errors"

	"github.com/pelletier/go-toml/v2"
)

// maxUnreadableLines bounds how often a document that is not valid TOML is parsed
// again; one missing bracket can make all lines after it unreadable.
const maxUnreadableLines = 10

// parseLenient parses a document into maps and arrays. A line with a syntax error
// is recorded as a violation and blanked, and the document is parsed again, so
// that one misplaced quote does not hide the other violations. It returns nil if
// too many lines are unreadable.
func (r *Report) parseLenient(document []byte) map[string]any {
	r.document = document
	for range maxUnreadableLines {
		var tree map[string]any
		err := toml.Unmarshal(r.document, &tree)
		if err == nil {
			return tree
		}
		line, reason := 1, err.Error()
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			line, _ = decodeErr.Position()
		}
		r.violations = append(r.violations, Violation{Line: line, Reason: reason})
		r.partial = true
		blanked, ok := blankLine(r.document, line)
		if !ok {
			return nil
		}
		r.document = blanked
	}
	return nil
}

// blankLine returns a copy of document with a line replaced by spaces. It reports
// false if the line does not exist or is blank already.
func blankLine(document []byte, line int) ([]byte, bool) {
	start := 0
	for range line - 1 {
		next := bytes.IndexByte(document[start:], '\n')
		if next < 0 {
			return nil, false
		}
		start += next + 1
	}
	end := len(document)
	if next := bytes.IndexByte(document[start:], '\n'); next >= 0 {
		end = start + next
	}
	if len(bytes.TrimSpace(document[start:end])) == 0 {
		return nil, false
	}
	blanked := bytes.Clone(document)
	copy(blanked[start:end], bytes.Repeat([]byte{' '}, end-start))
	return blanked, true
}
