package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// LivenessTimeout is how long a VM counts as live after the last proof of it.
const LivenessTimeout = 2 * time.Second

const rememberHeard = 10 * time.Second // records of silent VMs, for their last known state

// Members joins three sources: the platform's list, which lags; the VMs that
// this one exchanges heartbeats with; and the table of the VM that collects
// all heartbeats. Every proof is a moment on this VM's own clock at which the
// other one was certainly alive, never the moment at which a message happened
// to be processed, so that a VM that was paused does not take old messages for
// fresh ones.
type Members struct {
	self     VM
	heard    map[VMID]*member
	contacts contacts
	table    *Table
	tableAt  time.Time
}

type member struct {
	VM
	received    time.Time // when its last message was received
	proof       time.Time // latest moment at which it was alive and both directions worked
	listLeaving bool
}

// NewMembers returns the membership of a VM that knows only itself.
func NewMembers(self VM) *Members {
	return &Members{self: self, heard: make(map[VMID]*member), contacts: contacts{byAddress: make(map[string]*contact)}}
}

// SetSelf takes this VM's own record.
func (m *Members) SetSelf(self VM) { m.self = self }

// Self returns this VM's own record.
func (m *Members) Self() VM { return m.self }

// ApplyList takes the platform's list. It reports whether the list began to say
// that this VM leaves.
func (m *Members) ApplyList(now time.Time, vms []VM) bool {
	leaving, selfLeaving := m.contacts.listRead(now, vms, m.self.PeerURL)
	for _, p := range m.heard {
		p.listLeaving = p.listLeaving || leaving[p.PeerURL]
	}
	return selfLeaving
}

// Observe takes a VM's own record, received now, with the latest moment at which
// it was alive and in touch in both directions (zero if none is known). It
// reports whether the fleet changed.
func (m *Members) Observe(now time.Time, vm VM, proof time.Time) bool {
	if vm.ID == m.self.ID || vm.PeerURL == m.self.PeerURL {
		return false
	}
	p, known := m.heard[vm.ID]
	if !known {
		p = &member{VM: vm}
		m.heard[vm.ID] = p
	}
	before := p.VM
	if stateOrder(vm.State) >= stateOrder(p.State) {
		p.VM = vm
	}
	wasFresh := m.fresh(now, p)
	p.received = now
	if proof.After(p.proof) {
		p.proof = proof
	}
	m.contacts.heard(now, vm)
	return p.VM != before || wasFresh != m.fresh(now, p)
}

// stateOrder is the order in which a VM goes through its states; a late
// message never takes one back.
func stateOrder(s VMState) int { return slices.Index([]VMState{Starting, Live, Leaving}, s) }

// SetTable takes the table of the VM that collects heartbeats, with the moment
// that proves it; the collecting VM itself passes the zero time.
func (m *Members) SetTable(now time.Time, t *Table, proof time.Time) {
	for _, vm := range m.table.VMs() {
		if _, ok := t.Find(vm.ID); !ok && vm.PeerURL != m.self.PeerURL {
			m.contacts.remember(now, vm)
		}
	}
	m.table = t
	if proof.After(m.tableAt) {
		m.tableAt = proof
	}
}

// Table returns the newest table.
func (m *Members) Table() *Table { return m.table }

// LastContact returns the latest proof of direct contact with a VM.
func (m *Members) LastContact(id VMID) time.Time {
	if p, ok := m.heard[id]; ok {
		return p.proof
	}
	return time.Time{}
}

func (m *Members) fresh(now time.Time, p *member) bool {
	return !p.proof.IsZero() && now.Sub(p.proof) <= LivenessTimeout
}

// Live returns the VMs that are alive, self included, sorted by id, with the
// state that holds: leaving, if any source says so. Of two incarnations at one
// address, the one with the later proof counts.
func (m *Members) Live(now time.Time) []VM {
	if now.Sub(m.tableAt) <= LivenessTimeout && m.tableHasAll(now) {
		return m.tableLive()
	}
	return m.joined(now)
}

