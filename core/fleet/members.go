package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// LivenessTimeout is how long a VM counts as live after it was last known to be
// alive.
const LivenessTimeout = 2 * time.Second

// peerRetention is how long the record of an unresponsive VM is kept for its last
// known state.
const peerRetention = 10 * time.Second

// Members merges three sources of membership: the platform's VM list, which lags;
// the heartbeats that this VM exchanges with peers; and the table of the hub, the
// VM that collects the heartbeats of all others. Liveness is judged by the latest
// time, on this VM's own clock, at which a VM was certainly alive, never by the
// time at which a message happened to be processed. A VM that was paused therefore
// does not mistake old messages for new ones.
type Members struct {
	self             VM
	peers            map[VMID]*peer
	contacts         contacts
	table            *Table
	tableConfirmedAt time.Time
}

// peer is a VM that has sent heartbeats to this one.
type peer struct {
	VM
	lastReceived time.Time // when its last heartbeat was processed
	lastAlive    time.Time // latest time at which it was known to be alive and reachable in both directions; zero if never
	listLeaving  bool      // the platform's list says that it is leaving
}

// NewMembers returns the membership of a VM that knows no VM but itself.
func NewMembers(self VM) *Members {
	return &Members{self: self, peers: make(map[VMID]*peer), contacts: contacts{byAddress: make(map[string]*contact)}}
}

// SetSelf replaces this VM's own record.
func (m *Members) SetSelf(self VM) { m.self = self }

// Self returns this VM's own record.
func (m *Members) Self() VM { return m.self }

// ApplyList applies the platform's VM list. It reports whether this list is the
// first that says that this VM is leaving.
func (m *Members) ApplyList(now time.Time, vms []VM) bool {
	leaving, selfLeaving := m.contacts.applyList(now, vms, m.self.PeerURL)
	for _, p := range m.peers {
		p.listLeaving = p.listLeaving || leaving[p.PeerURL]
	}
	return selfLeaving
}

// Observe records a heartbeat that is processed at now: the sender's own record
// and the latest time at which the sender was known to be alive and reachable in
// both directions, zero if there is none. It reports whether the record or the
// reachability of the sender changed.
func (m *Members) Observe(now time.Time, vm VM, aliveAt time.Time) bool {
	if vm.ID == m.self.ID || vm.PeerURL == m.self.PeerURL {
		return false
	}
	p, known := m.peers[vm.ID]
	if !known {
		p = &peer{VM: vm}
		m.peers[vm.ID] = p
	}
	before := p.VM
	if stateRank(vm.State) >= stateRank(p.State) {
		p.VM = vm
	}
	wasReachable := m.isReachable(now, p)
	p.lastReceived = now
	if aliveAt.After(p.lastAlive) {
		p.lastAlive = aliveAt
	}
	m.contacts.recordContact(now, vm)
	return p.VM != before || wasReachable != m.isReachable(now, p)
}

// stateRank returns the position of a state in the life of a VM, -1 for an unknown
// one. States only advance, so a late message never reverts one.
func stateRank(s VMState) int { return slices.Index([]VMState{Starting, Live, Leaving}, s) }

// SetTable replaces the hub's table. The hub sent or confirmed that table after
// aliveAt; the hub itself passes zero.
func (m *Members) SetTable(now time.Time, t *Table, aliveAt time.Time) {
	for _, vm := range m.table.VMs() {
		if _, ok := t.Find(vm.ID); !ok && vm.PeerURL != m.self.PeerURL {
			m.contacts.remember(now, vm)
		}
	}
	m.table = t
	if aliveAt.After(m.tableConfirmedAt) {
		m.tableConfirmedAt = aliveAt
	}
}

// Table returns the newest table, nil if there is none.
func (m *Members) Table() *Table { return m.table }

// LastContact returns the latest time at which a VM was known to be alive and
// reachable in both directions; zero if never.
func (m *Members) LastContact(id VMID) time.Time {
	if p, ok := m.peers[id]; ok {
		return p.lastAlive
	}
	return time.Time{}
}

func (m *Members) isReachable(now time.Time, p *peer) bool {
	return !p.lastAlive.IsZero() && now.Sub(p.lastAlive) <= LivenessTimeout
}

// Live returns the live VMs including this one, sorted by id. A VM is leaving if
// any source says so. Of two incarnations at one address, the one that was known
// to be alive later counts.
func (m *Members) Live(now time.Time) []VM {
	if now.Sub(m.tableConfirmedAt) <= LivenessTimeout && m.tableHasAllReachable(now) {
		return m.liveFromTable()
	}
	return m.liveFromAllSources(now)
}

