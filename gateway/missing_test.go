package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

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
