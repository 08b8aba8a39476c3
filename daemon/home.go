package daemon

import (
	"cmp"
	"context"
	"math/rand"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/route"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// homeInboxSize bounds the messages that wait for the home task. A sub-request
// that finds no room is refused as overloaded by its sender; a cancellation
// that finds none is dropped and costs a target only work; connection and
// target tasks wait for room, which holds back only their own connection.
const homeInboxSize = 8192

// homeMsg is a message to the home task.
type homeMsg interface{ homeMsg() }

type submitMsg struct{ sub scatter.SubRequest }
type cancelMsg struct{ id scatter.SubID }

// groupMsg brings an event of a target or connection to its group.
type groupMsg struct {
	group fleet.ShardID
	event route.Event
}
type homeDumpMsg struct{ reply chan<- HomeDump }

func (submitMsg) homeMsg()   {}
func (cancelMsg) homeMsg()   {}
func (groupMsg) homeMsg()    {}
func (homeDumpMsg) homeMsg() {}

// HomeDump is the state of the home task.
type HomeDump struct {
	SubRequests int          `json:"sub_requests"` // waiting or running
	Groups      []route.Dump `json:"groups"`
}

// homeTask owns the group machines for which this VM is a home, and starts the
// tasks that own the connections to their targets.
type homeTask struct {
	ctx     context.Context
	self    fleet.VMID
	log     zerolog.Logger
	origin  uint64 // of the group made last
	groups  map[fleet.ShardID]*homeGroup
	budgets map[string]*route.HedgeBudget // by service; one that left the text keeps its few bytes
	subs    map[scatter.SubID]fleet.ShardID
	taken   scatter.Deduplicator
	submit  route.Submit // reused for every sub-request
	entry   chan<- entryMsg
	peers   chan<- peerMsg
	control chan<- controlMsg
	inbox   chan homeMsg
	views   chan *fleet.View
}

type homeGroup struct {
	id      fleet.ShardID
	machine *route.Shard
	targets map[string]*targetHandle
	conns   map[route.ConnID]*connHandle
}

func newHomeTask(ctx context.Context, self fleet.VMID, origin uint64, log zerolog.Logger) *homeTask {
	return &homeTask{
		ctx: ctx, self: self, log: log, origin: origin,
		groups:  make(map[fleet.ShardID]*homeGroup),
		budgets: make(map[string]*route.HedgeBudget),
		subs:    make(map[scatter.SubID]fleet.ShardID),
		inbox:   make(chan homeMsg, homeInboxSize), views: make(chan *fleet.View, 1),
	}
}

func (t *homeTask) run() { loop(t.ctx, t.inbox, t.views, t) }

func (t *homeTask) next() time.Time {
	var next time.Time
	for _, g := range t.groups {
		if due := g.machine.Next(); !due.IsZero() && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	return next
}

func (t *homeTask) tick(now time.Time) {
	for _, g := range t.groups {
		if due := g.machine.Next(); !due.IsZero() && !due.After(now) {
			t.step(now, g, route.Tick{})
		}
	}
}

func (t *homeTask) handle(now time.Time, msg homeMsg) {
	switch msg := msg.(type) {
	case submitMsg:
		t.accept(now, msg.sub)
	case cancelMsg:
		if g, ok := t.groups[t.subs[msg.id]]; ok {
			delete(t.subs, msg.id)
			t.step(now, g, route.Cancel{ID: msg.id})
		}
	case groupMsg:
		if g, ok := t.groups[msg.group]; ok {
			t.step(now, g, msg.event)
		}
	case homeDumpMsg:
		msg.reply <- t.dump()
	}
}

func (t *homeTask) dump() HomeDump {
	d := HomeDump{SubRequests: len(t.subs), Groups: make([]route.Dump, 0, len(t.groups))}
	for _, g := range t.groups {
		d.Groups = append(d.Groups, g.machine.Dump())
	}
	slices.SortFunc(d.Groups, func(a, b route.Dump) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Group, b.Group))
	})
	return d
}

func (t *homeTask) accept(now time.Time, sub scatter.SubRequest) {
	take, refusal := t.taken.Accept(now, &sub)
	if refusal != nil {
		t.respond(scatter.SubReply{ID: sub.ID, Shard: sub.Shard, Status: scatter.Refused, Refusal: refusal})
	}
	if !take {
		return
	}
	g, ok := t.groups[sub.Shard]
	if !ok {
		t.respond(scatter.SubReply{ID: sub.ID, Shard: sub.Shard, Status: scatter.NotOwner})
		return
	}
	t.subs[sub.ID] = sub.Shard
	t.submit.Sub = sub
	t.step(now, g, &t.submit)
	t.submit.Sub = scatter.SubRequest{}
}

// setView gives each group its settings and share. Groups that left the text or
// moved to other homes get an empty share, run out and are forgotten.
func (t *homeTask) setView(now time.Time, v *fleet.View) {
	if v.Config == nil {
		return
	}
	shares := make(map[fleet.ShardID]fleet.ShardShare, len(v.ShardShares))
	for _, s := range v.ShardShares {
		shares[s.Shard] = s
	}
	assign := assignment(v)
	listed := make(map[fleet.ShardID]bool)
	for i := range v.Config.Services {
		s := &v.Config.Services[i]
		for _, gc := range s.Shards {
			id := fleet.ShardID{Service: s.Name, Shard: gc.Name}
			listed[id] = true
			share, mine := shares[id]
			if !mine && t.groups[id] == nil {
				continue
			}
			assign.Service, assign.Shard, assign.Share = *s, gc, share
			t.assign(now, id, assign)
		}
	}
	t.runOut(now, assign, listed)
	if t.ranOut(shares) {
		tellApplied(t.control, homeViewer, v)
	}
}