// tableHasAllReachable reports whether the table contains this VM and every
// reachable peer, as it does most of the time. It then has each address once, and
// Live need not merge the sources.
func (m *Members) tableHasAllReachable(now time.Time) bool {
	if _, ok := m.table.Find(m.self.ID); !ok {
		return false
	}
	for _, p := range m.peers {
		if m.isReachable(now, p) {
			if _, ok := m.table.Find(p.ID); !ok {
				return false
			}
		}
	}
	return true
}

// liveFromTable returns the VMs of the table, which is sorted by id, with states
// merged from all sources.
func (m *Members) liveFromTable() []VM {
	live := slices.Clone(m.table.VMs())
	for i := range live {
		if p, ok := m.peers[live[i].ID]; ok {
			live[i] = p.mergedRecord(live[i].State)
		}
		if live[i].ID == m.self.ID {
			live[i] = m.self
		}
	}
	return live
}

// liveFromAllSources returns the live VMs, merged by address from the table and
// the heartbeats.
func (m *Members) liveFromAllSources(now time.Time) []VM {
	type evidence struct {
		vm VM
		at time.Time
	}
	byURL := make(map[string]evidence, len(m.peers)+1)
	if now.Sub(m.tableConfirmedAt) <= LivenessTimeout {
		for _, vm := range m.table.VMs() {
			if p, ok := m.peers[vm.ID]; ok {
				vm = p.mergedRecord(vm.State)
			}
			byURL[vm.PeerURL] = evidence{vm, m.tableConfirmedAt}
		}
	}
	for _, p := range m.peers {
		if old, ok := byURL[p.PeerURL]; m.isReachable(now, p) && (!ok || old.vm.ID == p.ID || p.lastAlive.After(old.at)) {
			t, _ := m.table.Find(p.ID)
			byURL[p.PeerURL] = evidence{p.mergedRecord(t.State), p.lastAlive}
		}
	}
	byURL[m.self.PeerURL] = evidence{vm: m.self}
	live := make([]VM, 0, len(byURL))
	for _, p := range byURL {
		live = append(live, p.vm)
	}
	slices.SortFunc(live, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// mergedRecord returns the record of a VM with the most advanced state that its
// heartbeats, the list and the table give it. tableState is empty if the table
// does not contain the VM.
func (p *peer) mergedRecord(tableState VMState) VM {
	vm := p.VM
	if stateRank(tableState) > stateRank(vm.State) {
		vm.State = tableState
	}
	if p.listLeaving {
		vm.State = Leaving
	}
	return vm
}

// NoPeers reports whether the list contains this VM and no other, and no peer has
// sent a heartbeat.
func (m *Members) NoPeers() bool {
	return m.contacts.hasSelf && len(m.contacts.byAddress) == 0 && len(m.peers) == 0
}

// AllStarting reports whether this VM is in the list, every other VM of the list
// is reachable, and no reachable VM has left the starting state.
func (m *Members) AllStarting(now time.Time) bool {
	starting := make(map[string]bool, len(m.peers))
	for _, p := range m.peers {
		if m.isReachable(now, p) && p.State != Starting {
			return false
		}
		starting[p.PeerURL] = starting[p.PeerURL] || m.isReachable(now, p)
	}
	for address, c := range m.contacts.byAddress {
		if c.listed && !starting[address] {
			return false
		}
	}
	return m.contacts.hasSelf
}

// RecordFailure records that the VM at address did not answer; Unreachable then
// omits the address until its backoff has passed.
func (m *Members) RecordFailure(now time.Time, address string) {
	m.contacts.recordFailure(now, address)
}

// Unreachable returns the known VMs at addresses where no VM is live, except for
// those whose backoff has not passed.
func (m *Members) Unreachable(now time.Time, live []VM) []VM {
	return m.contacts.unreachable(now, peerURLs(live))
}

// Missing returns the VMs that should be part of the fleet and are not live. The
// platform's list says which VMs should be; while the list cannot be read, VMs
// that were live before count as well.
func (m *Members) Missing(now time.Time, live []VM) []VM {
	return m.contacts.missing(now, peerURLs(live))
}

func peerURLs(vms []VM) map[string]bool {
	urls := make(map[string]bool, len(vms))
	for _, vm := range vms {
		urls[vm.PeerURL] = true
	}
	return urls
}

// Expire removes peers and addresses that have been unresponsive for long.
func (m *Members) Expire(now time.Time) {
	maps.DeleteFunc(m.peers, func(_ VMID, p *peer) bool { return now.Sub(p.lastReceived) > peerRetention })
	m.contacts.expire(now)
}
