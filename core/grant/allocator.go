package grant

import (
	"slices"
	"strings"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/lease"
	"github.com/anvilfork/anvilfork/core/quota"
)

const (
	heartbeatTimeout  = 2 * time.Second        // a VM without a heartbeat for longer loses its assignments
	sweepInterval     = 100 * time.Millisecond // minimum time between two sweeps, which expire shares and reassign what is missing
	rebalanceInterval = time.Second
	maxSweepGap       = time.Second // a longer gap means that this VM was paused, not that the others stopped sending
)

// Allocator runs on the coordinator and decides which VM holds which share. A
// share that may be in use, because its holder has it or because a reply that
// grants it is in flight, stays reserved until the holder reports that it gave
// the share back or until the share has expired on every clock.
type Allocator struct {
	ownersPerShard  int
	maxVMs          int
	shards          []*shardState
	shardIndex      map[fleet.ShardID]int
	workspaces      []*workspaceState
	workspaceIndex  map[string]int
	ranges          [fleet.RangeCount]*member // VM to which each range is assigned
	members         map[fleet.VMID]*member
	live            []*member // VMs that may hold shares, sorted by id
	directory       directoryLog
	phase           phase
	leaderSince     time.Time // lease.Leadership.Since of the current leadership
	fullSince       time.Time // lease.Leadership.FullSince of the current leadership
	allReported     bool      // every VM that can be alive has reported during this leadership
	needsAssignment bool      // a shard or range may lack an assigned VM
	resigning       bool      // Input.Resigning of the latest input
	advertisedStale bool      // live VMs or workspaces changed since advertised was computed
	timeoutFrom     time.Time // heartbeat timeouts are counted from here at the earliest
	lastSweep       time.Time
	lastRebalance   time.Time
}

// workspaceState is the division of one workspace's rate.
type workspaceState struct {
	name       string
	removed    bool // no longer in the configuration, or not yet
	divisible  quota.Limit
	minParts   int     // smallest useful share: a burst of one request
	reserved   int     // sum of member.reserved over all members
	demand     float64 // sum of member.demand over the live members
	limits     *config.Workspace
	advertised []*member // VMs in the address list for callers; empty when all are listed
}

// member is a VM that reports to this coordinator.
type member struct {
	vm            fleet.VM
	hash          uint64
	lastSeen      time.Time
	live          bool
	lastSeq       uint64
	synced        bool      // base and the confirmed shares are what the VM reported during this leadership
	reportEpoch   time.Time // Allocator.fullSince at the latest full report
	base          uint64
	halfOnly      bool         // all shares that it may hold were granted or renewed by half a coordinator
	foreignShares bool         // reported shares of another coordinator while this one was already granting
	renewedAt     time.Time    // latest renewal, or full report
	grantedAt     time.Time    // latest reply that renewed shares
	shards        []shardShare // confirmed, sorted by shard
	assigned      []int        // shards of which this VM should be an owner, sorted
	rates         []int        // confirmed parts, by workspace
	reserved      []int        // maximum parts that it may be using, by workspace
	demand        []float64    // requests per second, by workspace
	ranges        RangeSet     // confirmed
	pending       []pending
}

// pending is a reply that the VM has not confirmed.
type pending struct {
	seq    uint64
	base   uint64
	sentAt time.Time // when the reply was sent
	half   bool
	shards []shardShare // a zero portion drops the share
	rates  []ratePart
	ranges RangeSet
}

// ratePart is a RatePart with the index of the workspace.
type ratePart struct {
	workspace int
	parts     int
}

// Input is a Report with what the coordinator knows about its heartbeat.
type Input struct {
	Leadership lease.Leadership
	VM         fleet.VM
	Report     Report
	// SentDuringLeadership: the heartbeat was sent after the leadership began
	// (lease.Candidate.SentDuringLeadership).
	SentDuringLeadership bool
	// ConfigCurrent: the VM has accepted the configuration of this coordinator or a
	// newer one. Other VMs get no renewal, so that a lowered limit is in force on
	// all VMs after ShareTTL at the latest.
	ConfigCurrent bool
	// Resigning: the coordinator resigns before another VM could receive a range
	// that is withdrawn now. Ranges stay where they are, because a successor
	// grants no range at first that no VM reports.
	Resigning bool
}

// NewAllocator returns an Allocator without configuration and members.
func NewAllocator() *Allocator {
	return &Allocator{
		shardIndex: make(map[fleet.ShardID]int), workspaceIndex: make(map[string]int),
		members: make(map[fleet.VMID]*member), directory: newDirectoryLog(),
	}
}

