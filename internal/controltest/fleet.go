// Package controltest drives control machines by events in one process, in
// virtual time. A test says who reaches whom and what the platform answers;
// there is no other model of a network.
package controltest

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
)

const (
	delay       = time.Millisecond       // of one message
	callTimeout = 400 * time.Millisecond // of a heartbeat, as in the daemon
	textTimeout = 800 * time.Millisecond // of fetching a text
	readTimeout = 2 * time.Second        // of a call to the platform
)

// Node is one VM process.
type Node struct {
	VM      fleet.VM
	Machine *control.Machine
	View    *fleet.View
	Rejects []control.ReportRejected
	Sent    int           // bytes of heartbeats and replies sent, by the Fleet's sizes
	Texts   int           // texts sent to peers
	Busy    time.Duration // processor time of the machine, if the Fleet measures it

	fleet  *Fleet
	up     bool
	frozen bool
	held   []control.Event // for a frozen process
	tickAt time.Time
}

// Fleet is the set of processes and the platform.
type Fleet struct {
	Now      time.Time
	Nodes    []*Node
	Platform Platform
	// Reaches says whether messages from one VM arrive at another; nil means always.
	Reaches func(from, to *Node) bool
	// HeartbeatSize and ReplySize give encoded sizes; nil counts nothing.
	HeartbeatSize func(control.Heartbeat) int
	ReplySize     func(control.HeartbeatReply) int

	Measure bool // measure the time that machines take

	events events
	seq    int
	seed   int64
}

// New returns an empty fleet.
func New(seed int64) *Fleet {
	f := &Fleet{Now: time.Unix(1_000_000, 0), seed: seed}
	f.Platform.fleet = f
	return f
}

// Start starts a VM process at an address; one that ran there stays stopped.
func (f *Fleet) Start(name, zone string) *Node {
	f.seed++
	n := &Node{fleet: f, up: true}
	n.VM = fleet.VM{
		ID: fleet.VMID(fmt.Sprintf("%s-%08x", name, f.seed)), Zone: zone, State: fleet.Starting,
		PeerURL: "http://" + name + ".peer.example:7001", CallerURL: "http://" + name + ".example:7000",
	}
	n.Machine = control.New(f.Now, n.VM, rand.New(rand.NewSource(f.seed)))
	f.Nodes = append(f.Nodes, n)
	n.step(control.Tick{})
	return n
}

// Names returns n names of VMs.
func Names(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("vm%03d", i)
	}
	return names
}

// Kill ends a process at once.
func (n *Node) Kill() { n.up = false }

// Up reports whether the process runs.
func (n *Node) Up() bool { return n.up }

// Freeze pauses a process; Thaw lets it go on with what arrived meanwhile.
func (n *Node) Freeze() { n.frozen = true }

// Thaw ends a pause.
func (n *Node) Thaw() {
	n.frozen = false
	held := n.held
	n.held = nil
	for _, ev := range held {
		n.step(ev)
	}
	n.step(control.Tick{})
}

// Do hands an event to the VM.
func (n *Node) Do(ev control.Event) { n.step(ev) }

// Up returns the processes that run.
func (f *Fleet) Up() []*Node {
	var up []*Node
	for _, n := range f.Nodes {
		if n.up {
			up = append(up, n)
		}
	}
	return up
}

// Run advances the time.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.Now = e.at
		e.run()
	}
	f.Now = end
}

// RunUntil advances the time until a condition holds and returns how long that
// took. It reports false when the limit passed first.
func (f *Fleet) RunUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	const grain = 10 * time.Millisecond
	for spent := time.Duration(0); ; spent += grain {
		if condition() {
			return spent, true
		}
		if spent >= limit {
			return spent, false
		}
		f.Run(grain)
	}
}

func (f *Fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.Now.Add(d), seq: f.seq, run: run})
}

func (f *Fleet) reaches(from, to *Node) bool {
	return f.Reaches == nil || f.Reaches(from, to)
}

// at returns the process that answers at an address.
func (f *Fleet) at(address string) *Node {
	for i := len(f.Nodes) - 1; i >= 0; i-- {
		if f.Nodes[i].VM.PeerURL == address && f.Nodes[i].up {
			return f.Nodes[i]
		}
	}
	return nil
}

func (n *Node) step(ev control.Event) {
	if !n.up {
		return
	}
	if n.frozen {
		n.held = append(n.held, ev)
		return
	}
	n.apply(n.stepMachine(ev), nil)
	n.arm()
}

