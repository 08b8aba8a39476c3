package grant_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/grant"
	"github.com/anvilfork/anvilfork/core/lease"
	"github.com/anvilfork/anvilfork/core/quota"
)

const (
	simTick              = 25 * time.Millisecond
	simHeartbeatInterval = 500 * time.Millisecond
	simHeartbeatTimeout  = 2 * time.Second
	simWorkspace         = "mats"
	simMaxRetries        = 100_000
)

// fleetSim runs a simulated fleet in virtual time: VMs built from the code under
// test, whose messages are lost, delayed, duplicated and partitioned.
type fleetSim struct {
	random      *rand.Rand
	now         time.Duration // true time; the VMs' clocks deviate from it
	nodes       []*simNode    // by address; nil when no VM runs there
	side        []int         // partition side of each address; messages between sides are lost
	loss        float64
	duplication float64
	maxDelay    time.Duration
	taskDelay   time.Duration // maximum delay until the tasks of a VM apply new shares
	messages    []simMessage
	started     int
	onAdmit     func(at time.Duration, workspace string)
	beforeTick  func() // called after time has advanced and before anything else happens
	afterTick   func() // called after every tick
	zones       int
	dropReply   func(to *simNode) bool
}

type simMessage struct {
	at        time.Duration
	from, to  int // addresses
	heartbeat *simHeartbeat
	reply     *simReply
}

type simHeartbeat struct {
	vm     fleet.VM
	ballot lease.Ballot
	report *grant.Report
	config *config.Config
}

type simReply struct {
	from        fleet.VMID
	to          fleet.VMID
	stamp       lease.Stamp
	resigned    bool
	coordinator fleet.VMID
	grants      *grant.Grants
	config      *config.Config
}

// simNode is one simulated VM. Its clock has its own offset and rate.
type simNode struct {
	sim             *fleetSim
	address         int
	vm              fleet.VM
	offset          time.Duration
	clockRate       float64
	pausedUntil     time.Duration
	inbox           []simMessage // messages that arrived during a pause
	config          *config.Config
	voter           *lease.Voter
	candidate       *lease.Candidate
	holder          *grant.Holder
	allocator       *grant.Allocator
	leaderSince     time.Time
	peers           map[fleet.VMID]simPeer
	coordinator     fleet.VMID
	coordinatorSeen time.Time // when the coordinator was last confirmed by a reply
	nextHeartbeat   time.Time
	tasks           []simTask // shares that the tasks of this VM have applied
	buckets         map[string]*quota.Bucket
	offered         map[string]float64
}

type simPeer struct {
	lastSeen time.Time
	address  int
}

// simTask is a task that applies each generation of shares with a delay.
type simTask struct {
	generation uint64
	config     *config.Config
	waiting    bool // newer shares or a newer configuration are to be applied at due
	due        time.Duration
	shards     []fleet.ShardShare
	rates      []fleet.RateShare
	ranges     []fleet.RangeShare
}

var simEpoch = time.Unix(1_000_000_000, 0)

func newFleetSim(seed int64, addresses, zones int) *fleetSim {
	return &fleetSim{
		random: rand.New(rand.NewSource(seed)), nodes: make([]*simNode, addresses), side: make([]int, addresses),
		zones: zones, maxDelay: 10 * time.Millisecond,
	}
}

// start starts a new VM at an address, in place of any VM there.
func (s *fleetSim) start(address int, c *config.Config) *simNode {
	s.started++
	n := &simNode{
		sim: s, address: address, config: c,
		vm:        fleet.VM{ID: fleet.VMID(fmt.Sprintf("vm-%03d-%d", s.started, address)), Zone: fmt.Sprintf("zone-%d", address%s.zones), State: fleet.Live},
		offset:    time.Duration(s.random.Int63n(int64(1000 * time.Hour))),
		clockRate: 1 + (s.random.Float64()*2-1)*0.005,
		peers:     make(map[fleet.VMID]simPeer), buckets: make(map[string]*quota.Bucket), offered: make(map[string]float64),
		tasks: make([]simTask, 2),
	}
	now := n.clock()
	n.voter, n.candidate = lease.NewVoter(now), lease.NewCandidate(now, n.vm.ID)
	n.holder, n.allocator = grant.NewHolder(), grant.NewAllocator()
	n.acceptConfig(c)
	n.nextHeartbeat = now.Add(time.Duration(s.random.Int63n(int64(simHeartbeatInterval))))
	s.nodes[address] = n
	return n
}

func (s *fleetSim) kill(address int) { s.nodes[address] = nil }

func (s *fleetSim) pause(address int, d time.Duration) {
	if n := s.nodes[address]; n != nil {
		n.pausedUntil = max(n.pausedUntil, s.now+d)
	}
}

func (s *fleetSim) running() []*simNode {
	var out []*simNode
	for _, n := range s.nodes {
		if n != nil {
			out = append(out, n)
		}
	}
	return out
}

