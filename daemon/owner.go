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

// ownerInboxSize bounds the messages that wait for the owner task. When it is full,
// the sender refuses a sub-request as overloaded; a cancellation is dropped, which
// costs a target only wasted work; connection and target tasks wait for room, which
// delays only their own connection.
const ownerInboxSize = 8192

// ownerMsg is a message to the owner task.
type ownerMsg interface{ ownerMsg() }

// submitMsg brings a sub-request from an ingress.
type submitMsg struct{ sub scatter.SubRequest }

// cancelMsg cancels a sub-request.
type cancelMsg struct{ id scatter.SubID }

// shardMsg brings an event of a target or connection to its shard's state machine.
type shardMsg struct {
	shard fleet.ShardID
	event route.Event
}

// ownerDumpMsg asks for the state of the task.
type ownerDumpMsg struct{ reply chan<- OwnerDump }

func (submitMsg) ownerMsg()    {}
func (cancelMsg) ownerMsg()    {}
func (shardMsg) ownerMsg()     {}
func (ownerDumpMsg) ownerMsg() {}

// OwnerDump is the state of the owner task.
type OwnerDump struct {
	SubRequests int          `json:"sub_requests"` // waiting or running
	Shards      []route.Dump `json:"groups"`
}

// ownerTask owns the state machines of the shards that this VM owns, and starts the
// tasks that own the connections to their targets.
type ownerTask struct {
	ctx          context.Context
	self         fleet.VMID
	log          zerolog.Logger
	lastOrigin   uint64 // of the state machine created last
	shards       map[fleet.ShardID]*ownedShard
	hedgeBudgets map[string]*route.HedgeBudget // by service; those of removed services are kept, a few bytes each
	shardBySub   map[scatter.SubID]fleet.ShardID
	deduplicator scatter.Deduplicator
	submitEvent  route.Submit // reused for every sub-request to avoid an allocation
	ingress      chan<- ingressMsg
	peers        chan<- peerMsg
	control      chan<- controlMsg
	inbox        chan ownerMsg
	views        chan *fleet.View
}

// ownedShard is a shard's state machine with its targets and connections.
type ownedShard struct {
	id      fleet.ShardID
	machine *route.Shard
	targets map[string]*targetHandle
	conns   map[route.ConnID]*connHandle
}

func newOwnerTask(ctx context.Context, self fleet.VMID, origin uint64, log zerolog.Logger) *ownerTask {
	return &ownerTask{
		ctx: ctx, self: self, log: log, lastOrigin: origin,
		shards:       make(map[fleet.ShardID]*ownedShard),
		hedgeBudgets: make(map[string]*route.HedgeBudget),
		shardBySub:   make(map[scatter.SubID]fleet.ShardID),
		inbox:        make(chan ownerMsg, ownerInboxSize), views: make(chan *fleet.View, 1),
	}
}

func (t *ownerTask) run() { loop(t.ctx, t.inbox, t.views, t) }

func (t *ownerTask) next() time.Time {
	var next time.Time
	for _, s := range t.shards {
		if due := s.machine.Next(); !due.IsZero() && (next.IsZero() || due.Before(next)) {
			next = due
		}
	}
	return next
}

func (t *ownerTask) tick(now time.Time) {
	for _, s := range t.shards {
		if due := s.machine.Next(); !due.IsZero() && !due.After(now) {
			t.step(now, s, route.Tick{})
		}
	}
}

func (t *ownerTask) handle(now time.Time, msg ownerMsg) {
	switch msg := msg.(type) {
	case submitMsg:
		t.accept(now, msg.sub)
	case cancelMsg:
		if s, ok := t.shards[t.shardBySub[msg.id]]; ok {
			delete(t.shardBySub, msg.id)
			t.step(now, s, route.Cancel{ID: msg.id})
		}
	case shardMsg:
		if s, ok := t.shards[msg.shard]; ok {
			t.step(now, s, msg.event)
		}
	case ownerDumpMsg:
		msg.reply <- t.dump()
	}
}

