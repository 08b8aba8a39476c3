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
	silenceLimit      = 2 * time.Second // a VM silent for longer loses its assignments
	sweepInterval     = 100 * time.Millisecond
	rebalanceInterval = time.Second
	pauseLimit        = time.Second // between two sweeps: this VM was paused, the others were not silent
)

// Allocator decides on the coordinator who holds what. A share that may still
// be in use, because its holder has it or because a reply with it is under way,
// is counted (reserved) until the holder reports that it is given back or until
// it has expired on every clock.
type Allocator struct {
	homesPerGroup int
	maxVMs        int
	groups        []*group
	groupOf       map[fleet.ShardID]int
	spaces        []*space
	spaceOf       map[string]int
	ranges        [fleet.RangeCount]*member // who should hold each range
	members       map[fleet.VMID]*member
	live          []*member // may hold shares, sorted by id
	log           directoryLog
	phase         phase
	since         time.Time // begin of the tenure
	full          time.Time // begin of the time as a whole coordinator
	settled       bool      // every VM that can be alive has reported to this tenure
	dirty         bool      // a home or range may be without a VM
	resigning     bool      // as in Input
	readvertise   bool      // the VMs or the workspaces changed since the advertised VMs were computed
	graceFrom     time.Time // VMs count as silent from here at the earliest
	sweptAt       time.Time
	rebalancedAt  time.Time
}

// space is a workspace.
type space struct {
	name       string
	gone       bool // not in the configuration
	rest       quota.Limit
	smallest   int     // least useful share, in parts
	reserved   int     // sum of the reserved parts of all members
	demand     float64 // sum of the demand at all live members
	limits     *config.Workspace
	advertised []*member // VMs that the address list names to callers; empty when it names all
}

// member is a VM that reports to this coordinator.
type member struct {
	vm        fleet.VM
	hash      uint64
	heardAt   time.Time
	live      bool
	lastSeq   uint64
	synced    bool      // base and confirmed are what the VM holds; reported within this tenure
	listedAt  time.Time // begin of the time as a whole coordinator in which the VM reported in full
	base      uint64
	half      bool // all that it may hold was granted or renewed by half of the fleet
	joined    bool // came with shares of another coordinator while this one was at work
	renewed   time.Time
	grantedAt time.Time // last reply that renewed anything
	homes     []home    // confirmed, sorted by group
	wants     []int     // groups in which this VM should be a home, sorted
	rates     []int     // confirmed parts, by workspace
	reserved  []int     // greatest parts that it may use, by workspace
	demand    []float64
	ranges    RangeSet // confirmed
	pending   []pending
}

// pending is what a reply granted and the VM has not confirmed.
type pending struct {
	seq    uint64
	base   uint64
	at     time.Time
	half   bool
	homes  []home // kind zero drops
	rates  []ratePart
	ranges RangeSet
}

type ratePart struct {
	space int
	parts int
}

// Input is what the coordinator knows of the heartbeat that carries a Report.
type Input struct {
	Leadership lease.Leadership
	VM         fleet.VM
	Report     Report
	// Fresh: the heartbeat was sent after the tenure began (lease.Candidate.Fresh).
	Fresh bool
	// ConfigCurrent: the VM has accepted the configuration of this coordinator or a
	// newer one. Other VMs get no renewal, so that a lowered limit holds on all
	// VMs after ShareTTL at the latest.
	ConfigCurrent bool
	// Resigning: the coordinator resigns before another VM could take a range
	// that is taken from a VM now. Its successor would have to wait with it.
	Resigning bool
}

// NewAllocator returns an Allocator that knows nothing.
func NewAllocator() *Allocator {
	return &Allocator{
		groupOf: make(map[fleet.ShardID]int), spaceOf: make(map[string]int),
		members: make(map[fleet.VMID]*member), log: newDirectoryLog(),
	}
}

