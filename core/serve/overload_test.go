package serve

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/callers"
	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/retry"
)

const (
	modelLink    = time.Millisecond     // one way between a VM and a target
	modelConnect = 6 * time.Millisecond // until a connection is open
	modelSlots   = 6
	modelQueue   = 36 // requests that wait at a target; more are shed
)

// model simulates VMs, targets and callers on one clock.
type model struct {
	now     time.Time
	events  modelEvents
	seq     int
	random  *rand.Rand
	vms     []*modelVM
	targets map[string]*modelTarget
	work    map[string]time.Duration // service time at pace 1, by path of the request
	calls   map[RequestID]*modelCall
	ids     RequestID
	ended   []*modelCall
}

type modelVM struct {
	engine *Engine
	jobs   map[ConnID]*modelJob
	weight float64
	old    bool // does not know the addresses of callers
	done   int  // answered attempts

	view         mesh.View
	pressing     []callers.Pressing // in the last Report
	overloadedAt time.Time          // last refusal for want of capacity
	unprovoked   int                // refusals for the caller's sake more than a second later
}

// modelTarget serves slots requests at once, first come first served.
type modelTarget struct {
	pace    float64 // multiple of the service time
	running int
	queue   []*modelJob
}

type modelJob struct {
	vm        *modelVM
	start     StartAttempt
	target    *modelTarget
	running   bool
	cancelled bool
}

// modelCall is a request of a caller and its retry, if any.
type modelCall struct {
	path                         string
	sent, firstSent, answered    time.Time
	objective, timeout           time.Duration
	refusals                     int
	refusedLate, merged, partial bool
	caller                       *modelCaller // nil if the caller has no address
	fingerprint                  uint64
}

// modelCaller is a caller that keeps its connection to a VM or, if it moves, opens a new
// one for each request. One that presses ignores the time that it is told.
type modelCaller struct {
	address        string
	vm             *modelVM
	presses, moves bool
}

// pressRetries is how often callers that press retry, others do so once.
const pressRetries = 3

type modelEvent struct {
	at  time.Time
	seq int
	run func()
}

type modelEvents []modelEvent

func (h modelEvents) Len() int { return len(h) }
func (h modelEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h modelEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *modelEvents) Push(x any)   { *h = append(*h, x.(modelEvent)) }
func (h *modelEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// newModel returns VMs with demand in proportion to weights and replicas targets
// in different zones for each shard of the routes.
func newModel(weights []float64, shards, replicas int, routes ...*catalog.Route) *model {
	m := &model{now: epoch, random: rand.New(rand.NewPCG(1, 2)), targets: make(map[string]*modelTarget),
		work: make(map[string]time.Duration), calls: make(map[RequestID]*modelCall)}
	entries := make(map[string]*catalog.Target)
	var services []catalog.Service
	for i := range shards {
		services = append(services, catalog.Service{Name: shardName(i), MaxConnections: 84})
		for n := range replicas {
			id := fmt.Sprintf("%s-%d", shardName(i), n)
			m.targets[id] = &modelTarget{pace: 1}
			entries[id] = &catalog.Target{ID: id, Service: shardName(i), Address: id, Zone: fmt.Sprintf("z%d", n), Slots: modelSlots}
		}
	}
	config := catalog.NewConfig(1, routes, services, catalog.Limits{}, nil, nil)
	var nodes []mesh.Node
	for i := range weights {
		nodes = append(nodes, mesh.Node{ID: fleet.VMID(fmt.Sprint(i)), Zone: fmt.Sprintf("z%d", i%3)})
	}
	for i, w := range weights {
		s := Settings{Zone: nodes[i].Zone, Retry: retry.Settings{Ratio: 0.2, Slack: 208}}
		vm := &modelVM{engine: NewEngine(m.now, s), jobs: make(map[ConnID]*modelJob), weight: w}
		m.vms = append(m.vms, vm)
		vm.view = mesh.View{Confirmed: m.now, Self: nodes[i], Active: nodes, Sharers: len(weights)}
		m.step(vm, FleetChanged{View: &vm.view})
		m.step(vm, CatalogChanged{Config: config, Targets: entries})
	}
	return m
}

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{at: m.now.Add(d), seq: m.seq, run: run})
}

// run plays the model for d.
func (m *model) run(d time.Duration) {
	end := m.now.Add(d)
	for {
		next, due := end, (*modelVM)(nil)
		for _, vm := range m.vms {
			if at := vm.engine.Next(); at.Before(next) {
				next, due = at, vm
			}
		}
		if len(m.events) > 0 && !m.events[0].at.After(next) {
			e := heap.Pop(&m.events).(modelEvent)
			m.now = laterOf(e.at, m.now)
			e.run()
			continue
		}
		m.now = laterOf(next, m.now)
		if due == nil {
			return
		}
		m.step(due, Tick{})
	}
}

func (m *model) step(vm *modelVM, ev Event) {
	for _, a := range vm.engine.Step(m.now, ev) {
		switch a := a.(type) {
		case OpenConn:
			m.after(modelConnect, func() { m.step(vm, ConnOpened{Conn: a.Conn}) })
		case CloseConn:
			if job := vm.jobs[a.Conn]; job != nil {
				delete(vm.jobs, a.Conn)
				m.after(modelLink, func() { m.cancel(job) })
			}
		case StartAttempt:
			job := &modelJob{vm: vm, start: a, target: m.targets[a.Target]}
			vm.jobs[a.Conn] = job
			m.after(modelLink, func() { m.arrive(job) })
		case Report:
			vm.pressing = a.Pressing
		case Respond:
			vm.recordRefusal(m.now, a.Answer)
			m.respond(a)
		}
	}
}

