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
// tasks of this VM have taken the smaller one (Applied), so that the
// coordinator gives away only what nobody uses any more.
type Holder struct {
	seq        uint64
	accepted   uint64               // newest report whose reply was taken, or before which replies are refused
	sent       map[uint64]time.Time // reports without a reply
	generation uint64
	base       *shares   // what all tasks use, or something newer
	newer      []*shares // accepted after base, oldest first
	since      [fleet.RangeCount]time.Time
	demand     demandLog
	directory  *Directory
	resync     bool
	leaving    bool
}

// shares is one version of what a VM holds. It is not changed once it is in use.
type shares struct {
	version    uint64
	generation uint64
	expires    time.Time
	homes      map[fleet.ShardID]ShardShare
	rates      map[string]int
	ranges     RangeSet
}

// NewHolder returns a Holder without shares.
func NewHolder() *Holder {
	return &Holder{
		sent: make(map[uint64]time.Time), base: &shares{},
		demand: newDemandLog(), directory: NewDirectory(),
	}
}

// SetDemand takes the rates at which callers now send requests to this VM.
func (h *Holder) SetDemand(ratePerSecond map[string]float64) { h.demand.set(ratePerSecond) }

// Leave gives back all homes and rates for good. They are reported as given
// back once the tasks have applied the generation that is current after the
// call. Request-id ranges are kept until the coordinator takes them: a new one
// may hand out nothing for ShareTTL, and a range that was given back to it
// would have no holder for so long.
func (h *Holder) Leave() {
	if h.leaving {
		return
	}
	h.leaving, h.resync = true, true
	h.accepted = h.seq
	held := h.current()
	h.push(&shares{version: held.version, expires: held.expires, ranges: held.ranges})
}

// Report returns what a heartbeat sent to the coordinator at now carries.
func (h *Holder) Report(now time.Time) Report {
	h.expire(now)
	full := h.resync && len(h.newer) == 0
	if full {
		h.seq++
		renamed := *h.base
		renamed.version = h.seq
		h.base = &renamed
		h.accepted = h.seq // replies to earlier reports would change what this one states
		h.resync = false
		h.demand.forget()
	}
	h.seq++
	h.sent[h.seq] = now
	r := Report{Seq: h.seq, Base: h.base.version, Full: full, DirectoryDigest: h.directory.Digest()}
	if full {
		r.ShardShares, r.Rates, r.Ranges = h.base.list()
	}
	r.Demand = h.demand.changes()
	return r
}

// Accept takes a reply received at now and reports whether the shares changed
// or were renewed.
func (h *Holder) Accept(now time.Time, g Grants) bool {
	sent, ok := h.sent[g.Seq]
	if !ok {
		return false
	}
	delete(h.sent, g.Seq)
	if g.Directory != nil {
		h.directory.Apply(g.Directory)
	}
	if g.Resync && g.Seq > h.accepted {
		h.resync = true
	}
	// The term counts from the sending of the report, before the coordinator's
	// reply, so that a late reply never prolongs a share.
	expires := sent.Add(ShareTTL)
	if !g.Renew || h.left() || g.Seq <= h.accepted || g.Base != h.base.version || !now.Before(expires) {
		return false
	}
	h.accepted = g.Seq
	next := h.base.changed(g)
	if h.leaving {
		next = &shares{ranges: g.Ranges & h.current().ranges}
	}
	next.version, next.expires = g.Seq, expires
	h.startTenures(now, next)
	h.push(next)
	return true
}

// NeedsResync reports whether the next heartbeat to the coordinator should be sent at
// once: a coordinator that has just been elected asked for all shares. Votes
// expire 3 s after the old coordinator's last reply and shares 5 s after it, so
// that waiting for the next two heartbeats would let most shares expire.
func (h *Holder) NeedsResync() bool { return h.resync && len(h.newer) == 0 }

// Generation numbers the shares that ShardShares, RateShares and RangeShares return.
func (h *Holder) Generation() uint64 { return h.generation }

// left reports whether this VM leaves and has no share to renew.
func (h *Holder) left() bool { return h.leaving && h.current().ranges == 0 }

