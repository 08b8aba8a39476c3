package shape

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Guards against docs/guarantees.md referring to a test that was renamed or removed.
func TestGuaranteesNameTests(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "guarantees.md"))
	if err != nil {
		t.Fatal(err)
	}
	references := regexp.MustCompile("`([a-z0-9/]+):(Test\\w+)`").FindAllStringSubmatch(string(page), -1)
	if len(references) == 0 {
		t.Fatal("docs/guarantees.md refers to no tests")
	}
	for _, n := range references {
		if !declaresTest(t, n[1], n[2]) {
			t.Errorf("package %s has no test %s", n[1], n[2])
		}
	}
}

// declaresTest reports whether a test file of a directory declares the test.
func declaresTest(t *testing.T, dir, test string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, dir, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range files {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(content), "\nfunc "+test+"(t *testing.T)") {
			return true
		}
	}
	return false
}
