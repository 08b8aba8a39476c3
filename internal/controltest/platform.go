package controltest

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
)

// Platform simulates the configuration service and the platform's VM list.
type Platform struct {
	Down  func(n *Node) bool // reports whether calls of a VM fail; nil means never
	VMs   []fleet.VM         // the list that VMs read
	Calls []time.Time        // times of all calls

	fleet    *Fleet
	document []byte
	revision uint64
	watches  []*watch
}

// watch is a ReadConfig that waits for a document.
type watch struct {
	after uint64
	call  *pendingCall
}

// SetDocument publishes a document under a revision, which watches compare; zero
// means that there is no document.
func (p *Platform) SetDocument(revision uint64, document []byte) {
	p.revision, p.document = revision, document
	watches := p.watches
	p.watches = nil
	for _, w := range watches {
		p.answer(w)
	}
}

// ListRunning sets the VM list to the running processes.
func (p *Platform) ListRunning() {
	p.VMs = nil
	for _, n := range p.fleet.Up() {
		p.VMs = append(p.VMs, ListEntry(n, fleet.Live))
	}
}

// ListEntry returns the entry of a process in the VM list.
func ListEntry(n *Node, state fleet.VMState) fleet.VM {
	vm := n.VM
	vm.ID, vm.State = vm.ID[:len(vm.ID)-9], state // the id without the suffix of the incarnation
	return vm
}

// PeakCalls returns the largest number of calls within any second.
func (p *Platform) PeakCalls() int {
	peak, first := 0, 0
	for i, at := range p.Calls {
		for at.Sub(p.Calls[first]) >= time.Second {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// recordCall records a call and reports whether the service accepts it.
func (p *Platform) recordCall(n *Node) bool {
	p.Calls = append(p.Calls, p.fleet.Now)
	return p.Down == nil || !p.Down(n)
}

func (p *Platform) read(n *Node, a control.ReadConfig) {
	call := &pendingCall{node: n}
	if !p.recordCall(n) {
		p.fleet.schedule(messageDelay, func() { call.finish(control.ConfigReadFailed{}) })
		return
	}
	p.fleet.schedule(platformTimeout, func() { call.finish(control.ConfigReadFailed{}) })
	w := &watch{after: a.After, call: call}
	if p.differs(w) {
		p.answer(w)
		return
	}
	p.watches = slices.DeleteFunc(p.watches, func(o *watch) bool { return o.call.done })
	p.watches = append(p.watches, w)
	p.fleet.schedule(a.Wait+messageDelay, func() {
		if p.Down == nil || !p.Down(n) {
			call.finish(control.ConfigUnchanged{})
		}
	})
}

// differs reports whether the published revision differs from the one that a watch
// has, so that the watch is answered at once.
func (p *Platform) differs(w *watch) bool { return p.revision != 0 && p.revision != w.after }

func (p *Platform) answer(w *watch) {
	if w.call.done || !p.differs(w) {
		return
	}
	document := p.document
	if p.Down != nil && p.Down(w.call.node) {
		return
	}
	p.fleet.schedule(messageDelay, func() { w.call.finish(control.ConfigRead{Document: document}) })
}

func (p *Platform) list(n *Node) {
	call := &pendingCall{node: n}
	if !p.recordCall(n) {
		p.fleet.schedule(messageDelay, func() { call.finish(control.VMListFailed{}) })
		return
	}
	vms := p.VMs
	p.fleet.schedule(messageDelay, func() { call.finish(control.VMListRead{VMs: vms}) })
}