// ranOut reports whether nothing runs in groups whose share was given back, and
// no more than the share allows in the others, so that another VM may use the rest.
func (t *homeTask) ranOut(shares map[fleet.ShardID]fleet.ShardShare) bool {
	for id, g := range t.groups {
		if _, mine := shares[id]; !mine && !g.machine.Idle() || !g.machine.WithinShare() {
			return false
		}
	}
	return true
}

// runOut takes the share from groups that the text does not list any more, and
// forgets groups that have nothing left.
func (t *homeTask) runOut(now time.Time, assign route.Assign, listed map[fleet.ShardID]bool) {
	for id, g := range t.groups {
		if !listed[id] {
			assign.Service, assign.Shard, assign.Share = config.Service{}, config.Shard{}, fleet.ShardShare{}
			t.step(now, g, assign)
		}
		if g.machine.Idle() {
			delete(t.groups, id)
		}
	}
}

func assignment(v *fleet.View) route.Assign {
	a := route.Assign{PoisonedUntil: v.PoisonedUntil, ZonesOut: make(map[string]bool), Weights: make(map[string]int)}
	for _, z := range v.Config.Zones {
		a.ZonesOut[z.Name] = z.Out
	}
	for _, w := range v.Config.Workspaces {
		a.Weights[w.Name] = w.Weight
	}
	return a
}

func (t *homeTask) assign(now time.Time, id fleet.ShardID, a route.Assign) {
	g, ok := t.groups[id]
	if !ok {
		t.origin++ // each group numbers its attempts, so each needs an origin of its own
		g = &homeGroup{
			id: id, machine: route.NewShard(id, t.origin, rand.New(rand.NewSource(int64(t.origin)))),
			targets: make(map[string]*targetHandle), conns: make(map[route.ConnID]*connHandle),
		}
		g.machine.SetHedgeBudget(t.budget(id.Service))
		t.groups[id] = g
	}
	t.step(now, g, a)
}

func (t *homeTask) budget(service string) *route.HedgeBudget {
	b, ok := t.budgets[service]
	if !ok {
		b = &route.HedgeBudget{}
		t.budgets[service] = b
	}
	return b
}

func (t *homeTask) step(now time.Time, g *homeGroup, ev route.Event) {
	if closed, ok := ev.(route.ConnClosed); ok {
		t.connEnded(now, g, closed.Conn)
	}
	for _, a := range g.machine.Step(now, ev) {
		t.do(g, a)
	}
}

// connEnded forgets a connection. An attempt that its task did not take before
// it ended was not written.
func (t *homeTask) connEnded(now time.Time, g *homeGroup, id route.ConnID) {
	c, ok := g.conns[id]
	if !ok {
		return
	}
	delete(g.conns, id)
	c.stop()
	if a, ok := c.untaken(); ok {
		t.step(now, g, &route.AttemptDone{Attempt: a.Attempt, Result: route.ResultNotWritten})
	}
}

func (t *homeTask) do(g *homeGroup, a route.Action) {
	switch a := a.(type) {
	case *route.StartAttempt:
		if c, ok := g.conns[a.Conn]; ok {
			c.start(*a)
		}
	case *route.CancelAttempt:
		if h, ok := g.targets[a.Target]; ok {
			h.cancelAttempt(a.Attempt)
		}
	case *route.Respond:
		t.respond(a.Reply)
	case route.OpenConn:
		g.conns[a.Conn] = openConn(t.ctx, g.id, a, t.inbox)
	case route.CloseConn:
		if c, ok := g.conns[a.Conn]; ok {
			c.stop()
		}
	case route.WatchTarget:
		g.targets[a.Target] = startTarget(t.ctx, g.id, a.Target, t.inbox)
	case route.ProbeNow:
		if h, ok := g.targets[a.Target]; ok {
			h.probeNow()
		}
	case route.DropTarget:
		if h, ok := g.targets[a.Target]; ok {
			h.stop()
			delete(g.targets, a.Target)
		}
	case route.ReportPoison:
		t.block(g.id, a)
	}
}

// block hands a fingerprint that crashed targets to the task that blocks it
// fleet-wide. Without room the block is lost on this way; the group itself
// keeps it.
func (t *homeTask) block(id fleet.ShardID, p route.ReportPoison) {
	event := control.PoisonReported{Fingerprint: p.Fingerprint, Until: p.Until}
	sent := trySend(t.control, controlMsg(eventMsg{event: event}))
	t.log.Error().Str("event", "request_poisoned").Str("service", id.Service).Str("group", id.Shard).
		Hex("fingerprint", p.Fingerprint[:]).Bool("propagated", sent).Msg("a request crashed targets and is blocked")
}

func (t *homeTask) respond(r scatter.SubReply) {
	delete(t.subs, r.ID)
	if r.ID.Ingress == t.self {
		send(t.ctx, t.entry, entryMsg(subReplyMsg{reply: r}))
		return
	}
	if !trySend(t.peers, peerMsg(sendReplyMsg{to: r.ID.Ingress, reply: r})) {
		t.log.Warn().Str("event", "reply_dropped").Str("entry", string(r.ID.Ingress)).Msg("no room for a reply to the entry VM")
	}
}
