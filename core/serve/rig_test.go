package serve

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/quota"
	"github.com/anvilfork/anvilfork/core/retry"
)

var epoch = time.Unix(1_000_000_000, 0)

// rig steps an Engine with a clock of its own and keeps what it did.
type rig struct {
	t       *testing.T
	now     time.Time
	engine  *Engine
	targets map[string]*catalog.Target // with an entry now
	known   map[string]*catalog.Target // that ever had one
	config  *catalog.Config
	opened  map[ConnID]string // connections that are open or being opened, to their address
	asked   []OpenConn        // connections asked for and not settled
	started []StartAttempt    // attempts that have not ended
	answers map[RequestID]*Answer
	notes   []LogEvent
	seq     RequestID

	relayed []StartRelay // work for other VMs that was not dropped
	replies []*RelayReply
}

const (
	fanOutShards = 10
	replicas     = 3
	testKey      = "key-a"
)

var testSettings = Settings{
	Zone: "z0", MaxKeyCopyAge: 2750 * time.Millisecond,
	Retry: retry.Settings{Ratio: 0.2, Slack: 56},
	Quota: quota.Tolerance{Window: 5 * time.Second, OverRatio: 0.25, SlackRequests: 20},
}

func shardName(i int) string { return fmt.Sprintf("shard%d", i) }

// testRoutes are a fan-out, a service whose requests may be repeated, and one
// whose requests may run only once.
func testRoutes() []*catalog.Route {
	var shards []string
	for i := range fanOutShards {
		shards = append(shards, shardName(i))
	}
	return []*catalog.Route{
		{Name: "sweep", Host: "h", Prefix: "/sweep/", Idempotent: true, Timeout: time.Second, Objective: 100 * time.Millisecond,
			MaxAttempts: 2, Priority: 1, FanOut: &catalog.FanOut{Shards: shards, TopK: 3, MinCoverage: 0.75}},
		{Name: "read", Host: "h", Prefix: "/read/", Idempotent: true, Timeout: 4 * time.Second, Objective: 400 * time.Millisecond,
			MaxAttempts: 2, Priority: 2, Service: "single"},
		{Name: "write", Host: "h", Prefix: "/write/", Timeout: 4 * time.Second, Objective: 400 * time.Millisecond,
			MaxAttempts: 2, Priority: 2, Service: "single"},
	}
}

func testConfig(version uint64, routes []*catalog.Route, rate float64) *catalog.Config {
	w := &catalog.Workspace{Name: "a", RatePerSecond: rate, Burst: rate}
	services := []catalog.Service{{Name: "single", MaxConnections: 40}}
	for i := range fanOutShards {
		services = append(services, catalog.Service{Name: shardName(i), MaxConnections: 40})
	}
	return catalog.NewConfig(version, routes, services, catalog.Limits{}, []*catalog.Workspace{w}, map[string]*catalog.Workspace{testKey: w})
}

// newRig returns a rig with a configuration, targets with open connections, and
// a fresh copy of the store.
func newRig(t *testing.T) *rig {
	r := &rig{
		t: t, now: epoch, engine: NewEngine(epoch, testSettings), targets: make(map[string]*catalog.Target),
		known:  make(map[string]*catalog.Target),
		config: testConfig(1, testRoutes(), 0), opened: make(map[ConnID]string), answers: make(map[RequestID]*Answer),
	}
	names := []string{"single"}
	for i := range fanOutShards {
		names = append(names, shardName(i))
	}
	for _, service := range names {
		for n := range replicas {
			r.addTarget(service, n)
		}
	}
	r.confirm()
	r.publish()
	r.openAll()
	return r
}

func (r *rig) addTarget(service string, n int) *catalog.Target {
	id := fmt.Sprintf("%s-%d", service, n)
	r.targets[id] = &catalog.Target{ID: id, Service: service, Address: id, Zone: fmt.Sprintf("z%d", n), Slots: 2}
	r.known[id] = r.targets[id]
	return r.targets[id]
}

func (r *rig) confirm() {
	r.step(FleetChanged{View: &mesh.View{Confirmed: r.now, Self: mesh.Node{ID: "vm"}, Active: []mesh.Node{{ID: "vm"}}, Sharers: 1}})
}

func (r *rig) publish() {
	targets := make(map[string]*catalog.Target)
	for id, t := range r.targets {
		targets[id] = t
	}
	r.step(CatalogChanged{Config: r.config, Targets: targets})
}

// openAll opens every connection that was asked for.
func (r *rig) openAll() {
	for len(r.asked) > 0 {
		c := r.asked[0]
		r.asked = r.asked[1:]
		r.step(ConnOpened{Conn: c.Conn})
	}
}

func (r *rig) step(ev Event) {
	for _, a := range r.engine.Step(r.now, ev) {
		switch a := a.(type) {
		case OpenConn:
			r.asked = append(r.asked, a)
			r.opened[a.Conn] = a.Address
		case CloseConn:
			delete(r.opened, a.Conn)
			r.started = slices.DeleteFunc(r.started, func(s StartAttempt) bool { return s.Conn == a.Conn })
			r.asked = slices.DeleteFunc(r.asked, func(o OpenConn) bool { return o.Conn == a.Conn })
		case StartAttempt:
			r.started = append(r.started, a)
		case Respond:
			assert.Assert(r.t, r.answers[a.ID] == nil, "request %d was answered twice", a.ID)
			r.answers[a.ID] = a.Answer
		case StartRelay:
			r.relayed = append(r.relayed, a)
		case CancelRelay:
			r.relayed = slices.DeleteFunc(r.relayed, func(s StartRelay) bool { return s.Relay == a.Relay })
		case SendRelayReply:
			r.replies = append(r.replies, a.Reply)
		case LogEvent:
			r.notes = append(r.notes, a)
		}
	}
}

// advance lets time pass; timers fire on their way.
func (r *rig) advance(d time.Duration) {
	end := r.now.Add(d)
	for next := r.engine.Next(); next.Before(end); next = r.engine.Next() {
		r.now = later(next, r.now)
		r.step(Tick{})
	}
	r.now = end
	r.step(Tick{})
}

func (r *rig) submit(path string) RequestID {
	r.seq++
	r.step(Submit{Request: &Request{ID: r.seq, Host: "h", Path: path, Key: testKey, Fingerprint: uint64(r.seq)}})
	return r.seq
}

// take removes and returns an attempt that runs at a target of a service.
func (r *rig) take(service string) StartAttempt {
	r.t.Helper()
	i := slices.IndexFunc(r.started, func(a StartAttempt) bool { return r.known[a.Target].Service == service })
	assert.Assert(r.t, i >= 0, "no attempt runs at %s", service)
	a := r.started[i]
	r.started = slices.Delete(r.started, i, i+1)
	return a
}

func (r *rig) answer(a StartAttempt, body string) {
	r.step(AttemptDone{Attempt: a.Attempt, Conn: a.Conn, Kind: Answered, Reusable: true,
		Response: &Response{Status: 200, Success: true, Signature: "seal-" + a.Target, Body: []byte(body)}})
}

func (r *rig) fail(a StartAttempt, kind ResultKind) {
	r.step(AttemptDone{Attempt: a.Attempt, Conn: a.Conn, Kind: kind, Reusable: kind.notRun() && kind != NotWritten})
}

// running counts the attempts in flight at targets of a service.
func (r *rig) running(service string) int {
	n := 0
	for _, a := range r.started {
		if r.known[a.Target].Service == service {
			n++
		}
	}
	return n
}
