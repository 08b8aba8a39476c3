package control_test

import (
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/lease"
	"github.com/anvilfork/anvilfork/internal/controltest"
)

// singleMachine drives one machine by hand and records its actions.
type singleMachine struct {
	now     time.Time
	machine *control.Machine
	view    *fleet.View
	sent    []control.SendHeartbeat
	fetches []control.FetchDocument
	replies []control.HeartbeatReply
}

func newSingleMachine() *singleMachine {
	now := time.Unix(1_000_000, 0)
	s := &singleMachine{now: now, machine: control.New(now, vm("vm1"), rand.New(rand.NewSource(1)))}
	s.step(control.Tick{})
	return s
}

func vm(name string) fleet.VM {
	return fleet.VM{ID: fleet.VMID(name + "-00000001"), Zone: "a", PeerURL: "http://" + name, CallerURL: "http://" + name + ".caller", State: fleet.Starting}
}

func (s *singleMachine) step(ev control.Event) {
	for _, a := range s.machine.Step(s.now, ev) {
		switch a := a.(type) {
		case control.Publish:
			s.view = a.View
		case control.SendHeartbeat:
			s.sent = append(s.sent, a)
		case control.FetchDocument:
			s.fetches = append(s.fetches, a)
		case control.AnswerHeartbeat:
			s.replies = append(s.replies, a.Reply)
		}
	}
}

func (s *singleMachine) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.step(control.Tick{})
}

// statusOf returns the status of a serving peer with a document.
func statusOf(name string, text []byte) control.Status {
	c, err := config.Parse(text)
	if err != nil {
		panic(err)
	}
	from := vm(name)
	from.State = fleet.Live
	return control.Status{From: from, Revision: c.Revision, Digest: c.Digest, Serving: true}
}

// newServingMachine returns a machine that serves revision 1 with one peer, and the
// last heartbeat of that peer.
func newServingMachine() (*singleMachine, control.Heartbeat) {
	s := newSingleMachine()
	s.step(control.ConfigRead{Document: plainDocument(1, 3)})
	h := control.Heartbeat{Status: statusOf("vm2", plainDocument(1, 3)), Seq: 1}
	s.step(control.PeerHeartbeat{Call: 1, Heartbeat: h})
	h.Ballot = lease.Ballot{Candidate: vm("vm1").ID, Stamp: s.replies[0].Stamp}
	h.Seq = 2
	s.step(control.PeerHeartbeat{Call: 2, Heartbeat: h})
	return s, h
}

// Guards against a start gate that opens between the announcement of a newer
// document and its arrival.
func TestStartGateWaitsForNewerDocument(t *testing.T) {
	t.Parallel()
	s := newSingleMachine()
	s.step(control.ConfigRead{Document: plainDocument(1, 3)})
	s.step(control.PeerHeartbeat{Call: 1, Heartbeat: control.Heartbeat{Status: statusOf("vm2", plainDocument(2, 3)), Seq: 1}})
	assert.Assert(t, !s.view.Serving)
	assert.Equal(t, len(s.fetches), 1)
	s.advance(time.Second / 2)
	assert.Assert(t, !s.view.Serving)
	s.step(control.DocumentFetched{From: vm("vm2").ID, Document: plainDocument(2, 3)})
	assert.Assert(t, s.view.Serving)
	assert.Equal(t, s.view.Config.Revision, uint64(2))
}

// Guards against more than one fetch of a document at a time, and against a failed
// fetch that is not retried from another peer.
func TestOneFetchInFlight(t *testing.T) {
	t.Parallel()
	s, _ := newServingMachine()
	for i, name := range []string{"vm2", "vm3", "vm4"} {
		s.step(control.PeerHeartbeat{Call: uint64(10 + i), Heartbeat: control.Heartbeat{Status: statusOf(name, plainDocument(2, 3)), Seq: 10}})
	}
	assert.Equal(t, len(s.fetches), 1)
	s.step(control.FetchFailed{From: s.fetches[0].From.ID})
	assert.Equal(t, len(s.fetches), 2)
	assert.Assert(t, s.fetches[1].From.ID != s.fetches[0].From.ID)
}

// Guards against a VM that knows of a newer document, cannot fetch it, and keeps
// serving with keys that may be withdrawn.
func TestFaultNewerTextCannotBeFetched(t *testing.T) {
	t.Parallel()
	s, h := newServingMachine()
	for range 12 {
		h.Status, h.Seq = statusOf("vm2", plainDocument(2, 3)), h.Seq+1
		h.Ballot.Stamp = s.replies[len(s.replies)-1].Stamp
		s.step(control.PeerHeartbeat{Call: 1, Heartbeat: h})
		s.step(control.FetchFailed{From: vm("vm2").ID})
		s.advance(150 * time.Millisecond)
	}
	assert.Assert(t, s.view.Fenced)
	s.step(control.DocumentFetched{From: vm("vm2").ID, Document: plainDocument(2, 3)})
	assert.Assert(t, !s.view.Fenced)
}

// Guards against an answer that a paused VM processes late and takes as proof that
// its peer or the service is reachable now.
func TestFaultLateAnswerLiftsNoFence(t *testing.T) {
	t.Parallel()
	s, _ := newServingMachine()
	s.advance(500 * time.Millisecond)
	call := s.sent[len(s.sent)-1]
	s.now = s.now.Add(10 * time.Second)
	s.step(control.HeartbeatAnswered{Call: call.Call, Reply: control.HeartbeatReply{Status: statusOf("vm2", plainDocument(1, 3)), Stamp: 5}})
	assert.Assert(t, s.view.FencedAt(s.now))
	s.step(control.ConfigUnchanged{})
	assert.Assert(t, s.view.FencedAt(s.now))
	assert.Equal(t, len(s.view.VMs), 1, "the unresponsive VM counts as live")
}