func (t *ownerTask) dump() OwnerDump {
	d := OwnerDump{SubRequests: len(t.shardBySub), Shards: make([]route.Dump, 0, len(t.shards))}
	for _, s := range t.shards {
		d.Shards = append(d.Shards, s.machine.Dump())
	}
	slices.SortFunc(d.Shards, func(a, b route.Dump) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
	})
	return d
}

// accept runs a sub-request unless it is a duplicate or this VM does not own its
// shard.
func (t *ownerTask) accept(now time.Time, sub scatter.SubRequest) {
	accepted, refusal := t.deduplicator.Accept(now, &sub)
	if refusal != nil {
		t.respond(scatter.SubReply{ID: sub.ID, Shard: sub.Shard, Status: scatter.Refused, Refusal: refusal})
	}
	if !accepted {
		return
	}
	s, ok := t.shards[sub.Shard]
	if !ok {
		t.respond(scatter.SubReply{ID: sub.ID, Shard: sub.Shard, Status: scatter.NotOwner})
		return
	}
	t.shardBySub[sub.ID] = sub.Shard
	t.submitEvent.Sub = sub
	t.step(now, s, &t.submitEvent)
	t.submitEvent.Sub = scatter.SubRequest{}
}

// setView gives each shard its settings and share. Shards that were removed from the
// configuration or moved to other owners get an empty share; they finish what runs
// and are removed.
func (t *ownerTask) setView(now time.Time, v *fleet.View) {
	if v.Config == nil {
		return
	}
	shares := make(map[fleet.ShardID]fleet.ShardShare, len(v.ShardShares))
	for _, s := range v.ShardShares {
		shares[s.Shard] = s
	}
	assign := commonAssign(v)
	configured := make(map[fleet.ShardID]bool)
	for i := range v.Config.Services {
		s := &v.Config.Services[i]
		for _, shardConfig := range s.Shards {
			id := fleet.ShardID{Service: s.Name, Shard: shardConfig.Name}
			configured[id] = true
			share, owned := shares[id]
			if !owned && t.shards[id] == nil {
				continue
			}
			assign.Service, assign.Shard, assign.Share = *s, shardConfig, share
			t.assignShard(now, id, assign)
		}
	}
	t.drainUnconfigured(now, assign, configured)
	if t.withinShares(shares) {
		reportApplied(t.control, ownerSubscriber, v)
	}
}

// withinShares reports whether nothing runs in shards whose share was given back, and
// no more than the share allows in the others. Another VM may then use the difference.
func (t *ownerTask) withinShares(shares map[fleet.ShardID]fleet.ShardShare) bool {
	for id, s := range t.shards {
		if _, owned := shares[id]; !owned && !s.machine.Idle() || !s.machine.WithinShare() {
			return false
		}
	}
	return true
}

// drainUnconfigured takes the share from shards that the configuration does not
// contain any more, and removes shards that are idle without a share.
func (t *ownerTask) drainUnconfigured(now time.Time, assign route.Assignment, configured map[fleet.ShardID]bool) {
	for id, s := range t.shards {
		if !configured[id] {
			assign.Service, assign.Shard, assign.Share = config.Service{}, config.Shard{}, fleet.ShardShare{}
			t.step(now, s, assign)
		}
		if s.machine.Idle() {
			delete(t.shards, id)
		}
	}
}

// commonAssign returns the part of the assignment that is the same for all shards.
func commonAssign(v *fleet.View) route.Assignment {
	a := route.Assignment{PoisonedUntil: v.PoisonedUntil, ZonesOut: make(map[string]bool), Weights: make(map[string]int)}
	for _, z := range v.Config.Zones {
		a.ZonesOut[z.Name] = z.Out
	}
	for _, w := range v.Config.Workspaces {
		a.Weights[w.Name] = w.Weight
	}
	return a
}

