package mesh

import (
	"slices"
	"time"
)

// pace returns the time until the next heartbeat to an address. A VM without a
// copy of the store, or with one of unknown age, serves nobody and asks often at
// first. Where nobody has a copy, it asks less and less often: a large fleet that
// starts at once would otherwise keep the seeds from reading.
func (m *Machine) pace(c *peerCall, gotCopy bool) time.Duration {
	if !m.copied.ConfirmedAt().IsZero() || gotCopy {
		c.empty = 0
		return c.every
	}
	wait := startInterval << min(c.empty, maxDoublings)
	c.empty++
	return min(wait, c.every)
}

// fleetInterval is the time between two heartbeats of a VM without callers.
func (m *Machine) fleetInterval() time.Duration {
	return max(beatInterval, time.Duration(len(m.members)+1)*beatPerNode)
}

// usualInterval is the time between two heartbeats of this VM. Parts of limits
// and the addresses for callers depend on those of busy VMs.
func (m *Machine) usualInterval() time.Duration {
	if !m.busy() {
		return m.fleetInterval()
	}
	return min(max(beatInterval, time.Duration(m.active)*beatPerBusy), m.fleetInterval())
}

// busy reports whether this VM has callers, or others rely on what it knows.
func (m *Machine) busy() bool {
	return m.isActive || m.isHub() || slices.ContainsFunc(m.offered, func(o WorkspaceDemand) bool { return o.RatePerSecond > 0 })
}

// ownReadAge is the age of the copy at which a VM that isn't the reader reads:
// the reader's watch and a heartbeat are over, and half of another one.
func (m *Machine) ownReadAge() time.Duration {
	return watchWait + max(m.usualInterval(), m.answered)*3/2 + ownReadSlack
}

// silence is how long a hub may be silent before what it told counts no more.
func (m *Machine) silence() time.Duration { return silentBeats * m.usualInterval() }

// silenceOf is how long a VM may be silent before it counts as out of touch.
func (m *Machine) silenceOf(n *member) time.Duration {
	return silentBeats * max(m.usualInterval(), n.every)
}

// peers returns the addresses that get heartbeats: the hubs, and the seeds that
// are not known as members, since a part of the fleet may know only them.
func (m *Machine) peers() []string {
	var addrs []string
	for _, h := range m.hubs {
		if h.ID != m.self.ID {
			addrs = append(addrs, h.Peer)
		}
	}
	for _, s := range m.seeds {
		if s != m.self.Peer && !m.knows(s) && !slices.Contains(addrs, s) {
			addrs = append(addrs, s)
		}
	}
	return addrs
}

func (m *Machine) knows(peer string) bool {
	for _, n := range m.members {
		if n.node.Peer == peer {
			return true
		}
	}
	return false
}

// beat sends the heartbeats that are due.
func (m *Machine) beat(now time.Time) {
	if busy := m.busy(); busy != m.wasBusy {
		m.wasBusy = busy
		if busy {
			m.hurry(now)
		}
	}
	m.asked = m.peers()
	for _, addr := range m.asked {
		c := m.calls[addr]
		if c == nil {
			c = &peerCall{next: now}
			m.calls[addr] = c
		}
		if c.inFlight || now.Before(c.next) {
			continue
		}
		c.inFlight = true
		c.every = m.usualInterval()
		c.before, c.sent = c.sent, m.offered
		m.emit(SendHeartbeat{Peer: addr, Request: m.request(addr)})
	}
}

// selfChanged tells the hubs of a change of this VM's record without delay.
func (m *Machine) selfChanged(now time.Time) {
	m.self.Edition++
	m.viewDirty = true
	m.hurry(now)
}

// hurry makes the next heartbeats due.
func (m *Machine) hurry(now time.Time) {
	for _, c := range m.calls {
		c.next = now
	}
}

func (m *Machine) request(addr string) *HeartbeatRequest {
	r := &HeartbeatRequest{From: m.self, Interval: m.usualInterval(), StoreRevision: m.copied.Revision(), Demand: m.offered, Crashes: m.crashes}
	for _, n := range m.members {
		if n.node.Peer == addr {
			r.NodesSeq, r.NodesEpoch = n.listSeq, n.node.StartedUnixMs
		}
	}
	return r
}

