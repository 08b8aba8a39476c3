package route_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/route"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// submit sends a sub-request and returns its record.
func (w *world) submit(change func(*scatter.SubRequest)) *simSub {
	w.seq++
	s := &simSub{sent: w.now, SubRequest: scatter.SubRequest{
		ID: scatter.SubID{Ingress: "vm0", Seq: w.seq}, Workspace: "small", Shard: w.g.ID(), PartitionMap: w.assign.Service.PartitionMap,
		IndexVersion: simVersion, Deadline: w.now.Add(time.Second), Idempotent: true,
		Fingerprint: fleet.Fingerprint{byte(w.seq), byte(w.seq >> 8), byte(w.seq >> 16), 1},
	}}
	if change != nil {
		change(&s.SubRequest)
	}
	w.subs[s.ID] = s
	w.step(&route.Submit{Sub: s.SubRequest})
	return s
}

func (w *world) cancel(s *simSub) {
	s.cancelled = true
	w.step(route.Cancel{ID: s.ID})
}

// load submits n sub-requests at a fixed interval.
func (w *world) load(n int, interval time.Duration, change func(*scatter.SubRequest)) []*simSub {
	subs := make([]*simSub, 0, n)
	for range n {
		subs = append(subs, w.submit(change))
		w.run(interval)
	}
	return subs
}

func (w *world) replied(r scatter.SubReply) {
	s := w.subs[r.ID]
	s.replies = append(s.replies, r)
	s.answered = w.now
	switch {
	case s.cancelled:
		w.t.Fatalf("reply to a cancelled sub-request")
	case len(s.replies) > 1:
		w.t.Fatalf("second reply to a sub-request")
	case r.Status == scatter.Answered && s.ran == 0:
		w.t.Fatalf("answer of a sub-request that no target ran")
	case notRun(r) && s.ran > 0 && !s.Idempotent:
		w.t.Fatalf("%+v says not run, but a target may have run it", r)
	case r.Status == scatter.Refused && r.Refusal.Outcome == outcome.NotRun && s.ran > 0:
		w.t.Fatalf("refusal %v says not run, but a target may have run it", r.Refusal)
	}
}

func notRun(r scatter.SubReply) bool {
	switch r.Status {
	case scatter.VersionGone, scatter.PartitionMapChanged, scatter.NotOwner:
		return true
	case scatter.Refused:
		return r.Refusal.Outcome == outcome.NotRun
	}
	return false
}

func (s *simSub) ok() bool { return len(s.replies) == 1 && s.replies[0].Status == scatter.Answered }

func (s *simSub) refusal() *outcome.Refusal {
	if len(s.replies) != 1 || s.replies[0].Refusal == nil {
		return &outcome.Refusal{}
	}
	return s.replies[0].Refusal
}

func (s *simSub) took() time.Duration { return s.answered.Sub(s.sent) }

func answered(subs []*simSub) int {
	n := 0
	for _, s := range subs {
		if s.ok() {
			n++
		}
	}
	return n
}

func quantile(subs []*simSub, q float64) time.Duration {
	var all []time.Duration
	for _, s := range subs {
		all = append(all, s.took())
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

// assertAll waits for what is in flight and checks that all were answered.
func assertAll(t *testing.T, w *world, subs []*simSub) {
	t.Helper()
	w.run(time.Second)
	for _, s := range subs {
		assert.Assert(t, s.ok(), "sub-request %d: %+v refusal %v", s.ID.Seq, s.replies, s.refusal())
	}
}
