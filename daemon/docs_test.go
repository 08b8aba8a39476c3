package daemon_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/config/strict"
	"github.com/anvilfork/anvilfork/daemon"
)

// Columns of the tables in docs/config.md.
const (
	columnField = iota
	columnType
	columnUnit
	columnDefault
	columnLimits
	columnMeaning
	columnCount
)

// documentedFields returns the rows of the field tables of one chapter by field,
// and the fields in the order of the page.
func documentedFields(t *testing.T, chapter string) (rows map[string][]string, order []string) {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("..", "docs", "config.md"))
	assert.NilError(t, err)
	_, text, ok := strings.Cut(string(page), "\n## "+chapter+"\n")
	assert.Assert(t, ok, "no chapter %q", chapter)
	text, _, _ = strings.Cut(text, "\n## ")
	rows = make(map[string][]string)
	for _, line := range strings.Split(text, "\n") {
		cells := strings.Split(strings.Trim(line, "|"), "|")
		if !strings.HasPrefix(line, "| `") || len(cells) != columnCount {
			continue
		}
		for i := range cells {
			cells[i] = strings.Trim(cells[i], " `")
		}
		assert.Assert(t, rows[cells[columnField]] == nil, "%s is documented twice", cells[columnField])
		rows[cells[columnField]] = cells
		order = append(order, cells[columnField])
	}
	return rows, order
}

// Guards against a page whose fields, types, defaults or limits differ from the
// schema.
func TestConfigPageMatchesSchema(t *testing.T) {
	for chapter, schema := range map[string]*strict.Schema{
		"Configuration text": config.Schema(),
		"Settings file":      daemon.SettingsSchema(),
	} {
		t.Run(chapter, func(t *testing.T) {
			rows, order := documentedFields(t, chapter)
			var fields []string
			for _, f := range schema.Fields() {
				fields = append(fields, f.Path)
				row := rows[f.Path]
				if row == nil {
					continue // reported by the comparison of all fields
				}
				assert.Equal(t, row[columnType], f.Type, f.Path)
				assert.Equal(t, row[columnDefault], documentedDefault(f), f.Path)
				if f.Limits != "" {
					assert.Equal(t, row[columnLimits], f.Limits, f.Path)
				}
				for _, c := range []int{columnUnit, columnLimits, columnMeaning} {
					assert.Assert(t, row[c] != "", "%s: column %d is empty", f.Path, c)
				}
			}
			assert.DeepEqual(t, order, fields)
		})
	}
}

func documentedDefault(f strict.Field) string {
	switch {
	case f.Type == "table":
		return "table"
	case f.Required:
		return "required"
	}
	return f.Default
}