// Guards against replayed and reordered messages that change what a VM knows.
func TestFaultReplayedMessages(t *testing.T) {
	t.Parallel()
	s, h := newServingMachine()
	leaving := h
	leaving.Seq, leaving.From.State = 3, fleet.Leaving
	s.step(control.PeerHeartbeat{Call: 3, Heartbeat: leaving})
	state := func() fleet.VMState {
		peer, _ := s.view.VM(h.From.ID)
		return peer.State
	}
	s.advance(500 * time.Millisecond)
	assert.Equal(t, state(), fleet.Leaving)

	replayed := h // the peer was live when it sent this one
	s.step(control.PeerHeartbeat{Call: 4, Heartbeat: replayed})
	newer := replayed
	newer.Status = statusOf("vm2", plainDocument(9, 3))
	s.step(control.PeerHeartbeat{Call: 5, Heartbeat: newer})
	s.advance(500 * time.Millisecond)
	assert.Equal(t, state(), fleet.Leaving)
	assert.Equal(t, len(s.fetches), 0)
	assert.Equal(t, s.replies[len(s.replies)-1].Stamp, lease.Stamp(0), "a replayed heartbeat got a stamp")

	call := s.sent[len(s.sent)-1].Call
	answer := control.HeartbeatAnswered{Call: call, Reply: control.HeartbeatReply{Status: statusOf("vm3", plainDocument(9, 3))}}
	answer.Reply.From.PeerURL = "http://elsewhere"
	s.step(answer)
	s.step(control.HeartbeatAnswered{Call: 1 << 40, Reply: answer.Reply})
	assert.Equal(t, len(s.fetches), 0)
}

// Guards against a stamp that was never issued, is old or is of another incarnation,
// and yet counts as proof that a VM is alive.
func TestFaultForgedEcho(t *testing.T) {
	t.Parallel()
	for name, ballot := range map[string]lease.Ballot{
		"Future":     {Candidate: vm("vm1").ID, Stamp: lease.Stamp(time.Hour)},
		"OtherVM":    {Candidate: "vm1-00000000", Stamp: 1},
		"NoneAtAll":  {Candidate: vm("vm1").ID},
		"OldStamp":   {Candidate: vm("vm1").ID, Stamp: 1},
		"OldPromise": {Candidate: vm("vm1").ID, Stamp: 1, Promised: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSingleMachine()
			s.step(control.ConfigRead{Document: plainDocument(1, 3)})
			s.advance(4 * time.Second)
			s.step(control.PeerHeartbeat{Call: 1, Heartbeat: control.Heartbeat{Status: statusOf("vm2", plainDocument(1, 3)), Seq: 1, Ballot: ballot, ToHub: true}})
			s.advance(500 * time.Millisecond)
			assert.Equal(t, len(s.view.VMs), 1)
			assert.Assert(t, s.view.FencedAt(s.now))
		})
	}
}

// Guards against a cold start although a VM has held shares: the shares of the VMs
// that it knew before and that were killed may still be in use.
func TestFaultColdStartWithOldVM(t *testing.T) {
	t.Parallel()
	f := newFleet(4, 4, 1)
	within(t, f, maxStartTime, "the fleet did not start", func() bool { return fleetServes(f) && allSharesHeld(f) })
	f.Run(5 * time.Second)
	for _, n := range f.Up()[1:] {
		n.Kill()
		f.Start(string(n.VM.ID[:5]), n.VM.Zone)
	}
	f.Up()[0].Freeze() // holds shares and votes
	old := f.Up()[0]
	throughout(t, f, 3*time.Second, "slots were granted too early", func() bool {
		return slotsOf(f, f.Up()) == slotsOf(f, []*controltest.Node{old})
	})
}

// Guards against a wait for the votes and shares of VMs that cannot exist, when
// max_vms is 1.
func TestSingleVMStartsAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(1, 1, 1)
	elapsed := within(t, f, time.Second, "the VM did not start", func() bool { return fleetServes(f) && allSharesHeld(f) })
	t.Logf("1 of 1 VM: all shares held after %v", elapsed)
}

// Guards against a cold start although not all VMs that can be alive were alive at
// one moment, or one of them has held a share or counted a vote.
func TestFaultNotAllFresh(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name         string
		maxVMs       int
		fresh        bool // the first peer never held a share or counted a vote
		reportsAgain bool // the first peer reports again after the second has appeared
		wantCold     bool
	}{
		{"AllFresh", 3, true, true, true},
		{"OneVMMissing", 4, true, true, false},
		{"OneHeldShares", 3, false, true, false},
		{"OneMayHaveDied", 3, true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSingleMachine()
			document := plainDocument(1, c.maxVMs)
			s.step(control.ConfigRead{Document: document})
			seqs := make(map[string]uint64)
			stamps := make(map[string]lease.Stamp)
			report := func(name string, fresh bool) control.HeartbeatReply {
				s.now = s.now.Add(10 * time.Millisecond)
				seqs[name]++
				s.step(control.PeerHeartbeat{Call: 1, Heartbeat: control.Heartbeat{
					Status: statusOf(name, document), Seq: seqs[name], ToHub: true, HasNoHistory: fresh,
					Ballot: lease.Ballot{Candidate: vm("vm1").ID, Stamp: stamps[name]},
				}})
				r := s.replies[len(s.replies)-1]
				stamps[name] = r.Stamp
				return r
			}
			report("vm2", c.fresh)
			report("vm2", c.fresh)
			report("vm3", true)
			if c.reportsAgain {
				report("vm2", c.fresh)
				report("vm2", c.fresh)
			}
			assert.Equal(t, report("vm3", true).ColdStart, c.wantCold)
		})
	}
}
