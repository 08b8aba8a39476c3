package control

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/lease"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	startingInterval  = 200 * time.Millisecond // until this VM holds shares
	startingLimit     = 10 * time.Second       // after that there may be none to hold
	beatJitter        = 0.1                    // fraction of the interval; keeps VMs that started together from beating together
	callTimeout       = 2 * time.Second
	announceFanOut    = 3 // random peers that are told of a change at once
	failuresToAvoid   = 2 // heartbeats in a row without answer
	avoidFor          = 4 * time.Second
	forgetPeer        = 10 * time.Second
)

// beats is the state of the exchange of heartbeats.
type beats struct {
	next  time.Time
	seq   uint64
	calls map[uint64]*call
	notes map[fleet.VMID]*note
	turn  bool // alternates the random heartbeat between live VMs and silent addresses
}

// call is a heartbeat that has not been answered.
type call struct {
	to     fleet.VM
	sentAt time.Time
	toHub  bool
	table  uint64 // sum of this VM's table when it was sent
	retry  bool
}

// note is what this VM remembers of another one from their exchange.
type note struct {
	stamp    lease.Stamp // of its last reply
	seq      uint64      // of its last heartbeat
	revision uint64
	poisons  uint64
	failures int
	failedAt time.Time
	at       time.Time // when anything was last received from it
}

func newBeats(now time.Time) beats {
	return beats{next: now, calls: make(map[uint64]*call), notes: make(map[fleet.VMID]*note)}
}

func (m *Machine) note(now time.Time, id fleet.VMID) *note {
	n, ok := m.beats.notes[id]
	if !ok {
		n = &note{}
		m.beats.notes[id] = n
	}
	n.at = now
	return n
}

// avoided reports whether a VM has not answered lately.
func (m *Machine) avoided(now time.Time, id fleet.VMID) bool {
	n, ok := m.beats.notes[id]
	return ok && n.failures >= failuresToAvoid && now.Sub(n.failedAt) < avoidFor
}

// beat sends the heartbeats that are due every interval: one to the collecting
// VM and one to a random peer.
func (m *Machine) beat(now time.Time) {
	interval := heartbeatInterval
	if !m.hub.held && now.Sub(m.started) < startingLimit {
		interval = startingInterval
	}
	jitter := 1 + beatJitter*(2*m.random.Float64()-1)
	m.beats.next = now.Add(time.Duration(float64(interval) * jitter))
	m.forget(now)
	m.refresh(now)
	m.vote(now)
	m.allocateSelf(now)
	hub := m.hubVM(now)
	if hub.ID != m.self.ID {
		m.send(now, hub, true)
	} else if silent := m.members.Unreachable(now, m.live); len(m.live) == 1 && len(silent) > 0 {
		hub = silent[0] // VMs that start together meet at the first of the list
		m.send(now, hub, true)
	}
	m.beatRandom(now, hub)
}

// beatRandom sends the heartbeat to a random peer. Every other one goes to an
// address that does not answer, if there is one that may be tried.
func (m *Machine) beatRandom(now time.Time, hub fleet.VM) {
	m.beats.turn = !m.beats.turn
	peers := m.others(hub.ID)
	if m.beats.turn || len(peers) == 0 {
		silent := m.members.Unreachable(now, m.live)
		if len(silent) > 0 && silent[0].PeerURL == hub.PeerURL {
			silent = silent[1:]
		}
		if len(silent) > 0 {
			m.send(now, silent[m.random.Intn(len(silent))], false)
			return
		}
	}
	if len(peers) > 0 {
		m.send(now, peers[m.random.Intn(len(peers))], false)
	}
}

// others returns the live VMs but this one and the one called id.
func (m *Machine) others(id fleet.VMID) []fleet.VM {
	peers := make([]fleet.VM, 0, len(m.live))
	for _, vm := range m.live {
		if vm.ID != m.self.ID && vm.ID != id {
			peers = append(peers, vm)
		}
	}
	return peers
}

// announce tells the collecting VM and some random peers of a change at once;
// they tell others in the same way.
func (m *Machine) announce(now time.Time) {
	hub := m.hubVM(now)
	if hub.ID != m.self.ID {
		m.send(now, hub, true)
	}
	peers := m.others(hub.ID)
	m.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, vm := range peers[:min(len(peers), announceFanOut)] {
		m.send(now, vm, false)
	}
}

func (m *Machine) send(now time.Time, to fleet.VM, toHub bool) {
	m.beats.seq++
	h := Heartbeat{Status: m.status(now), Seq: m.beats.seq, ToHub: toHub, TableChecksum: m.members.Table().Checksum()}
	h.Claim = h.Claim.unlessOf(to.ID)
	h.Ballot = lease.Ballot{Candidate: to.ID}
	if n, ok := m.beats.notes[to.ID]; ok {
		h.Ballot.Stamp = n.stamp
		if n.poisons != m.poisons.sum {
			h.Blocked = m.poisons.list(now)
		}
	}
	if toHub {
		m.fillForHub(now, to, &h)
	}
	m.beats.calls[h.Seq] = &call{to: to, sentAt: now, toHub: toHub, table: h.TableChecksum}
	m.emit(SendHeartbeat{Call: h.Seq, To: to, Heartbeat: h})
}

