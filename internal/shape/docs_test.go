package shape

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// formerPaths lists paths that a page names because they are gone.
var formerPaths = []string{"docs/operations.md"}

var (
	codeSpan       = regexp.MustCompile("`([^`\n]+)`")
	linkTarget     = regexp.MustCompile(`\]\(([^)#\s]+)[^)\n]*\)`)
	filePath       = regexp.MustCompile(`^\.?[\w-][\w.*-]*(/[\w.*-]+)*/?$`)
	fileInProse    = regexp.MustCompile(`[\w-]+(?:/[\w.-]+)+\.(?:go|md|txt|toml)\b`)
	folderArgument = regexp.MustCompile(`(?:^|[\s(` + "`" + `])\./([\w/-]+)`)
	qualifiedName  = regexp.MustCompile(`^([a-z]+)\.([A-Z]\w*)(?:\.([A-Z]\w*))?(?:\(\))?$`)
	testName       = regexp.MustCompile(`^(?:([a-z0-9/]+):)?(Test[A-Z]\w*)$`)
	testArgument   = regexp.MustCompile(`-(?:run|bench) ('[^']+'|[A-Z]\w+)`)
	bareTestName   = regexp.MustCompile(`\bTest[A-Z]\w*`)
)

// tree holds what the pages may refer to.
type tree struct {
	files    []string            // relative to the root, slash-separated
	folders  map[string]bool     // relative to the root
	declared map[string][]string // names of Go declarations by the base name of their folder; Type.Member for fields and methods
	tests    map[string][]string // names of tests and benchmarks by folder
}

// Guards against pages that refer to files, folders, Go declarations or tests that
// were renamed or removed.
func TestDocsNameWhatExists(t *testing.T) {
	known := readTree(t)
	references := 0
	for _, page := range docPages(known) {
		content, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		references += checkPage(t, known, page, string(content))
	}
	if references == 0 {
		t.Fatal("the pages refer to nothing")
	}
}

// docPages returns the pages for people, without the journal.
func docPages(known tree) []string {
	pages := []string{"KNOWN-RED.txt"}
	for _, path := range known.files {
		if strings.HasSuffix(path, ".md") {
			pages = append(pages, path)
		}
	}
	return pages
}

// checkPage checks all references of one page and returns their number.
func checkPage(t *testing.T, known tree, page, content string) int {
	t.Helper()
	count := 0
	check := func(ok bool, kind, name string) {
		count++
		if !ok {
			t.Errorf("%s: no %s %s", page, kind, name)
		}
	}
	for _, m := range linkTarget.FindAllStringSubmatch(content, -1) {
		if !strings.Contains(m[1], "://") {
			check(known.hasPath(filepath.ToSlash(filepath.Join(filepath.Dir(page), m[1]))), "file", m[1])
		}
	}
	for _, path := range fileInProse.FindAllString(content, -1) {
		if first, _, _ := strings.Cut(path, "/"); known.folders[first] {
			check(known.hasPath(path), "file", path)
		}
	}
	for _, m := range folderArgument.FindAllStringSubmatch(content, -1) {
		check(known.folders[strings.TrimSuffix(m[1], "/")], "folder", m[1])
	}
	for _, m := range testArgument.FindAllStringSubmatch(content, -1) {
		if pattern := strings.Trim(m[1], "'"); !strings.EqualFold(pattern, "xxx") {
			check(known.matchesTest(t, pattern), "test or benchmark that matches", pattern)
		}
	}
	if page == "KNOWN-RED.txt" {
		for _, name := range bareTestName.FindAllString(content, -1) {
			check(known.hasTest("", name), "test", name)
		}
	}
	for _, m := range codeSpan.FindAllStringSubmatch(content, -1) {
		checkSpan(known, m[1], check)
	}
	return count
}

// checkSpan checks a code span that is a path, a qualified Go name or a test.
func checkSpan(known tree, span string, check func(ok bool, kind, name string)) {
	if m := testName.FindStringSubmatch(span); m != nil {
		check(known.hasTest(m[1], m[2]), "test", span)
		return
	}
	if m := qualifiedName.FindStringSubmatch(span); m != nil {
		if names, ok := known.declared[m[1]]; ok {
			check(declares(names, m[2], m[3]), "declaration", span)
		}
		return
	}
	if !filePath.MatchString(span) {
		return
	}
	first, _, isNested := strings.Cut(span, "/")
	switch {
	case isNested && (known.folders[first] || isOwnFile(span) && !strings.Contains(first, ".")):
		check(known.hasPath(span), "path", span)
	case !isNested && isOwnFile(span):
		check(known.hasBaseName(span), "file", span)
	}
}