// Adopt starts from the directory that this VM has as a holder, so that the
// other VMs need not fetch theirs anew. It is called when a tenure begins.
func (a *Allocator) Adopt(d *Directory) {
	if d.Digest() != a.log.dir.Digest() {
		a.log = newDirectoryLog()
		a.log.dir.Apply(d.full())
	}
}

// SetConfig takes the accepted configuration.
func (a *Allocator) SetConfig(c *config.Config) {
	a.homesPerGroup, a.maxVMs = c.Fleet.OwnersPerShard, c.Fleet.MaxVMs
	a.setGroups(c)
	a.setSpaces(c)
}

// Answer takes the report of a VM (this one included) and returns the reply.
func (a *Allocator) Answer(now time.Time, in Input) Grants {
	a.sweep(now, in.Leadership)
	a.resigning = in.Resigning
	g := Grants{Seq: in.Report.Seq}
	if in.Leadership.Fraction == lease.None {
		return g
	}
	m := a.member(in.VM)
	if in.Report.Seq <= m.lastSeq {
		return g // overtaken or doubled
	}
	a.hear(now, m, in)
	g.Directory = a.log.update(in.Report.DirectoryDigest)
	if g.Resync = !m.synced; g.Resync || !in.ConfigCurrent {
		return g
	}
	return a.grant(now, m, g)
}

func (a *Allocator) member(vm fleet.VM) *member {
	m, ok := a.members[vm.ID]
	if !ok {
		m = &member{
			hash: hashStrings(string(vm.ID)), half: true,
			rates: make([]int, len(a.spaces)), reserved: make([]int, len(a.spaces)), demand: make([]float64, len(a.spaces)),
		}
		a.members[vm.ID] = m
	}
	m.vm = vm
	return m
}

func (a *Allocator) hear(now time.Time, m *member, in Input) {
	m.lastSeq, m.heardAt = in.Report.Seq, now
	a.learn(now, m, in)
	a.setLive(m, m.vm.State == fleet.Live)
	for _, d := range in.Report.Demand {
		if w, ok := a.spaceOf[d.Workspace]; ok && d.RatePerSecond >= 0 {
			if m.live {
				a.spaces[w].demand += d.RatePerSecond - m.demand[w]
			}
			m.demand[w] = d.RatePerSecond
		}
	}
}

// grant decides the changes for one VM and notes what may be in use from now on.
func (a *Allocator) grant(now time.Time, m *member, g Grants) Grants {
	p := pending{seq: g.Seq, base: m.base, at: now, half: a.phase.half}
	p.homes = a.homeChanges(m)
	p.rates = a.rateChanges(m)
	p.ranges = a.rangesFor(m)
	for _, h := range p.homes {
		id := a.groups[h.group].id
		if h.kind.of == 0 {
			g.DropShards = append(g.DropShards, id)
			continue
		}
		a.groups[h.group].claim(m, h.kind, 1)
		a.log.setHome(OwnerKey{Shard: id, Index: int(h.kind.home)}, m.vm.ID)
		g.ShardShares = append(g.ShardShares, h.kind.share(id))
	}
	for r := range fleet.RangeCount {
		if p.ranges.Has(r) {
			a.log.setRange(r, m.vm.ID)
		}
	}
	m.pending = append(m.pending, p)
	for _, c := range p.rates {
		a.recount(m, c.space)
		g.Rates = append(g.Rates, RatePart{Workspace: a.spaces[c.space].name, Parts: c.parts})
	}
	m.renewed, m.grantedAt = now, now
	g.Base, g.Renew, g.Ranges = m.base, true, p.ranges
	return g
}

// setLive moves a VM in or out of those that shares are assigned to.
func (a *Allocator) setLive(m *member, live bool) {
	if m.live == live {
		return
	}
	m.live, a.dirty, a.readvertise = live, true, true
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
		a.spaces[w].demand += sign * m.demand[w]
	}
}
