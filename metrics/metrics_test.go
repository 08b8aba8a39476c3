package metrics

import (
	"strconv"
	"strings"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/outcome"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// exposition returns all series in the text format.
func exposition(t *testing.T, r *Registry) string {
	t.Helper()
	var b strings.Builder
	assert.NilError(t, r.Write(&b))
	return b.String()
}

// samples returns the lines of an exposition without comments.
func samples(text string) []string {
	var all []string
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "#") {
			all = append(all, strings.TrimSpace(line))
		}
	}
	return all
}

func refusedQuery(workspace string, code outcome.Code) Query {
	return Query{Service: "mats", Workspace: workspace, Refusal: outcome.New(code, outcome.NotRun, "test")}
}

func answeredQuery(workspace string) Query {
	return Query{Service: "mats", Workspace: workspace, Duration: 20 * time.Millisecond, Coverage: 1, Shards: 10, Attempts: 11, Hedges: 1}
}

// Guards against missing series, and against values in the wrong unit.
func TestExposition(t *testing.T) {
	r := New(epoch)
	r.Record(epoch, answeredQuery("large"))
	r.Record(epoch, refusedQuery("large", outcome.CodeRateExceeded))
	r.Record(epoch, refusedQuery("small", outcome.CodeNoHome))
	r.RecordOverload()
	r.RecordConnection("spare")
	r.RecordConnection("spare")
	r.RecordConnection("loss")
	r.Refresh(epoch)
	assert.DeepEqual(t, samples(exposition(t, r)), []string{
		`anvilfork_answers_total{service="mats",workspace="large"} 1`,
		`anvilfork_attempts_total{service="mats",workspace="large"} 11`,
		`anvilfork_attempts_total{service="mats",workspace="small"} 0`,
		`anvilfork_connections_opened_total{cause="loss"} 1`,
		`anvilfork_connections_opened_total{cause="spare"} 2`,
		`anvilfork_coverage_ratio{service="mats",workspace="large",quantile="0.5"} 1`,
		`anvilfork_coverage_ratio{service="mats",workspace="large",quantile="0.9"} 1`,
		`anvilfork_coverage_ratio{service="mats",workspace="large",quantile="0.99"} 1`,
		`anvilfork_coverage_ratio{service="mats",workspace="large",quantile="0.999"} 1`,
		`anvilfork_coverage_ratio_sum{service="mats",workspace="large"} 1`,
		`anvilfork_coverage_ratio_count{service="mats",workspace="large"} 1`,
		`anvilfork_extra_load_ratio{service="mats"} 0.1`,
		`anvilfork_hedges_total{service="mats",workspace="large"} 1`,
		`anvilfork_hedges_total{service="mats",workspace="small"} 0`,
		`anvilfork_queries_total{service="mats",workspace="large"} 2`,
		`anvilfork_queries_total{service="mats",workspace="small"} 1`,
		`anvilfork_query_duration_seconds{service="mats",workspace="large",quantile="0.5"} 0.02`,
		`anvilfork_query_duration_seconds{service="mats",workspace="large",quantile="0.9"} 0.02`,
		`anvilfork_query_duration_seconds{service="mats",workspace="large",quantile="0.99"} 0.02`,
		`anvilfork_query_duration_seconds{service="mats",workspace="large",quantile="0.999"} 0.02`,
		`anvilfork_query_duration_seconds_sum{service="mats",workspace="large"} 0.02`,
		`anvilfork_query_duration_seconds_count{service="mats",workspace="large"} 1`,
		`anvilfork_refusals_inside_rate_total{service="mats",workspace="small",code="no_home"} 1`,
		`anvilfork_refusals_total{service="mats",workspace="large",code="rate_exceeded"} 1`,
		`anvilfork_refusals_total{service="mats",workspace="small",code="no_home"} 1`,
		`anvilfork_refusals_total{code="overloaded"} 1`,
		`anvilfork_subrequests_total{service="mats",workspace="large"} 10`,
		`anvilfork_subrequests_total{service="mats",workspace="small"} 0`,
		`anvilfork_workspace_answered_ratio{workspace="large"} 1`,
		`anvilfork_workspace_answered_ratio{workspace="small"} 0`,
		`anvilfork_workspace_offered_per_second{workspace="large"} 0.03333333333333333`,
		`anvilfork_workspace_offered_per_second{workspace="small"} 0.016666666666666666`,
		`anvilfork_worst_workspace_answered_ratio 0`,
	})
}

