package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/callers"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/serve"
	"github.com/anvilfork/anvilfork/metrics"
)

// Guards against causes of missing shards that reach neither the log line of the answer
// nor the metrics.
func TestMissingCausesAreLoggedAndCounted(t *testing.T) {
	var log, series bytes.Buffer
	now := time.Unix(1, 0)
	task := &engineTask{log: zerolog.New(&log), metrics: metrics.New(now)}
	a := &serve.Answer{Merged: &serve.Merged{MissingShards: 1}, Trace: serve.Trace{
		Route: "all", Shards: 2, MissingShards: []string{"s0"}, MissingCauses: []serve.MissingCause{serve.MissingQueued},
	}}
	task.recordMetrics(now, a)
	task.logAnswer(now, &serve.Request{}, a)
	assert.Assert(t, strings.Contains(log.String(), `"missing":["s0"]`) && strings.Contains(log.String(), `"missing_causes":["queued"]`), log.String())
	assert.NilError(t, task.metrics.Write(&series))
	assert.Assert(t, strings.Contains(series.String(), `anvilfork_missing_shards_total{service="all",cause="queued"} 1`), series.String())
}

// Guards against refusals for the caller's sake that operators can't tell from others,
// and against keys in their lines.
func TestCallerRefusalsAreLoggedAndCounted(t *testing.T) {
	var log, series bytes.Buffer
	now := time.Unix(1, 0)
	task := &engineTask{log: zerolog.New(&log), metrics: metrics.New(now)}
	a := &serve.Answer{Refusal: outcome.New(outcome.CodeOverloaded, outcome.NotRun, "wait"), Trace: serve.Trace{
		Route: "all", Caller: callers.Verdict{Refusal: callers.EarlyRepeat, Measure: 4, Mean: 0.5},
	}}
	task.recordMetrics(now, a)
	task.logAnswer(now, &serve.Request{Caller: "192.0.2.7", Key: "secret"}, a)
	want := `"caller":"192.0.2.7","standing":"fair","caller_refusal":"early_repeat","caller_measure":4,"mean_measure":0.5`
	assert.Assert(t, strings.Contains(log.String(), want) && !strings.Contains(log.String(), "secret"), log.String())
	assert.NilError(t, task.metrics.Write(&series))
	assert.Assert(t, strings.Contains(series.String(), `anvilfork_caller_refusals_total{service="all",cause="early_repeat"} 1`), series.String())
}
