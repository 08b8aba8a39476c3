package control

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/lease"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	startingInterval  = 200 * time.Millisecond // until this VM holds shares, at most for maxStartingTime
	maxStartingTime   = 10 * time.Second       // a VM that holds no share by then may get none
	heartbeatJitter   = 0.1                    // fraction of the interval; keeps VMs that started together from sending at the same times
	callTimeout       = 2 * time.Second
	announceFanOut    = 3               // random peers that a change is sent to at once
	maxFailures       = 2               // consecutive unanswered heartbeats after which a VM is avoided
	avoidDuration     = 4 * time.Second // how long after its last failure such a VM is avoided
	peerStateTTL      = 10 * time.Second
)

// heartbeats holds the heartbeats that this VM has sent and what it knows of
// its peers from theirs.
type heartbeats struct {
	next           time.Time
	seq            uint64
	calls          map[uint64]*pendingCall
	peers          map[fleet.VMID]*peerState
	tryUnreachable bool // alternates the random heartbeat between live VMs and unreachable addresses
}

// pendingCall is a heartbeat that has not been answered.
type pendingCall struct {
	to            fleet.VM
	sentAt        time.Time
	toHub         bool
	tableChecksum uint64 // of this VM's table when it was sent
	isRetry       bool
}

// peerState is what this VM knows of another VM from their heartbeats.
type peerState struct {
	stamp          lease.Stamp // of its last reply
	seq            uint64      // of its last heartbeat
	revision       uint64
	poisonChecksum uint64
	failures       int
	failedAt       time.Time
	lastSeen       time.Time // when anything was last received from it
}

func newHeartbeats(now time.Time) heartbeats {
	return heartbeats{next: now, calls: make(map[uint64]*pendingCall), peers: make(map[fleet.VMID]*peerState)}
}

// touchPeer returns the state of a peer, which it creates if needed, and marks
// the peer as seen at now.
func (m *Machine) touchPeer(now time.Time, id fleet.VMID) *peerState {
	peer, ok := m.heartbeats.peers[id]
	if !ok {
		peer = &peerState{}
		m.heartbeats.peers[id] = peer
	}
	peer.lastSeen = now
	return peer
}

// isAvoided reports whether a VM has recently left maxFailures or more
// consecutive heartbeats unanswered.
func (m *Machine) isAvoided(now time.Time, id fleet.VMID) bool {
	peer, ok := m.heartbeats.peers[id]
	return ok && peer.failures >= maxFailures && now.Sub(peer.failedAt) < avoidDuration
}

// sendHeartbeats sends the heartbeats that are due every interval: one to the
// hub and one to a random peer.
func (m *Machine) sendHeartbeats(now time.Time) {
	interval := heartbeatInterval
	if !m.hub.heldShare && now.Sub(m.started) < maxStartingTime {
		interval = startingInterval
	}
	jitter := 1 + heartbeatJitter*(2*m.random.Float64()-1)
	m.heartbeats.next = now.Add(time.Duration(float64(interval) * jitter))
	m.expireState(now)
	m.refresh(now)
	m.vote(now)
	m.allocateSelf(now)
	hub := m.hubVM(now)
	if hub.ID != m.self.ID {
		m.sendHeartbeat(now, hub, true)
	} else if unreachable := m.members.Unreachable(now, m.live); len(m.live) == 1 && len(unreachable) > 0 {
		hub = unreachable[0] // VMs that start together all contact the first VM of the list
		m.sendHeartbeat(now, hub, true)
	}
	m.sendRandomHeartbeat(now, hub)
}

// sendRandomHeartbeat sends a heartbeat to a random peer. Every other one goes
// to an unreachable address, if there is one whose retry is due.
func (m *Machine) sendRandomHeartbeat(now time.Time, hub fleet.VM) {
	m.heartbeats.tryUnreachable = !m.heartbeats.tryUnreachable
	peers := m.livePeersExcept(hub.ID)
	if m.heartbeats.tryUnreachable || len(peers) == 0 {
		unreachable := m.members.Unreachable(now, m.live)
		if len(unreachable) > 0 && unreachable[0].PeerURL == hub.PeerURL {
			unreachable = unreachable[1:]
		}
		if len(unreachable) > 0 {
			m.sendHeartbeat(now, unreachable[m.random.Intn(len(unreachable))], false)
			return
		}
	}
	if len(peers) > 0 {
		m.sendHeartbeat(now, peers[m.random.Intn(len(peers))], false)
	}
}

