package contract

import (
	"maps"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/standin"
)

const (
	slowSearchTime = 2 * time.Second
	cancelTimeout  = time.Second // well below slowSearchTime
)

// targetClient calls the target under test. fake is nil if the target is given by the
// flags.
type targetClient struct {
	url  string
	fake *standin.Target
}

type targetStatus struct {
	State        string   `json:"state"`
	Boot         string   `json:"boot"`
	Load         float64  `json:"load"`
	Versions     []uint64 `json:"index_versions"`
	PartitionMap uint64   `json:"partition_map"`
	Group        string   `json:"group"`
}

func newTargetClient(t *testing.T) *targetClient {
	if *targetURL != "" {
		return &targetClient{url: *targetURL}
	}
	fake := standin.NewTarget(standin.TargetOptions{Group: "g00", PartitionMap: 3, Versions: []uint64{7, 6}, Slots: 1})
	t.Cleanup(fake.Close)
	return &targetClient{url: "http://" + fake.Address(), fake: fake}
}

func (s *targetClient) status(t *testing.T) targetStatus {
	t.Helper()
	a := call(t, http.MethodGet, s.url+"/v1/status", nil, "")
	assert.Equal(t, a.status, http.StatusOK)
	return decode[targetStatus](t, a)
}

// search sends one attempt with headers that match the status of the target, except
// for the overrides.
func (s *targetClient) search(t *testing.T, attempt string, overrides headers) answer {
	t.Helper()
	st := s.status(t)
	h := headers{
		"Anvilfork-Attempt": attempt, "Anvilfork-Request-Id": "018f0000000000000000000000000000",
		"Anvilfork-Deadline-Ms": "3000", "Anvilfork-Index-Version": strconv.FormatUint(st.Versions[0], 10),
		"Anvilfork-Partition-Map": strconv.FormatUint(st.PartitionMap, 10), "Anvilfork-Group": st.Group,
		"Anvilfork-Workspace": "league",
	}
	maps.Copy(h, overrides)
	a := call(t, http.MethodPost, s.url+"/v1/search", h, "mats")
	assert.Equal(t, a.header.Get("Anvilfork-Attempt"), attempt)
	assert.Equal(t, a.header.Get("Anvilfork-Boot"), s.status(t).Boot)
	return a
}

// duringSearch calls fn while an attempt runs, and returns the answer of the attempt.
func (s *targetClient) duringSearch(t *testing.T, attempt string, fn func()) answer {
	s.fake.SetDelay(func(int) time.Duration { return slowSearchTime })
	done := make(chan answer, 1)
	go func() { done <- s.search(t, attempt, nil) }()
	for s.status(t).Load == 0 {
		time.Sleep(time.Millisecond)
	}
	fn()
	return <-done
}

// Guards against targets, including the fake, that differ from docs/api.md in what
// the shard owners rely on.
func TestTargetContract(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault bool // the case controls the target and needs the fake
		check func(t *testing.T, s *targetClient)
	}{
		{"status reports what the target can answer", false, func(t *testing.T, s *targetClient) {
			st := s.status(t)
			assert.Assert(t, st.State == "ready" || st.State == "cold" || st.State == "draining", "state %q", st.State)
			assert.Assert(t, len(st.Versions) > 0 && st.Boot != "" && st.Group != "" && st.Load >= 0 && st.Load <= 1)
		}},
		{"search runs in the requested version", false, func(t *testing.T, s *targetClient) {
			for _, v := range s.status(t).Versions {
				version := strconv.FormatUint(v, 10)
				a := s.search(t, "a1", headers{"Anvilfork-Index-Version": version})
				assert.Equal(t, a.status, http.StatusOK)
				assert.Equal(t, a.header.Get("Anvilfork-Index-Version"), version)
			}
		}},
		{"a version that it does not have", false, func(t *testing.T, s *targetClient) {
			assert.Equal(t, s.search(t, "a2", headers{"Anvilfork-Index-Version": "999999"}).status, http.StatusConflict)
		}},
		{"another partition map", false, func(t *testing.T, s *targetClient) {
			assert.Equal(t, s.search(t, "a3", headers{"Anvilfork-Partition-Map": "999999"}).status, http.StatusConflict)
		}},
		{"cancel of an unknown attempt", false, func(t *testing.T, s *targetClient) {
			call(t, http.MethodDelete, s.url+"/v1/attempts/unknown", nil, "")
			assert.Equal(t, s.search(t, "a4", nil).status, http.StatusOK)
		}},
		{"cancel ends the attempt", true, func(t *testing.T, s *targetClient) {
			a := s.duringSearch(t, "a5", func() { call(t, http.MethodDelete, s.url+"/v1/attempts/a5", nil, "") })
			assert.Equal(t, a.status, 499)
			assert.Assert(t, a.elapsed < cancelTimeout, "it took %v", a.elapsed)
			assert.Equal(t, s.fake.Counts().Cancelled, 1)
		}},
		{"a full target sheds without running", true, func(t *testing.T, s *targetClient) {
			s.duringSearch(t, "a6", func() {
				assert.Equal(t, s.search(t, "a7", nil).status, http.StatusServiceUnavailable)
			})
			assert.Equal(t, s.fake.Counts().Ran, 1)
		}},
		{"a draining target reports it and refuses", true, func(t *testing.T, s *targetClient) {
			s.fake.SetState("draining")
			assert.Equal(t, s.status(t).State, "draining")
			assert.Equal(t, s.search(t, "a8", nil).status, http.StatusServiceUnavailable)
			assert.Equal(t, s.fake.Counts().Ran, 0)
		}},
		{"another boot after a restart", true, func(t *testing.T, s *targetClient) {
			before := s.status(t).Boot
			s.fake.Restart()
			assert.Assert(t, s.status(t).Boot != before)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTargetClient(t)
			if c.fault && s.fake == nil {
				t.Skip("needs the fake target")
			}
			c.check(t, s)
		})
	}
}