// tableHasAll reports whether the table names this VM and every VM in touch,
// as it does most of the time. Then it names each address once, and nothing
// has to be joined.
func (m *Members) tableHasAll(now time.Time) bool {
	if _, ok := m.table.Find(m.self.ID); !ok {
		return false
	}
	for _, p := range m.heard {
		if m.fresh(now, p) {
			if _, ok := m.table.Find(p.ID); !ok {
				return false
			}
		}
	}
	return true
}

// tableLive returns the VMs of the table, which is sorted by id.
func (m *Members) tableLive() []VM {
	live := slices.Clone(m.table.VMs())
	for i := range live {
		if p, ok := m.heard[live[i].ID]; ok {
			live[i] = p.merged(live[i].State)
		}
		if live[i].ID == m.self.ID {
			live[i] = m.self
		}
	}
	return live
}

// joined returns the live VMs of all sources.
func (m *Members) joined(now time.Time) []VM {
	type proved struct {
		vm VM
		at time.Time
	}
	at := make(map[string]proved, len(m.heard)+1)
	if now.Sub(m.tableAt) <= LivenessTimeout {
		for _, vm := range m.table.VMs() {
			if p, ok := m.heard[vm.ID]; ok {
				vm = p.merged(vm.State)
			}
			at[vm.PeerURL] = proved{vm, m.tableAt}
		}
	}
	for _, p := range m.heard {
		if old, ok := at[p.PeerURL]; m.fresh(now, p) && (!ok || old.vm.ID == p.ID || p.proof.After(old.at)) {
			t, _ := m.table.Find(p.ID)
			at[p.PeerURL] = proved{p.merged(t.State), p.proof}
		}
	}
	at[m.self.PeerURL] = proved{vm: m.self}
	live := make([]VM, 0, len(at))
	for _, p := range at {
		live = append(live, p.vm)
	}
	slices.SortFunc(live, func(a, b VM) int { return cmp.Compare(a.ID, b.ID) })
	return live
}

// merged is the record of a VM with the state that the list and the table give
// it; inTable is empty when the table does not name it.
func (p *member) merged(inTable VMState) VM {
	vm := p.VM
	if stateOrder(inTable) > stateOrder(vm.State) {
		vm.State = inTable
	}
	if p.listLeaving {
		vm.State = Leaving
	}
	return vm
}

// NoPeers reports whether the list names this VM and no other, and none was heard.
func (m *Members) NoPeers() bool {
	return m.contacts.hasSelf && len(m.contacts.byAddress) == 0 && len(m.heard) == 0
}

// AllStarting reports whether this VM is in the list and is in touch with
// every other VM of the list, and none that it hears has served yet.
func (m *Members) AllStarting(now time.Time) bool {
	starting := make(map[string]bool, len(m.heard))
	for _, p := range m.heard {
		if m.fresh(now, p) && p.State != Starting {
			return false
		}
		starting[p.PeerURL] = starting[p.PeerURL] || m.fresh(now, p)
	}
	for address, c := range m.contacts.byAddress {
		if c.listed && !starting[address] {
			return false
		}
	}
	return m.contacts.hasSelf
}

// RecordFailure notes that a VM or listed address did not answer.
func (m *Members) RecordFailure(now time.Time, address string) { m.contacts.failed(now, address) }

// Unreachable returns the known addresses that none of the live VMs has and that may be tried now.
func (m *Members) Unreachable(now time.Time, live []VM) []VM {
	return m.contacts.silent(now, peerURLs(live))
}

// Missing returns the VMs that belong to the fleet, as the platform's list or,
// without it, their own heartbeats said, and that are not among the live ones.
func (m *Members) Missing(now time.Time, live []VM) []VM {
	return m.contacts.missing(now, peerURLs(live))
}

func peerURLs(vms []VM) map[string]bool {
	known := make(map[string]bool, len(vms))
	for _, vm := range vms {
		known[vm.PeerURL] = true
	}
	return known
}

// Expire drops what is known of VMs that have been silent for long.
func (m *Members) Expire(now time.Time) {
	maps.DeleteFunc(m.heard, func(_ VMID, p *member) bool { return now.Sub(p.received) > rememberHeard })
	m.contacts.forget(now)
}