func (s *fleetSim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simTick
		if s.beforeTick != nil {
			s.beforeTick()
		}
		s.deliver()
		for _, n := range s.nodes {
			if n != nil && n.pausedUntil <= s.now {
				n.step()
			}
		}
		if s.afterTick != nil {
			s.afterTick()
		}
	}
}

func (s *fleetSim) send(m simMessage) {
	copies := 1
	if s.random.Float64() < s.duplication {
		copies = 2
	}
	for range copies {
		if s.random.Float64() < s.loss {
			continue
		}
		m.at = s.now + time.Duration(s.random.Int63n(int64(s.maxDelay)+1))
		s.messages = append(s.messages, m)
	}
}

func (s *fleetSim) deliver() {
	slices.SortStableFunc(s.messages, func(a, b simMessage) int { return int(a.at - b.at) })
	for len(s.messages) > 0 && s.messages[0].at <= s.now {
		m := s.messages[0]
		s.messages = s.messages[1:]
		n := s.nodes[m.to]
		if n == nil || s.side[m.from] != s.side[m.to] {
			continue
		}
		if n.pausedUntil > s.now {
			n.inbox = append(n.inbox, m)
			continue
		}
		n.receive(m)
	}
}

func (n *simNode) clock() time.Time {
	return simEpoch.Add(n.offset + time.Duration(float64(n.sim.now)*n.clockRate))
}

func (n *simNode) acceptConfig(c *config.Config) {
	if c == nil || n.config != nil && n.config != c && c.Revision <= n.config.Revision {
		return
	}
	n.config = c
	n.candidate.SetMaxVMs(n.clock(), c.Fleet.MaxVMs)
	n.allocator.SetConfig(c)
	n.publish()
}

func (n *simNode) receive(m simMessage) {
	if m.heartbeat != nil {
		n.acceptConfig(m.heartbeat.config)
		r := n.answer(*m.heartbeat, m.from)
		if n.sim.dropReply == nil || n.sim.nodes[m.from] == nil || !n.sim.dropReply(n.sim.nodes[m.from]) {
			n.sim.send(simMessage{from: n.address, to: m.from, reply: &r})
		}
		return
	}
	if m.reply.to == n.vm.ID {
		n.acceptReply(*m.reply, m.from)
	}
}

func (n *simNode) answer(b simHeartbeat, from int) simReply {
	now := n.clock()
	n.peers[b.vm.ID] = simPeer{now, from}
	n.candidate.CountVote(now, b.vm.ID, b.ballot)
	if b.vm.State == fleet.Leaving {
		n.candidate.DropVote(now, b.vm.ID)
	}
	t := n.candidate.Leadership(now)
	r := simReply{from: n.vm.ID, to: b.vm.ID, stamp: n.candidate.Stamp(now), config: n.config, resigned: n.vm.State == fleet.Leaving}
	switch {
	case t.Fraction != lease.None:
		r.coordinator = n.vm.ID
		if !t.Since.Equal(n.leaderSince) {
			n.leaderSince = t.Since
			n.allocator.AdoptDirectory(n.holder.Directory())
		}
	case now.Sub(n.coordinatorSeen) < simHeartbeatTimeout/2 && n.coordinator != n.vm.ID:
		r.coordinator = n.coordinator
	}
	if b.report != nil && b.ballot.Candidate == n.vm.ID {
		g := n.allocator.Answer(now, grant.Input{
			Leadership: t, VM: b.vm, Report: *b.report,
			SentDuringLeadership: n.candidate.SentDuringLeadership(b.ballot, t), ConfigCurrent: b.config.Revision >= n.config.Revision,
		})
		r.grants = &g
	}
	return r
}

func (n *simNode) acceptReply(r simReply, from int) {
	now := n.clock()
	n.peers[r.from] = simPeer{now, from}
	n.acceptConfig(r.config)
	if r.resigned {
		n.voter.Release(r.from)
		delete(n.peers, r.from)
		if n.coordinator == r.from {
			n.coordinator = ""
		}
	} else {
		n.voter.RecordStamp(now, r.from, r.stamp)
	}
	switch {
	case r.coordinator == r.from:
		n.coordinator, n.coordinatorSeen = r.from, now
	case r.coordinator != "" && now.Sub(n.coordinatorSeen) > simHeartbeatTimeout:
		n.coordinator, n.coordinatorSeen = r.coordinator, now
	case n.coordinator == r.from:
		n.coordinator = "" // no longer coordinator
	}
	if r.grants == nil {
		return
	}
	if n.holder.Accept(now, *r.grants) {
		n.publish()
	}
	if n.holder.NeedsResync() {
		n.nextHeartbeat = now
	}
}

