package mesh

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/mirror"
)

// heartbeatDelay returns the time from one heartbeat to the next to the same
// address. A VM whose copy of the store is missing or of unknown age serves no
// requests, so it starts with short intervals. They grow exponentially while
// nobody has a copy: the heartbeats of a large fleet that starts at once would
// otherwise keep the seeds from reading the store.
func (m *Machine) heartbeatDelay(c *heartbeatState, gotUpdate bool) time.Duration {
	if !m.storeCopy.ConfirmedAt().IsZero() || gotUpdate {
		c.withoutCopy = 0
		return c.interval
	}
	delay := initialHeartbeatInterval << min(c.withoutCopy, maxIntervalDoublings)
	c.withoutCopy++
	return min(delay, c.interval)
}

// idleHeartbeatInterval returns the time between two heartbeats of a VM that is
// not busy.
func (m *Machine) idleHeartbeatInterval() time.Duration {
	return max(minHeartbeatInterval, time.Duration(len(m.members)+1)*heartbeatIntervalPerVM)
}

// heartbeatInterval returns the time between two heartbeats of this VM. Busy VMs
// send them more often, since the shares of limits and the addresses for callers
// depend on them.
func (m *Machine) heartbeatInterval() time.Duration {
	if !m.isBusy() {
		return m.idleHeartbeatInterval()
	}
	return min(max(minHeartbeatInterval, time.Duration(m.activeCount)*heartbeatIntervalPerActiveVM), m.idleHeartbeatInterval())
}

// isBusy reports whether this VM may have callers or is a hub.
func (m *Machine) isBusy() bool {
	return m.isActive || m.isHub() || slices.ContainsFunc(m.localDemand, func(d WorkspaceDemand) bool { return d.RatePerSecond > 0 })
}

// fallbackReadAge returns the age of the copy at which a VM that is not the reader
// reads the store itself: the reader's watch and one and a half heartbeat
// intervals, with some slack.
func (m *Machine) fallbackReadAge() time.Duration {
	return watchTimeout + max(m.heartbeatInterval(), m.answeredInterval)*3/2 + fallbackReadSlack
}

// hubTimeout returns the time after which the last report of an unresponsive hub
// is ignored.
func (m *Machine) hubTimeout() time.Duration { return maxMissedHeartbeats * m.heartbeatInterval() }

// memberTimeout returns the time without a message from a VM or a report of it by
// a hub after which it is unresponsive.
func (m *Machine) memberTimeout(peer *member) time.Duration {
	return maxMissedHeartbeats * max(m.heartbeatInterval(), peer.interval)
}

// chooseHeartbeatAddrs returns the addresses that heartbeats go to: the hubs, and
// the seeds that are not known as members, since some VMs may know only these.
func (m *Machine) chooseHeartbeatAddrs() []string {
	var addrs []string
	for _, h := range m.hubs {
		if h.ID != m.self.ID {
			addrs = append(addrs, h.Peer)
		}
	}
	for _, s := range m.seeds {
		if s != m.self.Peer && !m.hasMemberAt(s) && !slices.Contains(addrs, s) {
			addrs = append(addrs, s)
		}
	}
	return addrs
}

// hasMemberAt reports whether a member has a peer address.
func (m *Machine) hasMemberAt(addr string) bool {
	for _, peer := range m.members {
		if peer.node.Peer == addr {
			return true
		}
	}
	return false
}

// sendHeartbeats sends the heartbeats that are due, and all of them when this VM
// becomes busy.
func (m *Machine) sendHeartbeats(now time.Time) {
	if busy := m.isBusy(); busy != m.wasBusy {
		m.wasBusy = busy
		if busy {
			m.makeHeartbeatsDue(now)
		}
	}
	m.heartbeatAddrs = m.chooseHeartbeatAddrs()
	for _, addr := range m.heartbeatAddrs {
		c := m.heartbeats[addr]
		if c == nil {
			c = &heartbeatState{nextAt: now}
			m.heartbeats[addr] = c
		}
		if !c.inFlight && !now.Before(c.nextAt) {
			m.sendHeartbeat(now, addr, c, false)
		}
	}
	if m.alertPanel {
		m.alertPanel = false
		m.sendAlerts(now)
	}
}

