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

// harness runs an Engine on a simulated clock and records its actions.
type harness struct {
	t          *testing.T
	now        time.Time
	engine     *Engine
	targets    map[string]*catalog.Target // targets that have an entry now
	everKnown  map[string]*catalog.Target // targets that ever had an entry
	config     *catalog.Config
	opened     map[ConnID]string        // addresses of the connections that are open or being opened
	connecting []OpenConn               // connections that are being opened
	openCauses [len(connCauseNames)]int // number of connections that were opened, by cause
	started    []StartAttempt           // attempts in flight
	answers    map[RequestID]*Answer
	logEvents  []LogEvent
	seq        RequestID

	relayed []StartRelay // relays that were not cancelled
	replies []*RelayReply

	poolAsks    []AskPool // not answered yet
	poolAnswers []AnswerPool
}

const (
	fanOutShards = 10
	replicas     = 3
	testKey      = "key-a"
)

var testSettings = Settings{
	Zone: "z0", MaxKeyCopyAge: 2750 * time.Millisecond, DrainWithin: 3 * time.Second,
	Retry: retry.Settings{Ratio: 0.2, Slack: 56},
	Quota: quota.Tolerance{Window: 5 * time.Second, OverRatio: 0.25, SlackRequests: 20},
}

func shardName(i int) string { return fmt.Sprintf("shard%d", i) }

// testRoutes returns a fan-out, a route whose requests are idempotent, and one
// whose requests are not.
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

// newHarness returns a harness with a configuration, targets with open
// connections, and a confirmed copy of the store.
func newHarness(t *testing.T) *harness {
	h := &harness{
		t: t, now: epoch, engine: NewEngine(epoch, testSettings), targets: make(map[string]*catalog.Target),
		everKnown: make(map[string]*catalog.Target),
		config:    testConfig(1, testRoutes(), 0), opened: make(map[ConnID]string), answers: make(map[RequestID]*Answer),
	}
	names := []string{"single"}
	for i := range fanOutShards {
		names = append(names, shardName(i))
	}
	for _, service := range names {
		for n := range replicas {
			h.addTarget(service, n)
		}
	}
	h.confirm()
	h.publish()
	h.openAll()
	return h
}

func (h *harness) addTarget(service string, n int) *catalog.Target {
	id := fmt.Sprintf("%s-%d", service, n)
	h.targets[id] = &catalog.Target{ID: id, Service: service, Address: id, Zone: fmt.Sprintf("z%d", n), Slots: 2}
	h.everKnown[id] = h.targets[id]
	return h.targets[id]
}

func (h *harness) confirm() {
	h.step(FleetChanged{View: &mesh.View{Confirmed: h.now, Self: mesh.Node{ID: "vm"}, Active: []mesh.Node{{ID: "vm"}}, Sharers: 1}})
}

func (h *harness) publish() {
	targets := make(map[string]*catalog.Target)
	for id, t := range h.targets {
		targets[id] = t
	}
	h.step(CatalogChanged{Config: h.config, Targets: targets})
}

// openAll reports every connection that is being opened as open.
func (h *harness) openAll() {
	for len(h.connecting) > 0 {
		c := h.connecting[0]
		h.connecting = h.connecting[1:]
		h.step(ConnOpened{Conn: c.Conn})
	}
}

func (h *harness) step(ev Event) {
	for _, a := range h.engine.Step(h.now, ev) {
		switch a := a.(type) {
		case OpenConn:
			h.connecting = append(h.connecting, a)
			h.openCauses[a.Cause]++
			h.opened[a.Conn] = a.Address
		case CloseConn:
			delete(h.opened, a.Conn)
			h.started = slices.DeleteFunc(h.started, func(s StartAttempt) bool { return s.Conn == a.Conn })
			h.connecting = slices.DeleteFunc(h.connecting, func(o OpenConn) bool { return o.Conn == a.Conn })
		case StartAttempt:
			h.started = append(h.started, a)
		case Respond:
			assert.Assert(h.t, h.answers[a.ID] == nil, "request %d was answered twice", a.ID)
			h.answers[a.ID] = a.Answer
		case StartRelay:
			h.relayed = append(h.relayed, a)
		case CancelRelay:
			h.relayed = slices.DeleteFunc(h.relayed, func(s StartRelay) bool { return s.Relay == a.Relay })
		case AskPool:
			h.poolAsks = append(h.poolAsks, a)
		case AnswerPool:
			h.poolAnswers = append(h.poolAnswers, a)
		case SendRelayReply:
			h.replies = append(h.replies, a.Reply)
		case LogEvent:
			h.logEvents = append(h.logEvents, a)
		}
	}
}

// advance moves the clock forward and fires the timers that are due on the way.
func (h *harness) advance(d time.Duration) {
	end := h.now.Add(d)
	for next := h.engine.Next(); next.Before(end); next = h.engine.Next() {
		h.now = laterOf(next, h.now)
		h.step(Tick{})
	}
	h.now = end
	h.step(Tick{})
}

func (h *harness) submit(path string) RequestID {
	h.seq++
	h.step(Submit{Request: &Request{ID: h.seq, Host: "h", Path: path, Key: testKey, Fingerprint: uint64(h.seq)}})
	return h.seq
}

// takeAttempt removes and returns an attempt in flight at a target of a
// service.
func (h *harness) takeAttempt(service string) StartAttempt {
	h.t.Helper()
	i := slices.IndexFunc(h.started, func(a StartAttempt) bool { return h.everKnown[a.Target].Service == service })
	assert.Assert(h.t, i >= 0, "no attempt runs at %s", service)
	a := h.started[i]
	h.started = slices.Delete(h.started, i, i+1)
	return a
}

func (h *harness) answer(a StartAttempt, body string) {
	h.step(AttemptDone{Attempt: a.Attempt, Conn: a.Conn, Kind: Answered, Reusable: true,
		Response: &Response{Status: 200, Success: true, Signature: "seal-" + a.Target, Body: []byte(body)}})
}

func (h *harness) fail(a StartAttempt, kind ResultKind) {
	h.step(AttemptDone{Attempt: a.Attempt, Conn: a.Conn, Kind: kind, Reusable: kind.notRun() && kind != NotWritten})
}

// running returns the number of attempts in flight at targets of a service.
func (h *harness) running(service string) int {
	n := 0
	for _, a := range h.started {
		if h.everKnown[a.Target].Service == service {
			n++
		}
	}
	return n
}
