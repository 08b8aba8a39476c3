package grant

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/quota"
)

// Holder keeps the shares of one VM.
//
// A share that was replaced by a smaller one stays in the reports until the
// tasks of this VM have applied the smaller one (MarkApplied), so that the
// coordinator grants to others only what is no longer in use.
type Holder struct {
	seq         uint64
	acceptedSeq uint64               // replies to reports up to this one are ignored
	sentAt      map[uint64]time.Time // sending times of unanswered reports
	generation  uint64
	base        *shareSet                   // version that all tasks have applied; tasks may use a newer one
	unapplied   []*shareSet                 // accepted after base, oldest first
	rangeSince  [fleet.RangeCount]time.Time // begin of holding; stale for ranges not held
	demand      demandReporter
	directory   *Directory
	resync      bool // the next report is to be full
	leaving     bool // Leave was called
}

// shareSet is one version of the shares of a VM. It is immutable once it is in use.
type shareSet struct {
	version    uint64 // Seq of the accepted Grants, or Seq-1 of a full report; 0 for no shares
	generation uint64 // count of local changes
	expires    time.Time
	shards     map[fleet.ShardID]ShardShare
	rates      map[string]int // parts, by workspace
	ranges     RangeSet
}

// NewHolder returns a Holder without shares.
func NewHolder() *Holder {
	return &Holder{
		sentAt: make(map[uint64]time.Time), base: &shareSet{},
		demand: newDemandReporter(), directory: NewDirectory(),
	}
}

// SetDemand sets the rates at which callers currently send requests to this VM,
// by workspace. The Holder keeps the map.
func (h *Holder) SetDemand(ratePerSecond map[string]float64) { h.demand.set(ratePerSecond) }

// Leave gives back all shard and rate shares for good. They are reported as given
// back once the tasks have applied the generation that is current after the
// call. Request-id ranges are kept until the coordinator withdraws them: a newly
// elected coordinator may grant nothing for ShareTTL, and a range that was given
// back to it would have no holder for so long.
func (h *Holder) Leave() {
	if h.leaving {
		return
	}
	h.leaving, h.resync = true, true
	h.acceptedSeq = h.seq
	held := h.current()
	h.addVersion(&shareSet{version: held.version, expires: held.expires, ranges: held.ranges})
}

// Report returns the report for a heartbeat that is sent to the coordinator at now.
func (h *Holder) Report(now time.Time) Report {
	h.expire(now)
	full := h.resync && len(h.unapplied) == 0
	if full {
		h.seq++
		renumbered := *h.base
		renumbered.version = h.seq
		h.base = &renumbered
		h.acceptedSeq = h.seq // a reply to an earlier report would change what this one states
		h.resync = false
		h.demand.reset()
	}
	h.seq++
	h.sentAt[h.seq] = now
	r := Report{Seq: h.seq, Base: h.base.version, Full: full, DirectoryDigest: h.directory.Digest()}
	if full {
		r.ShardShares, r.Rates, r.Ranges = h.base.list()
	}
	r.Demand = h.demand.nextDemands()
	return r
}

// Accept processes a reply received at now and reports whether the shares
// changed or were renewed. A reply that is late, duplicated, overtaken or based
// on another version changes no share.
func (h *Holder) Accept(now time.Time, g Grants) bool {
	sent, ok := h.sentAt[g.Seq]
	if !ok {
		return false
	}
	delete(h.sentAt, g.Seq)
	if g.Directory != nil {
		h.directory.Apply(g.Directory)
	}
	if g.Resync && g.Seq > h.acceptedSeq {
		h.resync = true
	}
	// The TTL counts from the sending of the report, before the coordinator's
	// reply, so that a late reply never extends a share.
	expires := sent.Add(ShareTTL)
	if !g.Renew || h.hasLeft() || g.Seq <= h.acceptedSeq || g.Base != h.base.version || !now.Before(expires) {
		return false
	}
	h.acceptedSeq = g.Seq
	next := h.base.withChanges(g)
	if h.leaving {
		next = &shareSet{ranges: g.Ranges & h.current().ranges}
	}
	next.version, next.expires = g.Seq, expires
	h.startRanges(now, next)
	h.addVersion(next)
	return true
}

// NeedsResync reports whether the next heartbeat to the coordinator should be
// sent at once, because a newly elected coordinator asked for a full report.
// Votes expire 3 s after the old coordinator's last reply and shares 5 s after
// it, so that waiting for the next two heartbeats would let most shares expire.
func (h *Holder) NeedsResync() bool { return h.resync && len(h.unapplied) == 0 }

// Generation returns the number of the shares that ShardShares, RateShares and
// RangeShares return.
func (h *Holder) Generation() uint64 { return h.generation }

// hasLeft reports whether this VM is leaving and has no share to renew.
func (h *Holder) hasLeft() bool { return h.leaving && h.current().ranges == 0 }

// MarkApplied records that every task that uses shares has applied those of a
// generation and has no more requests at the targets of a shard given back. It
// reports whether a share was given back by this. Unknown generations and those
// applied before are ignored.
func (h *Holder) MarkApplied(generation uint64) bool {
	for i, s := range h.unapplied {
		if s.generation == generation {
			old := h.base
			h.base, h.unapplied = s, slices.Clone(h.unapplied[i+1:])
			return len(s.shards) < len(old.shards) || len(s.rates) < len(old.rates) || old.ranges&^s.ranges != 0
		}
	}
	return false
}

// Directory returns the VM's copy of the fleet's directory.
func (h *Holder) Directory() *Directory { return h.directory }