func (m *Machine) sendHeartbeat(now time.Time, addr string, c *heartbeatState, alert bool) {
	c.inFlight, c.alert = true, alert
	c.interval = m.heartbeatInterval()
	c.prevDemand, c.sentDemand = c.sentDemand, m.localDemand
	m.emit(SendHeartbeat{Peer: addr, Request: m.heartbeatRequest(now, addr)})
}

// markSelfChanged makes a change of this VM's record known to the hubs without
// delay.
func (m *Machine) markSelfChanged(now time.Time) {
	m.self.Edition++
	m.viewDirty = true
	m.makeHeartbeatsDue(now)
}

// makeHeartbeatsDue makes the next heartbeat to each address due at now.
func (m *Machine) makeHeartbeatsDue(now time.Time) {
	for _, c := range m.heartbeats {
		c.nextAt = now
	}
}

// heartbeatRequest returns the heartbeat to send to an address.
func (m *Machine) heartbeatRequest(now time.Time, addr string) *HeartbeatRequest {
	r := &HeartbeatRequest{From: m.self, Interval: m.heartbeatInterval(), StoreRevision: m.storeCopy.Revision(), StoreEra: m.storeCopy.Version().Era, StatesEra: true, PastKnown: m.storeCopy.Known(), Demand: m.localDemand, Crashes: m.localCrashes(now), Blocked: m.blockList(now), TimeoutsSum: m.timeouts.sum, Pressing: m.localPressing}
	if c := m.heartbeats[addr]; c != nil && c.answered && c.hubSum != m.timeouts.sum {
		r.Timeouts = m.timeouts.list()
	}
	if c := m.heartbeats[addr]; c != nil && c.answered && c.hubEra == r.StoreEra && !c.hubKnown.CoversAll(r.PastKnown) {
		r.Past = m.storeCopy.Past()
	}
	for _, peer := range m.members {
		if peer.node.Peer == addr {
			r.NodesSeq, r.NodesEpoch = peer.reachableSeq, peer.node.StartedUnixMs
		}
	}
	return r
}

// handleHeartbeat records the sender's state and answers the heartbeat.
func (m *Machine) handleHeartbeat(now time.Time, ev Heartbeat) {
	interval := ev.Request.Interval
	if interval <= 0 { // VMs of an earlier version announce no interval
		interval = m.idleHeartbeatInterval()
	}
	interval = min(interval, maxHeartbeatInterval)
	if peer := m.updateMember(now, ev.Request.From); peer != nil {
		if !peer.listed {
			peer.listed = true
			m.markChanged(peer)
		}
		peer.lastHeartbeat, peer.interval = now, interval
		m.setPeerCrashes(now, peer, ev.Request.Crashes)
		m.addBlocks(now, now, ev.Request.Blocked)
		m.updateBlocks(now)
		m.setPressing(&peer.pressing, ev.Request.Pressing)
		m.mergeTimeouts(ev.Request.Timeouts)
		m.peerDemands[peer.node.ID] = peerDemand{demand: ev.Request.Demand, receivedAt: now, ttl: shareTTL(interval)}
	}
	m.mergePast(now, mirror.Version{Era: ev.Request.StoreEra, Revision: ev.Request.StoreRevision}, ev.Request.Past)
	m.emit(AnswerHeartbeat{Ticket: ev.Ticket, Reply: m.heartbeatReply(now, ev.Request)})
}

// heartbeatReply returns the reply to a heartbeat, with the changes that its
// sender lacks.
func (m *Machine) heartbeatReply(now time.Time, r *HeartbeatRequest) *HeartbeatReply {
	reply := &HeartbeatReply{From: m.self, FleetDemand: m.demandFor(now, r), Blocked: m.blockList(now), CopyAge: -1, RegainedAge: m.regainedAge(now), TimeoutsSum: m.timeouts.sum, Pressing: m.pressingFor(now, r.From.ID)}
	if r.TimeoutsSum != m.timeouts.sum {
		reply.Timeouts = m.timeouts.list()
	}
	m.addStore(now, reply, r)
	if !m.isHub() {
		reply.Hubs = m.answeringHubs(now)
	}
	if r.StoreRevision == 0 && !m.hasCopy() {
		reply.Nodes, reply.FleetSize = m.likelyHubs(), len(m.members)+1
		return reply
	}
	since := r.NodesSeq
	if r.NodesEpoch != m.self.StartedUnixMs || since < m.forgottenSeq {
		since = 0
	}
	reply.NodesFull, reply.NodesSeq = since == 0, m.changeSeq
	for _, n := range m.members {
		if n.listed && n.changeSeq > since {
			reply.Nodes = append(reply.Nodes, n.node)
		}
	}
	for _, gone := range m.removals {
		if peer := m.members[gone.id]; gone.changeSeq > since && since > 0 && (peer == nil || !peer.listed) {
			reply.Removed = append(reply.Removed, gone.id)
		}
	}
	return reply
}

