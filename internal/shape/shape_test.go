// Package shape checks the architecture of the source tree: a core without input and
// output, no locks, and platform names only in the package that translates them.
package shape

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const root = "../.."

// forbiddenImports lists packages with input and output, locks, randomness or
// contexts, which depend on the clock. The core must not import them.
var forbiddenImports = []string{
	"context", "io/fs", "log", "log/slog", "net", "os", "runtime", "sync", "syscall", "unsafe",
	"crypto/rand", "math/rand", "math/rand/v2", "github.com/rs/zerolog", "github.com/labstack/echo", "github.com/twitchtv/twirp",
}

// forbiddenTimeFuncs lists the functions of package time that read the clock or wait.
var forbiddenTimeFuncs = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"}

// source is one parsed Go file outside of tests.
type source struct {
	path string
	file *ast.File
	fset *token.FileSet
}

// parseSources parses all Go files below a directory, except tests.
func parseSources(t *testing.T, dir string) []source {
	t.Helper()
	var all []source
	err := filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		fset := token.NewFileSet()
		file, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		all = append(all, source{path: path, file: file, fset: fset})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(all) == 0 {
		t.Fatalf("no sources under %s", dir)
	}
	return all
}

func importAllowed(path string) bool {
	for _, f := range forbiddenImports {
		if path == f || strings.HasPrefix(path, f+"/") {
			return false
		}
	}
	return true
}

// Guards against input, output, clocks, goroutines, channels and locks in the core.
func TestCoreIsPure(t *testing.T) {
	for _, s := range parseSources(t, "core") {
		for _, i := range s.file.Imports {
			if path, _ := strconv.Unquote(i.Path.Value); !importAllowed(path) {
				t.Errorf("%s imports %q", s.path, path)
			}
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.GoStmt:
				t.Errorf("%s starts a goroutine", s.fset.Position(n.Pos()))
			case *ast.ChanType:
				t.Errorf("%s uses a channel", s.fset.Position(n.Pos()))
			case *ast.SelectorExpr:
				checkTimeUse(t, s, n)
			}
			return true
		})
	}
}

// checkTimeUse reports every use of a forbidden function of package time, not only
// calls, because time.Now can also be passed as a value.
func checkTimeUse(t *testing.T, s source, sel *ast.SelectorExpr) {
	t.Helper()
	pkg, ok := sel.X.(*ast.Ident)
	if !ok {
		return
	}
	name := sel.Sel.Name
	if pkg.Name == "time" && slices.Contains(forbiddenTimeFuncs, name) {
		t.Errorf("%s uses %s.%s", s.fset.Position(sel.Pos()), pkg.Name, name)
	}
}

// Guards against an HTTP answer that is read without the check of its status line.
func TestAnswersAreReadByHTTP1(t *testing.T) {
	for _, dir := range []string{"platform", "gateway", "daemon", "client", "cli", "cmd", "rpc"} {
		for _, s := range parseSources(t, dir) {
			if !strings.Contains(s.path, "platformtest") {
				ast.Inspect(s.file, func(n ast.Node) bool { return checkHTTPUse(t, s, n) })
			}
		}
	}
}

// checkHTTPUse reports a use of net/http that reads answers beside internal/http1, and
// returns whether to look at the children of n.
func checkHTTPUse(t *testing.T, s source, n ast.Node) bool {
	t.Helper()
	switch n := n.(type) {
	case *ast.CallExpr:
		return !isSelector(n.Fun, "http1", "NewTransport")
	case *ast.CompositeLit:
		if isSelector(n.Type, "http", "Transport") || isSelector(n.Type, "http", "Client") && len(n.Elts) == 0 {
			t.Errorf("%s: a client without http1.NewTransport", s.fset.Position(n.Pos()))
		}
	case *ast.SelectorExpr:
		for _, name := range []string{"ReadResponse", "DefaultClient", "DefaultTransport", "Get", "Head", "Post", "PostForm"} {
			if isSelector(n, "http", name) {
				t.Errorf("%s uses http.%s", s.fset.Position(n.Pos()), name)
			}
		}
	}
	return true
}

// isSelector reports whether an expression is pkg.name.
func isSelector(e ast.Expr, pkg, name string) bool {
	sel, ok := e.(*ast.SelectorExpr)
	if !ok || sel.Sel.Name != name {
		return false
	}
	id, ok := sel.X.(*ast.Ident)
	return ok && id.Name == pkg
}

// Guards against state that is shared under a lock, except in generated code.
func TestNoLocks(t *testing.T) {
	for _, s := range parseSources(t, ".") {
		if strings.HasSuffix(s.path, ".pb.go") || strings.HasSuffix(s.path, ".twirp.go") {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			sel, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if pkg, ok := sel.X.(*ast.Ident); ok && pkg.Name == "sync" && strings.HasSuffix(sel.Sel.Name, "Mutex") {
				t.Errorf("%s uses sync.%s", s.fset.Position(n.Pos()), sel.Sel.Name)
			}
			return true
		})
	}
}