func (vm *modelVM) recordRefusal(now time.Time, a *Answer) {
	switch {
	case a.Refusal == nil || a.Refusal.Code != outcome.CodeOverloaded:
	case a.Trace.Caller.Refusal == callers.None:
		vm.overloadedAt = now
	case now.Sub(vm.overloadedAt) > time.Second:
		vm.unprovoked++
	}
}

func (m *model) arrive(job *modelJob) {
	t := job.target
	switch {
	case job.cancelled:
	case t.running < modelSlots:
		m.serve(job)
	case len(t.queue) < modelQueue:
		t.queue = append(t.queue, job)
	default:
		m.reply(job, AttemptDone{Kind: Shed, Reusable: true})
	}
}

func (m *model) serve(job *modelJob) {
	job.running = true
	job.target.running++
	d := float64(m.work[job.start.Request.Path]) * job.target.pace * (0.8 + 0.4*m.random.Float64())
	m.after(time.Duration(d), func() {
		if !job.cancelled {
			m.reply(job, AttemptDone{Kind: Answered, Reusable: true, Response: &Response{Status: 200, Success: true}})
			job.vm.done++
			m.free(job)
		}
	})
}

// free serves the next request of a target in the place of one that has ended.
func (m *model) free(job *modelJob) {
	t := job.target
	job.running = false
	t.running--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		m.serve(next)
	}
}

func (m *model) cancel(job *modelJob) {
	if job.cancelled {
		return
	}
	job.cancelled = true
	job.target.queue = slices.DeleteFunc(job.target.queue, func(o *modelJob) bool { return o == job })
	if job.running {
		m.free(job)
	}
}

func (m *model) reply(job *modelJob, done AttemptDone) {
	t := job.target
	done.Attempt, done.Conn = job.start.Attempt, job.start.Conn
	done.Load = &Load{Running: t.running, Queued: len(t.queue), Slots: modelSlots}
	m.after(modelLink, func() {
		if job.vm.jobs[done.Conn] == job {
			delete(job.vm.jobs, done.Conn)
			m.step(job.vm, done)
		}
	})
}

// call sends a request of a route to a VM drawn by weight.
func (m *model) call(path string, objective, timeout time.Duration) {
	m.send(&modelCall{path: path, sent: m.now, firstSent: m.now, objective: objective, timeout: timeout})
}

func (m *model) send(c *modelCall) {
	vm := m.drawVM()
	c.sent = m.now
	m.ids++
	if c.fingerprint == 0 {
		c.fingerprint = m.random.Uint64()
	}
	r := &Request{ID: m.ids, Host: "h", Path: c.path, Timeout: c.timeout - m.now.Sub(c.firstSent), Fingerprint: c.fingerprint}
	if c.caller != nil {
		if !c.caller.moves {
			vm = c.caller.vm
		}
		if !vm.old {
			r.Caller = c.caller.address
		}
	}
	m.calls[r.ID] = c
	m.step(vm, Submit{Request: r})
}

// drawVM draws a VM by weight.
func (m *model) drawVM() *modelVM {
	total := 0.0
	for _, vm := range m.vms {
		total += vm.weight
	}
	drawn := m.random.Float64() * total
	for _, v := range m.vms {
		if drawn -= v.weight; drawn < 0 {
			return v
		}
	}
	return m.vms[len(m.vms)-1]
}

// respond ends a call, or retries it once after the time that a refusal states.
func (m *model) respond(a Respond) {
	c := m.calls[a.ID]
	delete(m.calls, a.ID)
	r := a.Answer.Refusal
	if r == nil {
		c.answered, c.merged, c.partial = m.now, true, a.Answer.Merged != nil && a.Answer.Merged.MissingShards > 0
		m.ended = append(m.ended, c)
		return
	}
	c.refusals++
	left := c.timeout - m.now.Sub(c.firstSent)
	c.refusedLate = c.refusedLate || m.now.Sub(c.sent) > c.objective/4
	if c.caller != nil && c.caller.presses && c.refusals <= pressRetries {
		m.after(2*modelLink, func() { m.send(c) })
		return
	}
	if r.Outcome == outcome.NotRun && c.refusals == 1 && r.RetryAfter > 0 && r.RetryAfter <= left/3 {
		m.after(r.RetryAfter, func() { m.send(c) })
		return
	}
	m.ended = append(m.ended, c)
}

func modelRoute(name string, priority, shards int, coverage float64, objective, timeout time.Duration) *catalog.Route {
	r := &catalog.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: true, Timeout: timeout, Objective: objective,
		MaxAttempts: 2, Priority: priority, Public: true, FanOut: &catalog.FanOut{TopK: 3, MinCoverage: coverage}}
	for i := range shards {
		r.FanOut.Shards = append(r.FanOut.Shards, shardName(i))
	}
	return r
}

// poisson calls run at random with a mean rate per second.
func (m *model) poisson(rate float64, run func()) {
	var next func()
	next = func() {
		run()
		m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	m.after(0, next)
}