// Applied tells that every task that uses shares has taken the ones of a
// generation and, for a group given back, has no request at its targets any
// more. It reports whether something was given back by that.
func (h *Holder) Applied(generation uint64) bool {
	for i, s := range h.newer {
		if s.generation == generation {
			old := h.base
			h.base, h.newer = s, slices.Clone(h.newer[i+1:])
			return len(s.homes) < len(old.homes) || len(s.rates) < len(old.rates) || old.ranges&^s.ranges != 0
		}
	}
	return false
}

// Directory returns who holds the homes and ranges of the fleet.
func (h *Holder) Directory() *Directory { return h.directory }

// ShardShares returns the group shares held under the configuration c.
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
			if home, ok := s.homes[id]; ok {
				share := fleet.ShardShare{Shard: id, OwnerIndex: home.OwnerIndex, Owners: home.Owners, Half: home.Half, Expires: s.expires}
				share.Slots, share.ColdSlots, share.Connections = share.Scale(service.Slots), share.Scale(service.ColdSlots), share.Scale(service.Connections)
				out = append(out, share)
			}
		}
	}
	return out
}

// RateShares returns the rate shares held under the configuration c.
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

// RangeShares returns the request-id ranges held.
func (h *Holder) RangeShares(now time.Time) []fleet.RangeShare {
	s := h.current()
	if !now.Before(s.expires) {
		return nil
	}
	var out []fleet.RangeShare
	for r := range fleet.RangeCount {
		if s.ranges.Has(r) {
			out = append(out, fleet.RangeShare{Range: r, Since: h.since[r], Expires: s.expires})
		}
	}
	return out
}

// Expires returns when the shares held end, zero when none are held.
func (h *Holder) Expires() time.Time { return h.current().expires }

func (h *Holder) current() *shares {
	if n := len(h.newer); n > 0 {
		return h.newer[n-1]
	}
	return h.base
}

func (h *Holder) push(s *shares) {
	h.generation++
	s.generation = h.generation
	h.newer = append(h.newer, s)
}

// expire forgets shares that ended without a renewal, and reports whose reply
// could bring nothing any more.
func (h *Holder) expire(now time.Time) {
	for seq, at := range h.sent {
		if now.Sub(at) >= ShareTTL {
			delete(h.sent, seq)
		}
	}
	for len(h.newer) > 0 && !now.Before(h.base.expires) {
		h.base, h.newer = h.newer[0], h.newer[1:]
	}
	if h.base.version != 0 && !now.Before(h.base.expires) && !h.base.empty() {
		h.base = &shares{}
	}
}

// startTenures notes the moment at which a range was taken. A range that
// expired and came back may have had another holder in between.
func (h *Holder) startTenures(now time.Time, next *shares) {
	held := h.current()
	for r := range fleet.RangeCount {
		if next.ranges.Has(r) && (!held.ranges.Has(r) || !now.Before(held.expires)) {
			h.since[r] = now
		}
	}
}

func (s *shares) empty() bool { return len(s.homes) == 0 && len(s.rates) == 0 && s.ranges == 0 }

// changed returns a copy with the changes of g.
func (s *shares) changed(g Grants) *shares {
	next := &shares{homes: s.homes, rates: s.rates, ranges: g.Ranges}
	if len(g.ShardShares)+len(g.DropShards) > 0 {
		next.homes = maps.Clone(s.homes)
		if next.homes == nil {
			next.homes = make(map[fleet.ShardID]ShardShare)
		}
		for _, id := range g.DropShards {
			delete(next.homes, id)
		}
		for _, home := range g.ShardShares {
			next.homes[home.Shard] = home
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

func (s *shares) list() ([]ShardShare, []RatePart, RangeSet) {
	homes := make([]ShardShare, 0, len(s.homes))
	for _, home := range s.homes {
		homes = append(homes, home)
	}
	slices.SortFunc(homes, func(a, b ShardShare) int { return compareGroups(a.Shard, b.Shard) })
	rates := make([]RatePart, 0, len(s.rates))
	for name, parts := range s.rates {
		rates = append(rates, RatePart{Workspace: name, Parts: parts})
	}
	slices.SortFunc(rates, func(a, b RatePart) int { return strings.Compare(a.Workspace, b.Workspace) })
	return homes, rates, s.ranges
}

func compareGroups(a, b fleet.ShardID) int {
	if c := strings.Compare(a.Service, b.Service); c != 0 {
		return c
	}
	return strings.Compare(a.Shard, b.Shard)
}