// ShardShares returns the shard shares held at now, scaled to the configuration c.
func (h *Holder) ShardShares(now time.Time, c *config.Config) []fleet.ShardShare {
	s := h.current()
	if !now.Before(s.expires) {
		return nil
	}
	var out []fleet.ShardShare
	for i := range c.Services {
		service := &c.Services[i]
		for j := range service.Shards {
			id := fleet.ShardID{Service: service.Name, Shard: service.Shards[j].Name}
			if held, ok := s.shards[id]; ok {
				share := fleet.ShardShare{Shard: id, OwnerIndex: held.OwnerIndex, OwnerCount: held.OwnerCount, Halved: held.Halved, Expires: s.expires}
				share.Slots, share.ColdSlots, share.Connections = share.PartOf(service.Slots), share.PartOf(service.ColdSlots), share.PartOf(service.Connections)
				out = append(out, share)
			}
		}
	}
	return out
}

// RateShares returns the rate shares held at now, scaled to the configuration c.
func (h *Holder) RateShares(now time.Time, c *config.Config) []fleet.RateShare {
	s := h.current()
	if !now.Before(s.expires) {
		return nil
	}
	var out []fleet.RateShare
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		if parts, ok := s.rates[w.Name]; ok {
			l := quota.Divide(w, &c.Fleet).Divisible.Scale(float64(parts) / WholeParts)
			out = append(out, fleet.RateShare{Workspace: w.Name, RatePerSecond: l.RatePerSecond, Burst: l.Burst, Expires: s.expires})
		}
	}
	return out
}

// RangeShares returns the request-id ranges held at now.
func (h *Holder) RangeShares(now time.Time) []fleet.RangeShare {
	s := h.current()
	if !now.Before(s.expires) {
		return nil
	}
	var out []fleet.RangeShare
	for r := range fleet.RangeCount {
		if s.ranges.Has(r) {
			out = append(out, fleet.RangeShare{Range: r, Since: h.rangeSince[r], Expires: s.expires})
		}
	}
	return out
}

// Expires returns when the current shares expire, zero when none were granted.
func (h *Holder) Expires() time.Time { return h.current().expires }

// current returns the newest shares, which tasks may not have applied yet.
func (h *Holder) current() *shareSet {
	if n := len(h.unapplied); n > 0 {
		return h.unapplied[n-1]
	}
	return h.base
}

// addVersion makes s the current shares, of the next generation.
func (h *Holder) addVersion(s *shareSet) {
	h.generation++
	s.generation = h.generation
	h.unapplied = append(h.unapplied, s)
}

// expire drops shares that expired without a renewal, and reports whose reply
// would come too late to renew any.
func (h *Holder) expire(now time.Time) {
	for seq, at := range h.sentAt {
		if now.Sub(at) >= ShareTTL {
			delete(h.sentAt, seq)
		}
	}
	for len(h.unapplied) > 0 && !now.Before(h.base.expires) {
		h.base, h.unapplied = h.unapplied[0], h.unapplied[1:]
	}
	if h.base.version != 0 && !now.Before(h.base.expires) && !h.base.empty() {
		h.base = &shareSet{}
	}
}

// startRanges records now for each range that is new in next. A range that
// expired and was granted again may have had another holder in between.
func (h *Holder) startRanges(now time.Time, next *shareSet) {
	held := h.current()
	for r := range fleet.RangeCount {
		if next.ranges.Has(r) && (!held.ranges.Has(r) || !now.Before(held.expires)) {
			h.rangeSince[r] = now
		}
	}
}

func (s *shareSet) empty() bool { return len(s.shards) == 0 && len(s.rates) == 0 && s.ranges == 0 }

// withChanges returns a copy with the changes of g.
func (s *shareSet) withChanges(g Grants) *shareSet {
	next := &shareSet{shards: s.shards, rates: s.rates, ranges: g.Ranges}
	if len(g.ShardShares)+len(g.DropShards) > 0 {
		next.shards = maps.Clone(s.shards)
		if next.shards == nil {
			next.shards = make(map[fleet.ShardID]ShardShare)
		}
		for _, id := range g.DropShards {
			delete(next.shards, id)
		}
		for _, share := range g.ShardShares {
			next.shards[share.Shard] = share
		}
	}
	if len(g.Rates) > 0 {
		next.rates = maps.Clone(s.rates)
		if next.rates == nil {
			next.rates = make(map[string]int)
		}
		for _, p := range g.Rates {
			if p.Parts > 0 {
				next.rates[p.Workspace] = p.Parts
			} else {
				delete(next.rates, p.Workspace)
			}
		}
	}
	return next
}

// list returns the shares for a full report, sorted.
func (s *shareSet) list() ([]ShardShare, []RatePart, RangeSet) {
	shards := make([]ShardShare, 0, len(s.shards))
	for _, share := range s.shards {
		shards = append(shards, share)
	}
	slices.SortFunc(shards, func(a, b ShardShare) int { return compareShards(a.Shard, b.Shard) })
	rates := make([]RatePart, 0, len(s.rates))
	for name, parts := range s.rates {
		rates = append(rates, RatePart{Workspace: name, Parts: parts})
	}
	slices.SortFunc(rates, func(a, b RatePart) int { return strings.Compare(a.Workspace, b.Workspace) })
	return shards, rates, s.ranges
}

func compareShards(a, b fleet.ShardID) int {
	if c := strings.Compare(a.Service, b.Service); c != 0 {
		return c
	}
	return strings.Compare(a.Shard, b.Shard)
}
