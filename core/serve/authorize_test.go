package serve

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/outcome"
)

// workspacesConfig returns a configuration with the workspaces that hold the given keys,
// each with a rate.
func workspacesConfig(version uint64, rates map[string]float64, holders map[string]string) *catalog.Config {
	byName := make(map[string]*catalog.Workspace)
	var workspaces []*catalog.Workspace
	for name, rate := range rates {
		byName[name] = &catalog.Workspace{Name: name, RatePerSecond: rate, Burst: rate}
		workspaces = append(workspaces, byName[name])
	}
	keys := make(map[string]*catalog.Workspace)
	for key, name := range holders {
		keys[key] = byName[name]
	}
	before := testConfig(version, testRoutes(), 0)
	var services []catalog.Service
	for _, s := range before.Services {
		services = append(services, s)
	}
	return catalog.NewConfig(version, testRoutes(), services, catalog.Limits{}, workspaces, keys)
}

// applyConfig publishes a configuration and confirms it.
func (h *harness) applyConfig(c *catalog.Config) {
	h.config = c
	h.publish()
	h.confirm()
}

// serveAll answers all attempts at the service "single" until none is left, and returns
// the workspaces as which they ran.
func (h *harness) serveAll() map[string]int {
	ranAs := make(map[string]int)
	for h.running("single") > 0 {
		a := h.takeAttempt("single")
		ranAs[a.Workspace]++
		h.answer(a, "")
	}
	return ranAs
}

// Guards against requests that wait and are refused with a withdrawn key although both
// configurations allow them: the workspace has another name, or none is needed any more.
func TestFaultRenamedWorkspaceUnderRequests(t *testing.T) {
	const rate = 40
	publicRoutes := testRoutes()
	for _, r := range publicRoutes {
		r.Public = true
	}
	configs := map[string]struct {
		config *catalog.Config
		runsAs string
	}{
		"renamed":            {workspacesConfig(3, map[string]float64{"b": rate}, map[string]string{testKey: "b"}), "b"},
		"renamed, unlimited": {workspacesConfig(3, map[string]float64{"b": 0}, map[string]string{testKey: "b"}), "b"},
		"no workspaces":      {catalog.NewConfig(3, testRoutes(), nil, catalog.Limits{}, nil, nil), ""},
		"public":             {catalog.NewConfig(3, publicRoutes, nil, catalog.Limits{}, []*catalog.Workspace{{Name: "c"}}, nil), ""},
	}
	for name, c := range configs {
		for state, inFlight := range inFlight {
			if state == "fan-out" { // all of its attempts have started
				continue
			}
			t.Run(name+", "+state, func(t *testing.T) {
				h := newHarness(t)
				h.applyConfig(workspacesConfig(2, map[string]float64{"a": rate}, map[string]string{testKey: "a"}))
				ids := inFlight(h)
				started := len(h.started)
				h.applyConfig(c.config)
				for _, ask := range h.poolAsks {
					h.step(PoolReplied{ID: ask.ID, Granted: true})
				}
				ranAs := h.serveAll()
				for _, id := range ids {
					assert.Assert(t, h.answers[id] != nil && h.answers[id].Response != nil, "%d: %+v", id, h.answers[id])
				}
				if later := len(ids) - started; later > 0 {
					assert.Assert(t, ranAs[c.runsAs] >= later, "%v", ranAs)
				}
			})
		}
	}
}

// Guards against a workspace that gets a fresh burst with another name.
func TestRenamedWorkspaceKeepsItsBucket(t *testing.T) {
	h := newHarness(t)
	h.applyConfig(workspacesConfig(2, map[string]float64{"a": 10, "other": 10}, map[string]string{testKey: "a"}))
	before := h.engine.workspaces["a"]
	h.applyConfig(workspacesConfig(3, map[string]float64{"b": 10, "other": 10}, map[string]string{testKey: "b"}))
	assert.Equal(t, h.engine.workspaces["b"], before)
	h.applyConfig(workspacesConfig(4, map[string]float64{"b": 10, "other": 10}, map[string]string{testKey: "other"}))
	assert.Assert(t, h.engine.workspaces["other"] != before && h.engine.workspaces["b"] == before)
	h.applyConfig(workspacesConfig(5, map[string]float64{"c": 10, "d": 10}, map[string]string{testKey: "c", "key-b": "d"}))
	assert.Assert(t, h.engine.workspaces["c"] != nil && h.engine.workspaces["c"] != h.engine.workspaces["d"])
}

// Guards against a request whose key another workspace holds now, and that runs as the
// earlier one, or as the new one beyond its rate.
func TestKeyThatMovesUnderRequests(t *testing.T) {
	const rate = 40
	for _, left := range []int{0, 5, 100} { // tokens of the new workspace
		h := newHarness(t)
		rates := map[string]float64{"a": rate, "b": rate}
		h.applyConfig(workspacesConfig(2, rates, map[string]string{testKey: "a"}))
		ids := inFlight["queued"](h)
		started := len(h.started)
		h.engine.workspaces["b"].bucket.SetFill(h.now, float64(left)/rate)
		h.applyConfig(workspacesConfig(3, rates, map[string]string{testKey: "b"}))
		ranAs := h.serveAll()
		wantAsNew := min(len(ids)-started, left)
		assert.Equal(t, ranAs["a"], started)
		assert.Equal(t, ranAs["b"], wantAsNew)
		refused := 0
		for _, id := range ids {
			if r := h.answers[id].Refusal; r != nil {
				assert.Equal(t, r.Code, outcome.CodeRateExceeded)
				assert.Equal(t, r.Outcome, outcome.NotRun)
				refused++
			}
		}
		assert.Equal(t, refused, len(ids)-started-wantAsNew)
	}
}
