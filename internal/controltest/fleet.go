// Package controltest simulates a fleet of control state machines in one process and
// in virtual time. A test determines which VMs reach each other and what the platform
// answers; messages take a constant time, and there is no other model of a network.
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
	messageDelay    = time.Millisecond       // one-way delay of a message
	callTimeout     = 400 * time.Millisecond // of a heartbeat, as in the daemon
	fetchTimeout    = 800 * time.Millisecond // of fetching a document from a peer
	platformTimeout = 2 * time.Second        // of a call to the platform
)

// Node is the simulated process of one VM.
type Node struct {
	VM            fleet.VM
	Machine       *control.Machine
	View          *fleet.View
	Rejections    []control.ReportRejected
	BytesSent     int           // bytes of heartbeats and replies sent, as given by HeartbeatSize and ReplySize
	DocumentsSent int           // documents sent to peers
	StepTime      time.Duration // time spent in the state machine's Step, if Fleet.Measure is set

	fleet  *Fleet
	up     bool
	frozen bool
	queued []control.Event // events that arrived while the process was frozen
	tickAt time.Time
}

// Fleet is a simulated fleet: its processes, the platform and the clock.
type Fleet struct {
	Now      time.Time
	Nodes    []*Node
	Platform Platform
	// Reaches reports whether messages from one VM arrive at another; nil means always.
	Reaches func(from, to *Node) bool
	// HeartbeatSize and ReplySize return encoded sizes in bytes; nil counts nothing.
	HeartbeatSize func(control.Heartbeat) int
	ReplySize     func(control.HeartbeatReply) int

	Measure bool // measure the time spent in the state machines

	events eventQueue
	seq    int
	seed   int64
}

// New returns an empty fleet.
func New(seed int64) *Fleet {
	f := &Fleet{Now: time.Unix(1_000_000, 0), seed: seed}
	f.Platform.fleet = f
	return f
}

// Start starts a new incarnation of the VM called name. It does not stop an earlier
// one, which no longer receives messages.
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

// Names returns the names of n VMs.
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

// Freeze pauses a process. Events that arrive meanwhile are queued until Thaw.
func (n *Node) Freeze() { n.frozen = true }

// Thaw ends a pause and delivers the queued events.
func (n *Node) Thaw() {
	n.frozen = false
	queued := n.queued
	n.queued = nil
	for _, ev := range queued {
		n.step(ev)
	}
	n.step(control.Tick{})
}

// Deliver passes an event to the state machine.
func (n *Node) Deliver(ev control.Event) { n.step(ev) }

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

// Run advances the time by d and runs what is due.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.Now = e.at
		e.run()
	}
	f.Now = end
}

// RunUntil advances the time until a condition holds and returns the elapsed time.
// It reports false if the limit passed first.
func (f *Fleet) RunUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	const checkInterval = 10 * time.Millisecond
	for spent := time.Duration(0); ; spent += checkInterval {
		if condition() {
			return spent, true
		}
		if spent >= limit {
			return spent, false
		}
		f.Run(checkInterval)
	}
}

func (f *Fleet) schedule(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.Now.Add(d), seq: f.seq, run: run})
}

func (f *Fleet) reaches(from, to *Node) bool {
	return f.Reaches == nil || f.Reaches(from, to)
}

// nodeAt returns the running process at an address, the latest if there are several,
// nil if there is none.
func (f *Fleet) nodeAt(address string) *Node {
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
		n.queued = append(n.queued, ev)
		return
	}
	n.apply(n.stepMachine(ev), nil)
	n.scheduleTick()
}

func (n *Node) stepMachine(ev control.Event) []control.Action {
	if !n.fleet.Measure {
		return n.Machine.Step(n.fleet.Now, ev)
	}
	startedAt := time.Now()
	actions := n.Machine.Step(n.fleet.Now, ev)
	n.StepTime += time.Since(startedAt)
	return actions
}

