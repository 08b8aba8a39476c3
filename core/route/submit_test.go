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

// submit sends a sub-request, modified by change unless nil, and returns its record.
func (sim *simulation) submit(change func(*scatter.SubRequest)) *simSub {
	sim.subSeq++
	s := &simSub{sentAt: sim.now, SubRequest: scatter.SubRequest{
		ID: scatter.SubID{Ingress: "vm0", Seq: sim.subSeq}, Workspace: "small", Shard: sim.shard.ID(), PartitionMap: sim.assign.Service.PartitionMap,
		IndexVersion: simVersion, Deadline: sim.now.Add(time.Second), Idempotent: true,
		Fingerprint: fleet.Fingerprint{byte(sim.subSeq), byte(sim.subSeq >> 8), byte(sim.subSeq >> 16), 1},
	}}
	if change != nil {
		change(&s.SubRequest)
	}
	sim.subs[s.ID] = s
	sim.step(&route.Submit{Sub: s.SubRequest})
	return s
}

func (sim *simulation) cancel(s *simSub) {
	s.cancelled = true
	sim.step(route.Cancel{ID: s.ID})
}

// load submits n sub-requests at a fixed interval.
func (sim *simulation) load(n int, interval time.Duration, change func(*scatter.SubRequest)) []*simSub {
	subs := make([]*simSub, 0, n)
	for range n {
		subs = append(subs, sim.submit(change))
		sim.run(interval)
	}
	return subs
}

// replied checks a reply: there is one per sub-request, and it does not say "not
// run" of a request that may have run.
func (sim *simulation) replied(r scatter.SubReply) {
	s := sim.subs[r.ID]
	s.replies = append(s.replies, r)
	s.answeredAt = sim.now
	switch {
	case s.cancelled:
		sim.t.Fatalf("reply to a cancelled sub-request")
	case len(s.replies) > 1:
		sim.t.Fatalf("second reply to a sub-request")
	case r.Status == scatter.Answered && s.mayHaveRun == 0:
		sim.t.Fatalf("answer of a sub-request that no target ran")
	case notRun(r) && s.mayHaveRun > 0 && !s.Idempotent:
		sim.t.Fatalf("%+v says not run, but a target may have run it", r)
	case r.Status == scatter.Refused && r.Refusal.Outcome == outcome.NotRun && s.mayHaveRun > 0:
		sim.t.Fatalf("refusal %v says not run, but a target may have run it", r.Refusal)
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

func (s *simSub) latency() time.Duration { return s.answeredAt.Sub(s.sentAt) }

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
		all = append(all, s.latency())
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

// assertAll waits for the work in flight and checks that all of subs were answered.
func assertAll(t *testing.T, sim *simulation, subs []*simSub) {
	t.Helper()
	sim.run(time.Second)
	for _, s := range subs {
		assert.Assert(t, s.ok(), "sub-request %d: %+v refusal %v", s.ID.Seq, s.replies, s.refusal())
	}
}