// Guards against a metric that scrapers cannot read, or that has no help text,
// type or unit suffix.
func TestSeriesAreDescribed(t *testing.T) {
	r := New(epoch)
	partial := answeredQuery("a")
	partial.Coverage, partial.MissingCauses = 0.5, []string{"late"}
	r.Record(epoch, partial)
	refused := refusedQuery("a", outcome.CodeNoHome)
	refused.CallerRefusal = "over_share"
	r.Record(epoch, refused)
	r.RecordConnection("spare")
	r.RecordFailedAttempt("a", "unreadable")
	r.Refresh(epoch)
	r.RecordBlocked(1)
	r.RecordStore(Store{Era: 2, Rewinds: 1, Kept: map[string]int{"zone_out": 3}})
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(exposition(t, r)))
	assert.NilError(t, err)
	assert.Equal(t, len(families), len(help))
	for name, f := range families {
		assert.Assert(t, f.GetHelp() != "", name)
		assert.Assert(t, f.GetType() != dto.MetricType_UNTYPED, name)
		suffixed := false
		for _, suffix := range []string{"_total", "_seconds", "_ratio", "_per_second", "_entries", "_era"} {
			suffixed = suffixed || strings.HasSuffix(name, suffix)
		}
		assert.Assert(t, suffixed, name)
		assert.Equal(t, f.GetType() == dto.MetricType_COUNTER, strings.HasSuffix(name, "_total"), name)
	}
}

// Guards against missing shards whose cause is not counted.
func TestMissingShardsAreCountedByCause(t *testing.T) {
	r := New(epoch)
	partial := answeredQuery("a")
	partial.Coverage, partial.MissingCauses = 0.7, []string{"late", "queued", "late"}
	r.Record(epoch, partial)
	text := exposition(t, r)
	for _, want := range []string{`{service="mats",cause="late"} 2`, `{service="mats",cause="queued"} 1`} {
		assert.Assert(t, strings.Contains(text, "anvilfork_missing_shards_total"+want), text)
	}
}

// Guards against a badly served workspace that is hidden by well-served ones,
// against a workspace over its rate that counts as badly served, and against a
// bad ratio that stays after its queries left the window.
func TestWorstWorkspace(t *testing.T) {
	r := New(epoch)
	for i := range 10 {
		now := epoch.Add(time.Duration(i) * time.Second)
		r.Record(now, answeredQuery("large"))
		r.Record(now, refusedQuery("large", outcome.CodeRateExceeded))
		if i < 8 {
			r.Record(now, answeredQuery("small"))
		} else {
			r.Record(now, refusedQuery("small", outcome.CodeOverloaded))
		}
	}
	for _, c := range []struct {
		at    time.Duration
		worst float64
	}{
		{9 * time.Second, 0.8},
		{62 * time.Second, 5.0 / 7}, // the first three answers have left the minute
		{68 * time.Second, 0},
		{69 * time.Second, 1},
		{time.Hour, 1},
	} {
		r.Refresh(epoch.Add(c.at))
		assert.Equal(t, gaugeValue(t, r, "anvilfork_worst_workspace_answered_ratio"), c.worst, "%v", c.at)
	}
	assert.Equal(t, len(r.AnsweredRatios()), 0)
	assert.Assert(t, !strings.Contains(exposition(t, r), "workspace_answered_ratio{"))
}

// gaugeValue returns the value of a series without labels.
func gaugeValue(t *testing.T, r *Registry, name string) float64 {
	t.Helper()
	for _, line := range samples(exposition(t, r)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			v, err := strconv.ParseFloat(value, 64)
			assert.NilError(t, err)
			return v
		}
	}
	t.Fatalf("no series %s", name)
	return 0
}

// Guards against a window that keeps old counts, and against one that loses new
// counts when more time than its length passes or the clock steps back.
func TestWindow(t *testing.T) {
	cases := []struct {
		name string
		adds []int64
		at   int64
		want int64
	}{
		{"one", []int64{0}, 0, 1},
		{"kept for a minute", []int64{0}, 59, 1},
		{"gone after it", []int64{0}, 60, 0},
		{"long pause", []int64{0, 1, 2}, 1000, 0},
		{"after a long pause", []int64{0, 1000}, 1000, 1},
		{"one a second", []int64{0, 1, 2, 58, 59, 60, 61}, 61, 5},
		{"clock back", []int64{5, 3}, 5, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var w window
			for _, second := range c.adds {
				w.add(second, tally{offered: 1})
			}
			w.advance(c.at)
			assert.Equal(t, w.sum().offered, c.want)
		})
	}
}

// Guards against memory that grows with the number of names in requests.
func TestSeriesAreBounded(t *testing.T) {
	r := New(epoch)
	for i := range 2 * maxSeries {
		r.Record(epoch, answeredQuery("w"+strconv.Itoa(i)))
	}
	r.Refresh(epoch)
	assert.Assert(t, len(r.names) <= maxSeries)
	assert.Assert(t, len(r.workspaces) <= maxSeries)
	assert.Assert(t, strings.Contains(exposition(t, r), `workspace="other"`))
}