// isOwnFile reports whether a path has the ending of a source file or page.
func isOwnFile(path string) bool {
	return slices.Contains([]string{".go", ".md", ".txt"}, filepath.Ext(path))
}

// declares reports whether a name, and its member unless that is empty, are declared.
func declares(names []string, name, member string) bool {
	if member != "" {
		name += "." + member
	}
	return slices.Contains(names, name)
}

// hasPath reports whether a file or folder exists, is matched by a pattern, or is
// known to be gone.
func (k tree) hasPath(path string) bool {
	path = strings.TrimSuffix(path, "/")
	if k.folders[path] || slices.Contains(formerPaths, path) {
		return true
	}
	return slices.ContainsFunc(k.files, func(file string) bool {
		matched, err := filepath.Match(path, file)
		return err == nil && matched
	})
}

// hasBaseName reports whether a file in any folder has the name, or the ending if
// that begins with an underscore.
func (k tree) hasBaseName(name string) bool {
	return slices.ContainsFunc(k.files, func(file string) bool {
		base := filepath.Base(file)
		return base == name || strings.HasPrefix(name, "_") && strings.HasSuffix(base, name)
	})
}

// hasTest reports whether a folder, or any folder if that is empty, has the test.
func (k tree) hasTest(folder, name string) bool {
	if folder != "" {
		return slices.Contains(k.tests[folder], name)
	}
	for _, names := range k.tests {
		if slices.Contains(names, name) {
			return true
		}
	}
	return false
}

// matchesTest reports whether every alternative of a pattern, as after -run or
// -bench, matches a test or benchmark.
func (k tree) matchesTest(t *testing.T, pattern string) bool {
	t.Helper()
	for _, alternative := range strings.Split(pattern, "|") {
		expr, err := regexp.Compile(alternative)
		if err != nil {
			t.Fatal(err)
		}
		matched := false
		for _, names := range k.tests {
			matched = matched || slices.ContainsFunc(names, expr.MatchString)
		}
		if !matched {
			return false
		}
	}
	return true
}

// readTree lists the files of the source tree, without the journal and git's data,
// and parses the Go files among them.
func readTree(t *testing.T) tree {
	t.Helper()
	known := tree{folders: map[string]bool{}, declared: map[string][]string{}, tests: map[string][]string{}}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		name = filepath.ToSlash(name)
		switch {
		case d.IsDir() && name == "journal":
			known.folders[name] = true
			return filepath.SkipDir
		case d.IsDir() && (name == ".git" || name == "bin"):
			return filepath.SkipDir
		case d.IsDir():
			known.folders[name] = true
			return nil
		}
		known.files = append(known.files, name)
		if strings.HasSuffix(name, ".go") {
			return known.addGoFile(path, filepath.ToSlash(filepath.Dir(name)))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return known
}

// addGoFile records the declarations of one Go file.
func (k tree) addGoFile(path, folder string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	base := filepath.Base(folder)
	for _, decl := range file.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			if strings.HasSuffix(path, "_test.go") && d.Recv == nil && (strings.HasPrefix(d.Name.Name, "Test") || strings.HasPrefix(d.Name.Name, "Benchmark")) {
				k.tests[folder] = append(k.tests[folder], d.Name.Name)
			}
			k.declared[base] = append(k.declared[base], funcName(d))
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				k.declared[base] = append(k.declared[base], specNames(spec)...)
			}
		}
	}
	return nil
}

// funcName returns the name of a function, or Type.Name of a method.
func funcName(d *ast.FuncDecl) string {
	if d.Recv == nil || len(d.Recv.List) == 0 {
		return d.Name.Name
	}
	receiver := d.Recv.List[0].Type
	for {
		switch r := receiver.(type) {
		case *ast.StarExpr:
			receiver = r.X
		case *ast.IndexExpr:
			receiver = r.X
		case *ast.IndexListExpr:
			receiver = r.X
		case *ast.Ident:
			return r.Name + "." + d.Name.Name
		default:
			return d.Name.Name
		}
	}
}

// specNames returns the names that a declaration adds, with Type.Field for the
// fields of a struct and Type.Method for the methods of an interface.
func specNames(spec ast.Spec) []string {
	var names []string
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, n := range s.Names {
			names = append(names, n.Name)
		}
	case *ast.TypeSpec:
		names = append(names, s.Name.Name)
		var members *ast.FieldList
		switch typ := s.Type.(type) {
		case *ast.StructType:
			members = typ.Fields
		case *ast.InterfaceType:
			members = typ.Methods
		}
		if members == nil {
			return names
		}
		for _, m := range members.List {
			for _, n := range m.Names {
				names = append(names, s.Name.Name+"."+n.Name)
			}
		}
	}
	return names
}
