package strict

import (
	"bytes"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineNumbers returns the line of every field, table and array element of a
// document that is valid TOML, by path.
func lineNumbers(document []byte) map[string]int {
	w := lineWalker{lines: make(map[string]int), arrayLens: make(map[string]int), document: document, line: 1}
	w.parser.Reset(document)
	for w.parser.NextExpression() {
		w.visitExpression(w.parser.Expression())
	}
	return w.lines
}

// lineOf returns the line of the field at path, or else that of the innermost
// table or array around it that has one.
func lineOf(lines map[string]int, path string) int {
	for ; path != ""; path = parentPath(path) {
		if line, ok := lines[path]; ok {
			return line
		}
	}
	return 1
}

// lineWalker walks the expressions of a document in order and records their lines.
type lineWalker struct {
	parser    unstable.Parser
	document  []byte
	offset    int            // bytes of document up to which newlines are counted
	line      int            // line at offset
	table     string         // path of the current table
	arrayLens map[string]int // number of elements seen of each array of tables, by path
	lines     map[string]int
}

func (w *lineWalker) visitExpression(n *unstable.Node) {
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		w.visitHeader(n)
	case unstable.KeyValue:
		w.visitKeyValue(w.table, n)
	}
}

func (w *lineWalker) visitHeader(n *unstable.Node) {
	path, line := "", 0
	for it := n.Key(); it.Next(); {
		path = w.elementPath(path)
		path = appendKey(path, string(it.Node().Data))
		line = w.nodeLine(it.Node())
	}
	if n.Kind == unstable.ArrayTable {
		w.arrayLens[path]++
		if w.lines[path] == 0 {
			w.lines[path] = line
		}
	}
	w.table = w.elementPath(path)
	w.lines[w.table] = line
}

// elementPath appends the index of the last element seen if path is an array of
// tables, because a TOML header refers to that element.
func (w *lineWalker) elementPath(path string) string {
	if n := w.arrayLens[path]; n > 0 {
		return appendIndex(path, n-1)
	}
	return path
}

func (w *lineWalker) visitKeyValue(path string, n *unstable.Node) {
	line := 0
	for it := n.Key(); it.Next(); {
		path = appendKey(path, string(it.Node().Data))
		line = w.nodeLine(it.Node())
		w.lines[path] = line
	}
	w.visitValue(path, line, n.Value())
}

func (w *lineWalker) visitValue(path string, line int, n *unstable.Node) {
	if len(path) > maxPathBytes {
		return
	}
	switch n.Kind {
	case unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				w.visitKeyValue(path, it.Node())
			}
		}
	case unstable.Array:
		i := 0
		for it := n.Children(); it.Next(); {
			if it.Node().Kind == unstable.Comment {
				continue
			}
			element := appendIndex(path, i)
			line = max(line, w.valueLine(it.Node()))
			w.lines[element] = line
			w.visitValue(element, line, it.Node())
			i++
		}
	}
}

// valueLine returns the line of a value. For an inline table it is that of the
// first key, because the parser gives no position for the brace.
func (w *lineWalker) valueLine(n *unstable.Node) int {
	if first := n.Child(); n.Kind == unstable.InlineTable && first.Valid() && first.Kind == unstable.KeyValue {
		it := first.Key()
		it.Next()
		return w.nodeLine(it.Node())
	}
	return w.nodeLine(n)
}

// nodeLine returns the line of a node, or zero if the parser gives no position. It
// counts newlines from the previous node on, which is cheap because positions
// grow along the walk except for short steps back within an expression.
func (w *lineWalker) nodeLine(n *unstable.Node) int {
	offset := int(n.Raw.Offset)
	if n.Raw.Length == 0 || offset > len(w.document) {
		return 0
	}
	if offset >= w.offset {
		w.line += bytes.Count(w.document[w.offset:offset], newline)
	} else {
		w.line -= bytes.Count(w.document[offset:w.offset], newline)
	}
	w.offset = offset
	return w.line
}

var newline = []byte{'\n'}

// Longer keys are cut and longer paths are not extended. Paths of a schema are far
// shorter. Without these bounds a 1 MiB table header of 500,000 keys took 36 s.
const (
	maxKeyBytes  = 256
	maxPathBytes = 1024
)

// appendKey appends a key to a path and quotes it unless it is a TOML bare key. It
// truncates a key longer than maxKeyBytes, and appends nothing to a path longer
// than maxPathBytes.
func appendKey(path, key string) string {
	if len(path) > maxPathBytes {
		return path
	}
	if len(key) > maxKeyBytes {
		key = key[:maxKeyBytes] + "..."
	}
	if !isBareKey(key) {
		key = strconv.Quote(key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

func appendIndex(path string, i int) string {
	if len(path) > maxPathBytes {
		return path
	}
	return path + "[" + strconv.Itoa(i) + "]"
}

// isBareKey reports whether TOML allows key without quotes.
func isBareKey(key string) bool {
	for i := range len(key) {
		c := key[i]
		if c != '_' && c != '-' && (c < '0' || c > '9') && (c < 'A' || c > 'Z') && (c < 'a' || c > 'z') {
			return false
		}
	}
	return key != ""
}
