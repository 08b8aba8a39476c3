package daemon_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "docs", name))
	assert.NilError(t, err)
	return string(text)
}

// parseSources parses all Go files under a folder except tests.
func parseSources(t *testing.T, dir string) []*ast.File {
	t.Helper()
	var files []*ast.File
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		files = append(files, file)
		return err
	})
	assert.NilError(t, err)
	return files
}

// stringConstants returns the values of the string constants under a folder for
// which want is true. kind is the declared type of the constant, or "".
func stringConstants(t *testing.T, dir string, want func(name, kind string) bool) []string {
	t.Helper()
	var found []string
	for _, file := range parseSources(t, dir) {
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok {
				return true
			}
			kind, _ := spec.Type.(*ast.Ident)
			for i, name := range spec.Names {
				if i >= len(spec.Values) || !want(name.Name, identName(kind)) {
					continue
				}
				if lit, ok := spec.Values[i].(*ast.BasicLit); ok && lit.Kind == token.STRING {
					text, err := strconv.Unquote(lit.Value)
					assert.NilError(t, err)
					found = append(found, text)
				}
			}
			return true
		})
	}
	return found
}

func identName(i *ast.Ident) string {
	if i == nil {
		return ""
	}
	return i.Name
}

// firstCells returns the first cell of all table rows of a page, without backquotes.
func firstCells(text string) []string {
	var cells []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(text, -1) {
		cells = append(cells, m[1])
	}
	return cells
}

// Guards against codes, outcomes and headers that are missing on the page for
// authors of clients and targets.
func TestAPIPageIsComplete(t *testing.T) {
	api := readPage(t, "api.md")
	outcomes := filepath.Join("..", "core", "outcome")
	cases := []struct {
		name     string
		minCount int
		names    []string
	}{
		{"codes", 21, stringConstants(t, outcomes, func(_, kind string) bool { return kind == "Code" })},
		{"outcomes", 3, stringConstants(t, outcomes, func(_, kind string) bool { return kind == "Outcome" })},
		{"headers", 10, stringConstants(t, ".", func(name, _ string) bool { return strings.HasPrefix(name, "header") })},
	}
	documented := firstCells(api)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, len(c.names) >= c.minCount, "%v", c.names)
			for _, name := range c.names {
				assert.Assert(t, slices.Contains(documented, name), "%s has no row", name)
			}
		})
	}
}

// eventNames returns the names of all log events in the code.
func eventNames(t *testing.T) []string {
	t.Helper()
	var names []string
	typed := 0
	for _, file := range parseSources(t, "..") {
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) != 2 {
				return true
			}
			key, ok := call.Args[0].(*ast.BasicLit)
			if !ok || key.Value != `"event"` {
				return true
			}
			if _, ok := call.Args[1].(*ast.CallExpr); ok {
				typed++ // a constant of type LogEventName, which is collected below
				return true
			}
			value, ok := call.Args[1].(*ast.BasicLit)
			assert.Assert(t, ok, "an event name is neither a literal nor a typed constant")
			name, err := strconv.Unquote(value.Value)
			assert.NilError(t, err)
			names = append(names, name)
			return true
		})
	}
	assert.Equal(t, typed, 1, "only decisions of core/serve have typed names")
	names = append(names, stringConstants(t, filepath.Join("..", "core", "serve"), func(_, kind string) bool { return kind == "LogEventName" })...)
	slices.Sort(names)
	return slices.Compact(names)
}

// Guards against log events that are missing on the page for operators, and
// against events on the page that are never logged.
func TestOperationsPageNamesEvents(t *testing.T) {
	_, chapter, ok := strings.Cut(readPage(t, "OPERATIONS.md"), "\n## Log events\n")
	assert.Assert(t, ok)
	chapter, _, _ = strings.Cut(chapter, "\n## ")
	documented := firstCells(chapter)
	slices.Sort(documented)
	assert.DeepEqual(t, documented, eventNames(t))
}

// Guards against a dependency that the page does not explain, and against an
// explanation of one that was removed.
func TestLibrariesPageMatchesGoMod(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "go.mod"))
	assert.NilError(t, err)
	var direct []string
	for _, m := range regexp.MustCompile(`(?m)^\t(\S+) v\S+$`).FindAllStringSubmatch(string(text), -1) {
		direct = append(direct, m[1]) // indirect ones end with a comment, tools have no version
	}
	assert.Assert(t, len(direct) > 0)
	slices.Sort(direct)
	documented := firstCells(readPage(t, "libraries.md"))
	slices.Sort(documented)
	assert.DeepEqual(t, documented, direct)
}
