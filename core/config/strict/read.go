package strict

import (
	"bytes"
	"errors"

	"github.com/pelletier/go-toml/v2"
)

// maxUnreadableLines bounds the retries on a text that is no TOML; one missing
// bracket can make all lines after it unreadable.
const maxUnreadableLines = 10

// read parses a text into maps and arrays. A line that the parser refuses is
// recorded and blanked, and the rest is read, so that one misplaced quote does
// not hide the other mistakes. It returns nil when too many lines are unreadable.
func (r *Report) read(text []byte) map[string]any {
	r.text = text
	for range maxUnreadableLines {
		var tree map[string]any
		err := toml.Unmarshal(r.text, &tree)
		if err == nil {
			return tree
		}
		line, reason := 1, err.Error()
		var refused *toml.DecodeError
		if errors.As(err, &refused) {
			line, _ = refused.Position()
		}
		r.mistakes = append(r.mistakes, Violation{Line: line, Reason: reason})
		r.partial = true
		blanked, ok := blank(r.text, line)
		if !ok {
			return nil
		}
		r.text = blanked
	}
	return nil
}

// blank returns a copy of text with a line replaced by spaces. It reports false
// when nothing is left to blank.
func blank(text []byte, line int) ([]byte, bool) {
	start := 0
	for range line - 1 {
		next := bytes.IndexByte(text[start:], '\n')
		if next < 0 {
			return nil, false
		}
		start += next + 1
	}
	end := len(text)
	if next := bytes.IndexByte(text[start:], '\n'); next >= 0 {
		end = start + next
	}
	if len(bytes.TrimSpace(text[start:end])) == 0 {
		return nil, false
	}
	blanked := bytes.Clone(text)
	copy(blanked[start:end], bytes.Repeat([]byte{' '}, end-start))
	return blanked, true
}
