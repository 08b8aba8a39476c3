package daemon

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/outcome"
)

// Guards against a page that documents another HTTP status for a refusal code
// than the code sends.
func TestAPIPageStatuses(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "docs", "api.md"))
	assert.NilError(t, err)
	found := regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (\\d{3}) \\|").FindAllStringSubmatch(string(text), -1)
	assert.Assert(t, len(found) > 0)
	for _, row := range found {
		assert.Equal(t, row[2], strconv.Itoa(httpStatus(outcome.Code(row[1]))), row[1])
	}
}