// livePeersExcept returns the live VMs other than this one and id.
func (m *Machine) livePeersExcept(id fleet.VMID) []fleet.VM {
	peers := make([]fleet.VM, 0, len(m.live))
	for _, vm := range m.live {
		if vm.ID != m.self.ID && vm.ID != id {
			peers = append(peers, vm)
		}
	}
	return peers
}

// announce sends a heartbeat about a change to the hub and to some random peers
// at once; those that learn something new announce it in the same way.
func (m *Machine) announce(now time.Time) {
	hub := m.hubVM(now)
	if hub.ID != m.self.ID {
		m.sendHeartbeat(now, hub, true)
	}
	peers := m.livePeersExcept(hub.ID)
	m.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, vm := range peers[:min(len(peers), announceFanOut)] {
		m.sendHeartbeat(now, vm, false)
	}
}

// sendHeartbeat sends a heartbeat to a VM. One for the hub also carries this
// VM's vote and its report.
func (m *Machine) sendHeartbeat(now time.Time, to fleet.VM, toHub bool) {
	m.heartbeats.seq++
	h := Heartbeat{Status: m.status(now), Seq: m.heartbeats.seq, ToHub: toHub, TableChecksum: m.members.Table().Checksum()}
	h.Claim = h.Claim.withoutVM(to.ID)
	h.Ballot = lease.Ballot{Candidate: to.ID}
	if peer, ok := m.heartbeats.peers[to.ID]; ok {
		h.Ballot.Stamp = peer.stamp
		if peer.poisonChecksum != m.poisonBlocks.checksum {
			h.Blocked = m.poisonBlocks.blocks(now)
		}
	}
	if toHub {
		m.fillForHub(now, to, &h)
	}
	m.heartbeats.calls[h.Seq] = &pendingCall{to: to, sentAt: now, toHub: toHub, tableChecksum: h.TableChecksum}
	m.emit(SendHeartbeat{Call: h.Seq, To: to, Heartbeat: h})
}

// status returns what every heartbeat and reply of this VM says of it.
func (m *Machine) status(now time.Time) Status {
	s := Status{From: m.self, Serving: m.isServing(now), PoisonChecksum: m.poisonBlocks.checksum, Claim: m.currentClaim(now)}
	if c := m.revisions.Current(); c != nil {
		s.Revision, s.Digest = c.Revision, c.Digest
	}
	return s
}

// handleHeartbeat processes a heartbeat and returns the reply. A heartbeat that
// was sent before one already received changes nothing.
func (m *Machine) handleHeartbeat(now time.Time, h Heartbeat) HeartbeatReply {
	if h.From.ID == m.self.ID || h.From.PeerURL == m.self.PeerURL {
		return HeartbeatReply{Status: m.status(now)}
	}
	peer := m.touchPeer(now, h.From.ID)
	if h.Seq <= peer.seq {
		return HeartbeatReply{Status: m.status(now)}
	}
	peer.seq = h.Seq
	aliveAt := m.echoedStampTime(now, h.Ballot)
	m.handleStatus(now, &h.Status, aliveAt)
	if h.ToHub {
		m.handleReport(now, &h, aliveAt)
	}
	r := HeartbeatReply{Status: m.status(now), Stamp: m.hub.candidate.Stamp(now)}
	r.Claim = r.Claim.withoutVM(h.From.ID)
	if h.PoisonChecksum != m.poisonBlocks.checksum {
		r.Blocked = m.poisonBlocks.blocks(now)
	}
	if h.ToHub {
		m.fillReply(now, &h, &r)
	}
	return r
}

// echoedStampTime returns the time of the stamp that a heartbeat echoes, zero
// when it echoes no stamp of this incarnation.
func (m *Machine) echoedStampTime(now time.Time, b lease.Ballot) time.Time {
	if b.Candidate != m.self.ID || b.Stamp <= 0 {
		return time.Time{}
	}
	at := m.started.Add(time.Duration(b.Stamp - 1))
	if at.After(now) {
		return time.Time{}
	}
	return at
}