// assignShard gives a shard its assignment and creates its state machine if needed.
func (t *ownerTask) assignShard(now time.Time, id fleet.ShardID, a route.Assignment) {
	s, ok := t.shards[id]
	if !ok {
		t.lastOrigin++ // each state machine numbers its attempts from one, the origin makes their ids unique
		s = &ownedShard{
			id: id, machine: route.NewShard(id, t.lastOrigin, rand.New(rand.NewSource(int64(t.lastOrigin)))),
			targets: make(map[string]*targetHandle), conns: make(map[route.ConnID]*connHandle),
		}
		s.machine.SetHedgeBudget(t.hedgeBudget(id.Service))
		t.shards[id] = s
	}
	t.step(now, s, a)
}

// hedgeBudget returns the budget that all shards of a service have in common.
func (t *ownerTask) hedgeBudget(service string) *route.HedgeBudget {
	b, ok := t.hedgeBudgets[service]
	if !ok {
		b = &route.HedgeBudget{}
		t.hedgeBudgets[service] = b
	}
	return b
}

// step passes an event to a shard's state machine and executes the actions that it
// returns.
func (t *ownerTask) step(now time.Time, s *ownedShard, ev route.Event) {
	if closed, ok := ev.(route.ConnClosed); ok {
		t.removeConn(now, s, closed.Conn)
	}
	for _, a := range s.machine.Step(now, ev) {
		t.execute(s, a)
	}
}

// removeConn removes a closed connection. An attempt that its task had not started
// is reported as not written.
func (t *ownerTask) removeConn(now time.Time, s *ownedShard, id route.ConnID) {
	c, ok := s.conns[id]
	if !ok {
		return
	}
	delete(s.conns, id)
	c.stop()
	if a, ok := c.unstarted(); ok {
		t.step(now, s, &route.AttemptDone{Attempt: a.Attempt, Result: route.ResultNotWritten})
	}
}

func (t *ownerTask) execute(s *ownedShard, a route.Action) {
	switch a := a.(type) {
	case *route.StartAttempt:
		if c, ok := s.conns[a.Conn]; ok {
			c.start(*a)
		}
	case *route.CancelAttempt:
		if h, ok := s.targets[a.Target]; ok {
			h.cancelAttempt(a.Attempt)
		}
	case *route.Respond:
		t.respond(a.Reply)
	case route.OpenConn:
		s.conns[a.Conn] = openConn(t.ctx, s.id, a, t.inbox)
	case route.CloseConn:
		if c, ok := s.conns[a.Conn]; ok {
			c.stop()
		}
	case route.WatchTarget:
		s.targets[a.Target] = startTarget(t.ctx, s.id, a.Target, t.inbox)
	case route.ProbeNow:
		if h, ok := s.targets[a.Target]; ok {
			h.probeNow()
		}
	case route.UnwatchTarget:
		if h, ok := s.targets[a.Target]; ok {
			h.stop()
			delete(s.targets, a.Target)
		}
	case route.ReportPoison:
		t.reportPoison(s.id, a)
	}
}

// reportPoison passes the fingerprint of a request that crashed targets to the control
// task, which blocks it on all VMs. When the inbox is full the report is lost, and the
// fingerprint stays blocked in this shard only.
func (t *ownerTask) reportPoison(id fleet.ShardID, p route.ReportPoison) {
	event := control.PoisonReported{Fingerprint: p.Fingerprint, Until: p.Until}
	sent := trySend(t.control, controlMsg(eventMsg{event: event}))
	t.log.Error().Str("event", "request_poisoned").Str("service", id.Service).Str("group", id.Shard).
		Hex("fingerprint", p.Fingerprint[:]).Bool("propagated", sent).Msg("a request crashed targets and is blocked")
}

// respond sends a reply to the ingress of its sub-request.
func (t *ownerTask) respond(r scatter.SubReply) {
	delete(t.shardBySub, r.ID)
	if r.ID.Ingress == t.self {
		send(t.ctx, t.ingress, ingressMsg(subReplyMsg{reply: r}))
		return
	}
	if !trySend(t.peers, peerMsg(sendReplyMsg{to: r.ID.Ingress, reply: r})) {
		t.log.Warn().Str("event", "reply_dropped").Str("entry", string(r.ID.Ingress)).Msg("reply to the ingress dropped, the outbox is full")
	}
}