// status is what this VM says of itself in every message.
func (m *Machine) status(now time.Time) Status {
	s := Status{From: m.self, Serving: m.serving(now), PoisonChecksum: m.poisons.sum, Claim: m.currentClaim(now)}
	if c := m.order.Current(); c != nil {
		s.Revision, s.Digest = c.Revision, c.Digest
	}
	return s
}

// answer takes a heartbeat and returns the reply. A heartbeat that was sent
// before one already received changes nothing.
func (m *Machine) answer(now time.Time, h Heartbeat) HeartbeatReply {
	if h.From.ID == m.self.ID || h.From.PeerURL == m.self.PeerURL {
		return HeartbeatReply{Status: m.status(now)}
	}
	n := m.note(now, h.From.ID)
	if h.Seq <= n.seq {
		return HeartbeatReply{Status: m.status(now)}
	}
	n.seq = h.Seq
	proof := m.echoed(now, h.Ballot)
	m.heard(now, &h.Status, proof)
	if h.ToHub {
		m.report(now, &h, proof)
	}
	r := HeartbeatReply{Status: m.status(now), Stamp: m.hub.candidate.Stamp(now)}
	r.Claim = r.Claim.unlessOf(h.From.ID)
	if h.PoisonChecksum != m.poisons.sum {
		r.Blocked = m.poisons.list(now)
	}
	if h.ToHub {
		m.fillReply(now, &h, &r)
	}
	return r
}

// echoed returns the moment of the stamp that a heartbeat echoes, zero when it
// echoes none of this incarnation.
func (m *Machine) echoed(now time.Time, b lease.Ballot) time.Time {
	if b.Candidate != m.self.ID || b.Stamp <= 0 {
		return time.Time{}
	}
	at := m.started.Add(time.Duration(b.Stamp - 1))
	if at.After(now) {
		return time.Time{}
	}
	return at
}

// heard takes the status in a heartbeat or reply with the moment that proves it.
func (m *Machine) heard(now time.Time, s *Status, proof time.Time) {
	n := m.note(now, s.From.ID)
	n.revision, n.poisons = s.Revision, s.PoisonChecksum
	m.changed = m.members.Observe(now, s.From, proof) || m.changed
	if proof.After(m.gate.peerAt) {
		m.gate.peerAt = proof
	}
	m.announced(now, s)
	m.blocked(now, s.Blocked)
	m.consider(now, s.From.ID, s.Claim, proof)
	if s.Serving {
		m.gate.serving = now
	}
	if s.From.State == fleet.Leaving && s.Claim.VM.ID != s.From.ID {
		m.peerLeaves(now, s.From.ID)
	}
}

func (m *Machine) answered(now time.Time, ev HeartbeatAnswered) {
	c, ok := m.beats.calls[ev.Call]
	if !ok || ev.Reply.From.ID == "" || ev.Reply.From.PeerURL != c.to.PeerURL {
		return
	}
	delete(m.beats.calls, ev.Call)
	r := &ev.Reply
	first := m.beats.notes[r.From.ID] == nil
	n := m.note(now, r.From.ID)
	n.failures = 0
	n.stamp = max(n.stamp, r.Stamp)
	m.hub.voter.RecordStamp(now, r.From.ID, r.Stamp)
	m.heard(now, &r.Status, c.sentAt)
	if c.toHub {
		m.fromHub(now, c, r)
	}
	if first && !m.gate.open {
		m.beats.next = now // prove this VM to its first contacts without delay
	}
}

func (m *Machine) beatFailed(now time.Time, id uint64) {
	c, ok := m.beats.calls[id]
	if !ok {
		return
	}
	delete(m.beats.calls, id)
	n := m.note(now, c.to.ID)
	n.failures++
	n.failedAt = now
	m.members.RecordFailure(now, c.to.PeerURL)
	m.retry(now, c)
}

// retry replaces a heartbeat to a VM that did not answer by one to another VM,
// once, so that a few lost VMs do not fence this one.
func (m *Machine) retry(now time.Time, c *call) {
	peers := m.others(c.to.ID)
	if c.retry || len(peers) == 0 || now.Sub(m.gate.peerAt) < heartbeatInterval {
		return
	}
	m.send(now, peers[m.random.Intn(len(peers))], false)
	m.beats.calls[m.beats.seq].retry = true
}

// expireCalls ends calls whose end was never reported.
func (m *Machine) expireCalls(now time.Time) {
	for id, c := range m.beats.calls {
		if now.Sub(c.sentAt) > callTimeout {
			m.beatFailed(now, id)
		}
	}
}

func (m *Machine) forget(now time.Time) {
	m.members.Expire(now)
	m.poisons.expire(now)
	for id, n := range m.beats.notes {
		if now.Sub(n.at) > forgetPeer {
			delete(m.beats.notes, id)
			delete(m.hub.reports, id)
			m.hub.voter.Forget(id)
		}
	}
}