// handleStatus processes the status in a heartbeat or reply. Its sender was
// alive at aliveAt, or at an unknown time if aliveAt is zero.
func (m *Machine) handleStatus(now time.Time, s *Status, aliveAt time.Time) {
	peer := m.touchPeer(now, s.From.ID)
	peer.revision, peer.poisonChecksum = s.Revision, s.PoisonChecksum
	m.fleetChanged = m.members.Observe(now, s.From, aliveAt) || m.fleetChanged
	if aliveAt.After(m.gate.peerContactAt) {
		m.gate.peerContactAt = aliveAt
	}
	m.handleAnnouncement(now, s)
	m.addBlocks(now, s.Blocked)
	m.considerClaim(now, s.From.ID, s.Claim, aliveAt)
	if s.Serving {
		m.gate.servingPeerAt = now
	}
	if s.From.State == fleet.Leaving && s.Claim.VM.ID != s.From.ID {
		m.handleResignation(now, s.From.ID)
	}
}

// handleHeartbeatReply processes the reply to a pending heartbeat, which must
// come from the address that the heartbeat was sent to.
func (m *Machine) handleHeartbeatReply(now time.Time, ev HeartbeatAnswered) {
	c, ok := m.heartbeats.calls[ev.Call]
	if !ok || ev.Reply.From.ID == "" || ev.Reply.From.PeerURL != c.to.PeerURL {
		return
	}
	delete(m.heartbeats.calls, ev.Call)
	r := &ev.Reply
	isFirst := m.heartbeats.peers[r.From.ID] == nil
	peer := m.touchPeer(now, r.From.ID)
	peer.failures = 0
	peer.stamp = max(peer.stamp, r.Stamp)
	m.hub.voter.RecordStamp(now, r.From.ID, r.Stamp)
	m.handleStatus(now, &r.Status, c.sentAt)
	if c.toHub {
		m.handleHubReply(now, c, r)
	}
	if isFirst && !m.gate.open {
		m.heartbeats.next = now // the next heartbeat echoes the stamp, so that a new peer learns at once that this VM is alive
	}
}

// handleHeartbeatFailure counts an unanswered heartbeat against its receiver.
func (m *Machine) handleHeartbeatFailure(now time.Time, id uint64) {
	c, ok := m.heartbeats.calls[id]
	if !ok {
		return
	}
	delete(m.heartbeats.calls, id)
	peer := m.touchPeer(now, c.to.ID)
	peer.failures++
	peer.failedAt = now
	m.members.RecordFailure(now, c.to.PeerURL)
	m.retryElsewhere(now, c)
}

// retryElsewhere replaces a heartbeat that was not answered by one to another
// VM, once, so that the loss of a few VMs does not fence this one.
func (m *Machine) retryElsewhere(now time.Time, c *pendingCall) {
	peers := m.livePeersExcept(c.to.ID)
	if c.isRetry || len(peers) == 0 || now.Sub(m.gate.peerContactAt) < heartbeatInterval {
		return
	}
	m.sendHeartbeat(now, peers[m.random.Intn(len(peers))], false)
	m.heartbeats.calls[m.heartbeats.seq].isRetry = true
}

// expireCalls fails heartbeats that were neither answered nor reported as failed
// within callTimeout.
func (m *Machine) expireCalls(now time.Time) {
	for id, c := range m.heartbeats.calls {
		if now.Sub(c.sentAt) > callTimeout {
			m.handleHeartbeatFailure(now, id)
		}
	}
}

// expireState drops members, poison blocks and peers that have timed out.
func (m *Machine) expireState(now time.Time) {
	m.members.Expire(now)
	m.poisonBlocks.expire(now)
	for id, peer := range m.heartbeats.peers {
		if now.Sub(peer.lastSeen) > peerStateTTL {
			delete(m.heartbeats.peers, id)
			delete(m.hub.reports, id)
			m.hub.voter.Forget(id)
		}
	}
}
