package daemon_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against metrics that are recorded but not served, and against gauges
// that are not updated after the start.
func TestMetricsAreServed(t *testing.T) {
	f := startFleet(t, 1, 2)
	f.query(t, f.client(t))
	var text string
	eventually(t, "the metrics over the last minute are not updated", func() bool {
		resp, err := http.Get(f.vms[0].AdminURL() + "/metrics")
		assert.NilError(t, err)
		defer resp.Body.Close()
		assert.Equal(t, resp.Header.Get("Content-Type"), "text/plain; version=0.0.4; charset=utf-8")
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		text = string(body)
		return strings.Contains(text, `anvilfork_workspace_answered_ratio{workspace="league"}`)
	})
	for _, sample := range []string{
		`anvilfork_answers_total{service="stock",workspace="league"} 1`,
		`anvilfork_subrequests_total{service="stock",workspace="league"} 2`,
		`anvilfork_extra_load_ratio{service="stock"} `,
		`anvilfork_worst_workspace_answered_ratio `,
		`anvilfork_refusals_total{code="overloaded"} 0`,
	} {
		assert.Assert(t, strings.Contains(text, sample), "%s is not in\n%s", sample, text)
	}
}