// AdoptDirectory starts from the directory of this VM's Holder, so that the other VMs
// need no full directory. It is called when a leadership begins.
func (a *Allocator) AdoptDirectory(d *Directory) {
	if d.Digest() != a.directory.current.Digest() {
		a.directory = newDirectoryLog()
		a.directory.current.Apply(d.fullUpdate())
	}
}

// SetConfig applies an accepted configuration. The shares follow in later replies.
func (a *Allocator) SetConfig(c *config.Config) {
	a.ownersPerShard, a.maxVMs = c.Fleet.OwnersPerShard, c.Fleet.MaxVMs
	a.setShards(c)
	a.setWorkspaces(c)
}

// Answer processes the report of a VM, which may be the coordinator itself, and
// returns the reply. Without leadership, and for a report that was overtaken or
// duplicated, the reply changes and renews nothing.
func (a *Allocator) Answer(now time.Time, in Input) Grants {
	a.sweep(now, in.Leadership)
	a.resigning = in.Resigning
	g := Grants{Seq: in.Report.Seq}
	if in.Leadership.Fraction == lease.None {
		return g
	}
	m := a.member(in.VM)
	if in.Report.Seq <= m.lastSeq {
		return g // overtaken or duplicated
	}
	a.recordReport(now, m, in)
	g.Directory = a.directory.update(in.Report.DirectoryDigest)
	if g.Resync = !m.synced; g.Resync || !in.ConfigCurrent {
		return g
	}
	return a.grant(now, m, g)
}

// member returns the member of a VM, and adds it when the VM is unknown.
func (a *Allocator) member(vm fleet.VM) *member {
	m, ok := a.members[vm.ID]
	if !ok {
		m = &member{
			hash: hashStrings(string(vm.ID)), halfOnly: true,
			rates: make([]int, len(a.workspaces)), reserved: make([]int, len(a.workspaces)), demand: make([]float64, len(a.workspaces)),
		}
		a.members[vm.ID] = m
	}
	m.vm = vm
	return m
}

// recordReport updates what is known of a VM: its shares, state and demand.
func (a *Allocator) recordReport(now time.Time, m *member, in Input) {
	m.lastSeq, m.lastSeen = in.Report.Seq, now
	a.reconcile(now, m, in)
	a.setLive(m, m.vm.State == fleet.Live)
	for _, d := range in.Report.Demand {
		if w, ok := a.workspaceIndex[d.Workspace]; ok && d.RatePerSecond >= 0 {
			if m.live {
				a.workspaces[w].demand += d.RatePerSecond - m.demand[w]
			}
			m.demand[w] = d.RatePerSecond
		}
	}
}

// grant decides the changes for one VM and reserves what the reply grants.
func (a *Allocator) grant(now time.Time, m *member, g Grants) Grants {
	p := pending{seq: g.Seq, base: m.base, sentAt: now, half: a.phase.half}
	p.shards = a.shardChanges(m)
	p.rates = a.rateChanges(m)
	p.ranges = a.nextRanges(m)
	for _, share := range p.shards {
		id := a.shards[share.shard].id
		if share.portion.owners == 0 {
			g.DropShards = append(g.DropShards, id)
			continue
		}
		a.shards[share.shard].addReservation(m, share.portion, 1)
		a.directory.setOwner(OwnerKey{Shard: id, Index: int(share.portion.index)}, m.vm.ID)
		g.ShardShares = append(g.ShardShares, share.portion.share(id))
	}
	for r := range fleet.RangeCount {
		if p.ranges.Has(r) {
			a.directory.setRange(r, m.vm.ID)
		}
	}
	m.pending = append(m.pending, p)
	for _, part := range p.rates {
		a.updateReserved(m, part.workspace)
		g.Rates = append(g.Rates, RatePart{Workspace: a.workspaces[part.workspace].name, Parts: part.parts})
	}
	m.renewedAt, m.grantedAt = now, now
	g.Base, g.Renew, g.Ranges = m.base, true, p.ranges
	return g
}

// setLive adds a VM to those that may hold shares, or removes it and its
// assignments.
func (a *Allocator) setLive(m *member, live bool) {
	if m.live == live {
		return
	}
	m.live, a.needsAssignment, a.advertisedStale = live, true, true
	at, _ := slices.BinarySearchFunc(a.live, m, func(x, y *member) int { return strings.Compare(string(x.vm.ID), string(y.vm.ID)) })
	sign := 1.0
	if live {
		a.live = slices.Insert(a.live, at, m)
	} else {
		a.live = slices.Delete(a.live, at, at+1)
		a.unassign(m)
		sign = -1
	}
	for w := range m.demand {
		a.workspaces[w].demand += sign * m.demand[w]
	}
}