// scheduleTick schedules the next tick. It panics if the state machine asks for one
// that is not in the future, because it would spin.
func (n *Node) scheduleTick() {
	next := n.Machine.Next()
	if !next.After(n.fleet.Now) {
		panic(fmt.Sprintf("VM %s would spin: due %v ago", n.VM.ID, n.fleet.Now.Sub(next)))
	}
	if next.Equal(n.tickAt) {
		return
	}
	n.tickAt = next
	n.fleet.schedule(max(next.Sub(n.fleet.Now), 0), func() {
		if n.tickAt.Equal(next) {
			n.tickAt = time.Time{}
			n.step(control.Tick{})
		}
	})
}

// apply carries out the actions of one step and passes the answer to a heartbeat to
// reply. The state machine reuses the slice, so that this ends before the next step.
func (n *Node) apply(actions []control.Action, reply func(control.HeartbeatReply)) {
	for _, a := range actions {
		switch a := a.(type) {
		case control.Publish:
			n.publish(a.View)
		case control.SendHeartbeat:
			n.sendHeartbeat(a)
		case control.AnswerHeartbeat:
			if reply != nil {
				reply(a.Reply)
			}
		case control.FetchDocument:
			n.fetch(a)
		case control.ReadConfig:
			n.fleet.Platform.read(n, a)
		case control.ReadVMList:
			n.fleet.Platform.list(n)
		case control.ReportRejected:
			n.Rejections = append(n.Rejections, a)
		}
	}
}

// publish stores a view and confirms its shares, as the tasks of a VM do.
func (n *Node) publish(v *fleet.View) {
	old := n.View
	n.View = v
	if old == nil || old.Generation != v.Generation {
		n.fleet.schedule(messageDelay, func() { n.step(control.SharesApplied{Generation: v.Generation}) })
	}
}

// pendingCall is a call whose end is reported to the state machine exactly once.
type pendingCall struct {
	node *Node
	done bool
}

func (p *pendingCall) finish(ev control.Event) {
	if !p.done {
		p.done = true
		p.node.step(ev)
	}
}

func (n *Node) sendHeartbeat(a control.SendHeartbeat) {
	f := n.fleet
	if f.HeartbeatSize != nil {
		n.BytesSent += f.HeartbeatSize(a.Heartbeat)
	}
	call := &pendingCall{node: n}
	failed := control.HeartbeatFailed{Call: a.Call}
	to := f.nodeAt(a.To.PeerURL)
	switch {
	case to == nil:
		f.schedule(messageDelay, func() { call.finish(failed) })
		return
	case !f.reaches(n, to):
		f.schedule(callTimeout, func() { call.finish(failed) })
		return
	}
	f.schedule(callTimeout, func() { call.finish(failed) })
	f.schedule(messageDelay, func() { to.receive(a, n, call) })
}

// receive answers a heartbeat; a frozen process answers after Thaw.
func (n *Node) receive(a control.SendHeartbeat, from *Node, call *pendingCall) {
	if !n.up {
		return
	}
	if n.frozen {
		n.fleet.schedule(10*time.Millisecond, func() { n.receive(a, from, call) })
		return
	}
	actions := n.stepMachine(control.PeerHeartbeat{Call: a.Call, Heartbeat: a.Heartbeat})
	n.apply(actions, func(r control.HeartbeatReply) {
		if n.fleet.ReplySize != nil {
			n.BytesSent += n.fleet.ReplySize(r)
		}
		if n.fleet.reaches(n, from) {
			n.fleet.schedule(messageDelay, func() { call.finish(control.HeartbeatAnswered{Call: a.Call, Reply: r}) })
		}
	})
	n.scheduleTick()
}

func (n *Node) fetch(a control.FetchDocument) {
	f := n.fleet
	call := &pendingCall{node: n}
	failed := control.FetchFailed{From: a.From.ID}
	to := f.nodeAt(a.From.PeerURL)
	if to == nil {
		f.schedule(messageDelay, func() { call.finish(failed) })
		return
	}
	f.schedule(fetchTimeout, func() { call.finish(failed) })
	if !f.reaches(n, to) {
		return
	}
	f.schedule(2*messageDelay, func() {
		if to.up && !to.frozen && f.reaches(to, n) {
			to.DocumentsSent++
			call.finish(control.DocumentFetched{From: to.VM.ID, Document: to.Machine.Document()})
		}
	})
}

type event struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap ordered by time, then by the order of scheduling.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