func (n *Node) stepMachine(ev control.Event) []control.Action {
	if !n.fleet.Measure {
		return n.Machine.Step(n.fleet.Now, ev)
	}
	began := time.Now()
	actions := n.Machine.Step(n.fleet.Now, ev)
	n.Busy += time.Since(began)
	return actions
}

// arm schedules the next tick.
func (n *Node) arm() {
	next := n.Machine.Next()
	if !next.After(n.fleet.Now) {
		panic(fmt.Sprintf("VM %s would spin: due %v ago", n.VM.ID, n.fleet.Now.Sub(next)))
	}
	if next.Equal(n.tickAt) {
		return
	}
	n.tickAt = next
	n.fleet.after(max(next.Sub(n.fleet.Now), 0), func() {
		if n.tickAt.Equal(next) {
			n.tickAt = time.Time{}
			n.step(control.Tick{})
		}
	})
}

// apply carries out the actions of one step. The machine reuses the slice, so
// answers are handed on before another step.
func (n *Node) apply(actions []control.Action, answer func(control.HeartbeatReply)) {
	for _, a := range actions {
		switch a := a.(type) {
		case control.Publish:
			n.publish(a.View)
		case control.SendHeartbeat:
			n.beat(a)
		case control.AnswerHeartbeat:
			if answer != nil {
				answer(a.Reply)
			}
		case control.FetchDocument:
			n.fetch(a)
		case control.ReadConfig:
			n.fleet.Platform.read(n, a)
		case control.ReadVMList:
			n.fleet.Platform.list(n)
		case control.ReportRejected:
			n.Rejects = append(n.Rejects, a)
		}
	}
}

// publish takes a view as the tasks of the VM do, and confirms its shares.
func (n *Node) publish(v *fleet.View) {
	old := n.View
	n.View = v
	if old == nil || old.Generation != v.Generation {
		n.fleet.after(delay, func() { n.step(control.SharesApplied{Generation: v.Generation}) })
	}
}

// pending is a call whose end is reported once.
type pending struct {
	node *Node
	done bool
}

func (p *pending) end(ev control.Event) {
	if !p.done {
		p.done = true
		p.node.step(ev)
	}
}

func (n *Node) beat(a control.SendHeartbeat) {
	f := n.fleet
	if f.HeartbeatSize != nil {
		n.Sent += f.HeartbeatSize(a.Heartbeat)
	}
	p := &pending{node: n}
	failed := control.HeartbeatFailed{Call: a.Call}
	to := f.at(a.To.PeerURL)
	switch {
	case to == nil:
		f.after(delay, func() { p.end(failed) })
		return
	case !f.reaches(n, to):
		f.after(callTimeout, func() { p.end(failed) })
		return
	}
	f.after(callTimeout, func() { p.end(failed) })
	f.after(delay, func() { to.receive(a, n, p) })
}

// receive answers a heartbeat; a frozen process answers when it goes on.
func (n *Node) receive(a control.SendHeartbeat, from *Node, p *pending) {
	if !n.up {
		return
	}
	if n.frozen {
		n.fleet.after(10*time.Millisecond, func() { n.receive(a, from, p) })
		return
	}
	actions := n.stepMachine(control.PeerHeartbeat{Call: a.Call, Heartbeat: a.Heartbeat})
	n.apply(actions, func(r control.HeartbeatReply) {
		if n.fleet.ReplySize != nil {
			n.Sent += n.fleet.ReplySize(r)
		}
		if n.fleet.reaches(n, from) {
			n.fleet.after(delay, func() { p.end(control.HeartbeatAnswered{Call: a.Call, Reply: r}) })
		}
	})
	n.arm()
}

func (n *Node) fetch(a control.FetchDocument) {
	f := n.fleet
	p := &pending{node: n}
	failed := control.FetchFailed{From: a.From.ID}
	to := f.at(a.From.PeerURL)
	if to == nil {
		f.after(delay, func() { p.end(failed) })
		return
	}
	f.after(textTimeout, func() { p.end(failed) })
	if !f.reaches(n, to) {
		return
	}
	f.after(2*delay, func() {
		if to.up && !to.frozen && f.reaches(to, n) {
			to.Texts++
			p.end(control.DocumentFetched{From: to.VM.ID, Document: to.Machine.Document()})
		}
	})
}

type event struct {
	at  time.Time
	seq int
	run func()
}

// events is a heap in the order of time, then of scheduling.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
