package controltest

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
)

// Platform is the configuration service and the list of VMs.
type Platform struct {
	Down  func(n *Node) bool // nil: up for all
	VMs   []fleet.VM
	Calls []time.Time

	fleet    *Fleet
	text     []byte
	revision uint64
	waiting  []*watch
}

type watch struct {
	after uint64
	p     *pending
}

// SetText publishes a text under a revision.
func (s *Platform) SetText(revision uint64, text []byte) {
	s.revision, s.text = revision, text
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		s.answer(w)
	}
}

// List makes the list name the processes that run.
func (s *Platform) List() {
	s.VMs = nil
	for _, n := range s.fleet.Up() {
		s.VMs = append(s.VMs, Listed(n, fleet.Live))
	}
}

// Listed returns the entry of a process in the list.
func Listed(n *Node, state fleet.VMState) fleet.VM {
	vm := n.VM
	vm.ID, vm.State = vm.ID[:len(vm.ID)-9], state // the list holds names, not incarnations
	return vm
}

// PeakCalls returns the most calls that fell into any second.
func (s *Platform) PeakCalls() int {
	peak, first := 0, 0
	for i, at := range s.Calls {
		for at.Sub(s.Calls[first]) >= time.Second {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// begin counts a call and reports whether the service takes it.
func (s *Platform) begin(n *Node) bool {
	s.Calls = append(s.Calls, s.fleet.Now)
	return s.Down == nil || !s.Down(n)
}

func (s *Platform) read(n *Node, a control.ReadConfig) {
	p := &pending{node: n}
	if !s.begin(n) {
		s.fleet.after(delay, func() { p.end(control.ConfigReadFailed{}) })
		return
	}
	s.fleet.after(readTimeout, func() { p.end(control.ConfigReadFailed{}) })
	w := &watch{after: a.After, p: p}
	if s.news(w) {
		s.answer(w)
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(o *watch) bool { return o.p.done })
	s.waiting = append(s.waiting, w)
	s.fleet.after(a.Wait+delay, func() {
		if s.Down == nil || !s.Down(n) {
			p.end(control.ConfigUnchanged{})
		}
	})
}

// news reports whether a watch is answered at once.
func (s *Platform) news(w *watch) bool { return s.revision != 0 && s.revision != w.after }

func (s *Platform) answer(w *watch) {
	if w.p.done || !s.news(w) {
		return
	}
	text := s.text
	if s.Down != nil && s.Down(w.p.node) {
		return
	}
	s.fleet.after(delay, func() { w.p.end(control.ConfigRead{Document: text}) })
}

func (s *Platform) list(n *Node) {
	p := &pending{node: n}
	if !s.begin(n) {
		s.fleet.after(delay, func() { p.end(control.VMListFailed{}) })
		return
	}
	vms := s.VMs
	s.fleet.after(delay, func() { p.end(control.VMListRead{VMs: vms}) })
}