// publish sends shares and configuration to the tasks, which apply them with a delay.
func (n *simNode) publish() {
	for i := range n.tasks {
		t := &n.tasks[i]
		if !t.waiting {
			t.due = n.sim.now + time.Duration(n.sim.random.Int63n(int64(n.sim.taskDelay)+1))
		}
		t.waiting = true
	}
	n.runTasks()
}

func (n *simNode) runTasks() {
	now := n.clock()
	applied := n.holder.Generation()
	for i := range n.tasks {
		t := &n.tasks[i]
		if t.waiting && t.due <= n.sim.now || t.config == nil {
			t.generation, t.config, t.waiting = n.holder.Generation(), n.config, false
			t.shards, t.rates, t.ranges = n.holder.ShardShares(now, n.config), n.holder.RateShares(now, n.config), n.holder.RangeShares(now)
			if i == 0 {
				n.refreshBuckets()
			}
		}
		applied = min(applied, t.generation)
	}
	n.holder.MarkApplied(applied)
}

func (n *simNode) refreshBuckets() {
	now, t := n.clock(), &n.tasks[0]
	for i := range t.config.Workspaces {
		w := &t.config.Workspaces[i]
		b, ok := n.buckets[w.Name]
		if !ok {
			b = quota.NewBucket(now)
			n.buckets[w.Name] = b
		}
		var share fleet.RateShare
		for _, r := range t.rates {
			if r.Workspace == w.Name {
				share = r
			}
		}
		b.SetLimit(now, quota.Floor(w, &t.config.Fleet), share)
	}
}

func (n *simNode) step() {
	now := n.clock()
	for _, m := range n.inbox {
		n.receive(m)
	}
	n.inbox = nil
	n.runTasks()
	if now.Before(n.nextHeartbeat) {
		return
	}
	n.nextHeartbeat = now.Add(simHeartbeatInterval)
	n.holder.SetDemand(n.offered)
	n.sendHeartbeats(now)
}

func (n *simNode) sendHeartbeats(now time.Time) {
	to := n.preferredCoordinator(now)
	report := n.holder.Report(now)
	b := simHeartbeat{vm: n.vm, config: n.config, ballot: n.voter.Ballot(now, to), report: &report}
	if to == n.vm.ID {
		n.voter.RecordStamp(now, to, n.candidate.Stamp(now))
		b.ballot = n.voter.Ballot(now, to)
		n.acceptReply(n.answer(b, n.address), n.address)
	} else {
		n.sim.send(simMessage{from: n.address, to: n.peers[to].address, heartbeat: &b})
	}
	other := n.sim.random.Intn(len(n.sim.nodes))
	if other != n.address {
		n.sim.send(simMessage{from: n.address, to: other, heartbeat: &simHeartbeat{vm: n.vm, config: n.config}})
	}
}

// preferredCoordinator returns the VM that n votes for: the known coordinator, else
// the reachable VM with the lowest id.
func (n *simNode) preferredCoordinator(now time.Time) fleet.VMID {
	if n.coordinator != "" && now.Sub(n.coordinatorSeen) <= simHeartbeatTimeout {
		return n.coordinator
	}
	best := n.vm.ID
	if n.vm.State == fleet.Leaving {
		best = "~"
	}
	for id, h := range n.peers {
		if now.Sub(h.lastSeen) <= simHeartbeatTimeout && id < best {
			best = id
		}
	}
	if best == "~" {
		return n.vm.ID
	}
	return best
}

func (n *simNode) leave() {
	n.vm.State = fleet.Leaving
	n.voter.Leave()
	n.candidate.Resign()
	n.holder.Leave()
	n.coordinator = ""
	n.publish()
}

// offer tries to admit up to count requests of a workspace and returns how many
// were admitted.
func (n *simNode) offer(workspace string, count int) int {
	b := n.buckets[workspace]
	if b == nil || n.pausedUntil > n.sim.now {
		return 0
	}
	now := n.clock()
	for i := range count {
		if b.Take(now) != 0 {
			return i
		}
		if n.sim.onAdmit != nil {
			n.sim.onAdmit(n.sim.now, workspace)
		}
	}
	return count
}

// simLimits are the limits of the workspace and the service in simConfig.
type simLimits struct {
	rate, burst        float64
	slots, connections int
}

func simConfig(revision uint64, maxVMs, shards int, floor float64, l simLimits) *config.Config {
	c := &config.Config{
		Revision:   revision,
		Fleet:      config.Fleet{MaxVMs: maxVMs, OwnersPerShard: 2, FloorFraction: floor},
		Workspaces: []config.Workspace{{Name: simWorkspace, Rate: l.rate, Burst: l.burst}},
		Services:   []config.Service{{Name: "search", Slots: l.slots, Connections: l.connections, ColdSlots: 1}},
	}
	for shard := range shards {
		c.Services[0].Shards = append(c.Services[0].Shards, config.Shard{Name: fmt.Sprintf("g%02d", shard)})
	}
	return c
}