func (m *Machine) heartbeat(now time.Time, ev Heartbeat) {
	every := ev.Request.Interval
	if every <= 0 { // a VM of an earlier version
		every = m.fleetInterval()
	}
	every = min(every, mostBetweenBeats)
	if o := m.heard(now, ev.Request.From); o != nil {
		if !o.listed {
			o.listed = true
			m.markChanged(o)
		}
		o.direct, o.every = now, every
		o.crashes = ev.Request.Crashes
		m.held[o.node.ID] = heldDemand{offered: ev.Request.Demand, at: now, term: partTerm(every)}
	}
	m.emit(AnswerHeartbeat{Ticket: ev.Ticket, Reply: m.reply(now, ev.Request)})
}

func (m *Machine) reply(now time.Time, r *HeartbeatRequest) *HeartbeatReply {
	reply := &HeartbeatReply{From: m.self, Update: m.copied.Since(r.StoreRevision), FleetDemand: m.totalsFor(now, r), Blocked: m.crashing(), CopyAge: -1}
	if !m.copied.ConfirmedAt().IsZero() {
		reply.CopyAge = now.Sub(m.copied.ConfirmedAt())
	}
	if !m.isHub() {
		reply.Hubs = m.heardHubs(now)
	}
	since := r.NodesSeq
	if r.NodesEpoch != m.self.StartedUnixMs || since < m.forgotten {
		since = 0
	}
	reply.NodesFull, reply.NodesSeq = since == 0, m.changes
	for _, n := range m.members {
		if n.listed && n.changed > since {
			reply.Nodes = append(reply.Nodes, n.node)
		}
	}
	for _, gone := range m.removed {
		if o := m.members[gone.id]; gone.change > since && since > 0 && (o == nil || !o.listed) {
			reply.Removed = append(reply.Removed, gone.id)
		}
	}
	return reply
}

// heardHubs returns the hubs that answer this VM.
func (m *Machine) heardHubs(now time.Time) []Node {
	var hubs []Node
	for _, h := range m.hubs {
		if t, answered := m.told[h.ID]; answered && now.Sub(t.sent) <= t.term {
			hubs = append(hubs, h)
		}
	}
	return hubs
}

// totalsFor returns the fleet's demand for the workspaces that the sender of a
// heartbeat serves.
func (m *Machine) totalsFor(now time.Time, r *HeartbeatRequest) []WorkspaceDemand {
	all := m.directTotals(now)
	return slices.DeleteFunc(all, func(total WorkspaceDemand) bool {
		return !slices.ContainsFunc(r.Demand, func(o WorkspaceDemand) bool { return o.Workspace == total.Workspace })
	})
}

func (m *Machine) replied(now time.Time, ev HeartbeatAnswered) {
	told := toldDemand{sent: ev.Sent}
	if c := m.calls[ev.Peer]; c != nil {
		told.own, told.term = m.steady(c.sent, c.before), partTerm(c.every)
		m.answered = c.every
		c.inFlight = false
		c.next = ev.Sent.Add(m.pace(c, ev.Reply.Update != nil))
	}
	r := ev.Reply
	hub := m.heard(now, r.From)
	if hub == nil {
		return
	}
	hub.suspect = time.Time{}
	m.learnNodes(now, hub, r)
	for _, n := range r.Hubs {
		if old := m.members[n.ID]; old == nil || !old.gone {
			m.heard(now, n)
		}
	}
	hub.blocked, hub.toldAt = r.Blocked, now
	told.totals = r.FleetDemand
	m.told[hub.node.ID] = told
	if r.Update != nil {
		m.learn(now, r.Update)
	}
	if r.CopyAge >= 0 {
		asOf := m.copied.Revision()
		if r.Update != nil {
			asOf = r.Update.Revision
		}
		m.confirm(asOf, ev.Sent.Add(-r.CopyAge))
	}
	m.viewDirty = true
}

func (m *Machine) unanswered(now time.Time, ev HeartbeatFailed) {
	c := m.calls[ev.Peer]
	if c == nil {
		return
	}
	c.inFlight = false
	c.next = now.Add(m.pace(c, false))
	for _, n := range m.members {
		if n.node.Peer == ev.Peer {
			n.suspect = now.Add(suspectTerm)
			n.gone, n.ended = n.gone || ev.Refused, n.ended || ev.Refused
			m.viewDirty = true
		}
	}
}