// likelyHubs returns the members that are to be hubs first. A VM without a copy of
// the store needs no others yet: when a whole fleet starts, lists of all members for
// VMs that only look for a copy would keep the hubs from reading the store.
func (m *Machine) likelyHubs() []Node {
	candidates := slices.DeleteFunc(m.hubCandidates(), func(n Node) bool { return n.ID == m.self.ID })
	return candidates[:min(len(candidates), maxLikelyHubs)]
}

// maxLikelyHubs covers the hubs, and others for the case that these fail.
const maxLikelyHubs = 2 * hubCount

// answeringHubs returns the hubs that answered a heartbeat of this VM within its
// TTL.
func (m *Machine) answeringHubs(now time.Time) []Node {
	var hubs []Node
	for _, h := range m.hubs {
		if d, answered := m.hubDemands[h.ID]; answered && now.Sub(d.sentAt) <= d.ttl {
			hubs = append(hubs, h)
		}
	}
	return hubs
}

// demandFor returns the fleet's demand for the workspaces that a heartbeat reports
// demand for.
func (m *Machine) demandFor(now time.Time, r *HeartbeatRequest) []WorkspaceDemand {
	all := m.directTotals(now)
	return slices.DeleteFunc(all, func(total WorkspaceDemand) bool {
		return !slices.ContainsFunc(r.Demand, func(d WorkspaceDemand) bool { return d.Workspace == total.Workspace })
	})
}

// handleReply merges what the reply reports: members, demand, blocked requests,
// changes of the store and the age of the copy. It schedules the next heartbeat.
func (m *Machine) handleReply(now time.Time, ev HeartbeatAnswered) {
	demand, alert := hubDemand{sentAt: ev.Sent}, false
	if c := m.heartbeats[ev.Peer]; c != nil {
		alert = c.alert
		demand.own, demand.ttl = m.limitSurge(c.sentDemand, c.prevDemand), shareTTL(c.interval)
		m.answeredInterval = c.interval
		c.inFlight, c.answered, c.hubSum = false, true, ev.Reply.TimeoutsSum
		c.hubEra, c.hubKnown = ev.Reply.StoreEra, ev.Reply.PastKnown
		c.nextAt = ev.Sent.Add(m.heartbeatDelay(c, ev.Reply.Update != nil))
	}
	reply := ev.Reply
	hub := m.updateMember(now, reply.From)
	if hub == nil {
		return
	}
	hub.suspectUntil = time.Time{}
	m.fleetSize = reply.FleetSize
	m.applyMemberChanges(now, hub, reply)
	for _, n := range reply.Hubs {
		if known := m.members[n.ID]; known == nil || !known.gone {
			m.updateMember(now, n)
		}
	}
	m.mergeTimeouts(reply.Timeouts)
	hub.reportedAt = now
	m.addBlocks(now, ev.Sent, reply.Blocked)
	m.setPressing(&hub.toldPressing, reply.Pressing)
	if !alert { // a VM that is no hub knows the demand of few VMs
		demand.totals = reply.FleetDemand
		m.hubDemands[hub.node.ID] = demand
	}
	m.learnRegained(ev.Sent, reply.RegainedAge)
	m.mergeStore(now, ev.Sent, reply)
	m.viewDirty = true
}

// handleHeartbeatFailed schedules the next heartbeat and excludes the VM from the
// hubs for a while. A VM whose process refused the connection is gone.
func (m *Machine) handleHeartbeatFailed(now time.Time, ev HeartbeatFailed) {
	c := m.heartbeats[ev.Peer]
	if c == nil {
		return
	}
	c.inFlight = false
	c.nextAt = now.Add(m.heartbeatDelay(c, false))
	for _, peer := range m.members {
		if peer.node.Peer == ev.Peer {
			peer.suspectUntil = now.Add(suspectHubTTL)
			peer.gone, peer.connRefused = peer.gone || ev.Refused, peer.connRefused || ev.Refused
			m.viewDirty = true
		}
	}
}
