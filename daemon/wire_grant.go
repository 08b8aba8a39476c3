package daemon

import (
	"math"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/grant"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

// Limits of the lists in one report or grant.
const (
	maxShardEntries   = 1 << 16 // of each list of shards, owners or request-id ranges
	maxRateEntries    = 1 << 16
	maxOwnersPerShard = 2
)

func shardToWire(id fleet.ShardID) *peer.GroupRef {
	return &peer.GroupRef{Service: id.Service, Group: id.Shard}
}

func (r *wireReader) shard(field string, p *peer.GroupRef) fleet.ShardID {
	return fleet.ShardID{Service: r.nonEmptyString(field+".service", p.GetService()), Shard: r.nonEmptyString(field+".group", p.GetGroup())}
}

func shardSharesToWire(shares []grant.ShardShare) []*peer.HomeShare {
	var out []*peer.HomeShare
	for _, s := range shares {
		out = append(out, &peer.HomeShare{Group: shardToWire(s.Shard), Home: uint32(s.OwnerIndex), Of: uint32(s.OwnerCount), Half: s.Halved})
	}
	return out
}

func (r *wireReader) shardShares(field string, list []*peer.HomeShare) []grant.ShardShare {
	r.checkCount(field, len(list), maxShardEntries)
	var out []grant.ShardShare
	for _, p := range list {
		r.check(p.GetOf() >= 1 && p.GetOf() <= maxOwnersPerShard && p.GetHome() < p.GetOf(), field, "names an owner index that the shard does not have")
		if r.err != nil {
			return nil
		}
		out = append(out, grant.ShardShare{Shard: r.shard(field, p.GetGroup()), OwnerIndex: int(p.GetHome()), OwnerCount: int(p.GetOf()), Halved: p.GetHalf()})
	}
	return out
}

func ratesToWire(rates []grant.RatePart) []*peer.RatePart {
	var out []*peer.RatePart
	for _, p := range rates {
		out = append(out, &peer.RatePart{Workspace: p.Workspace, Parts: uint32(p.Parts)})
	}
	return out
}

func (r *wireReader) rates(field string, list []*peer.RatePart) []grant.RatePart {
	r.checkCount(field, len(list), maxRateEntries)
	var out []grant.RatePart
	for _, p := range list {
		r.check(p.GetParts() <= grant.WholeParts, field, "is more than the whole limit")
		if r.err != nil {
			return nil
		}
		out = append(out, grant.RatePart{Workspace: r.nonEmptyString(field, p.GetWorkspace()), Parts: int(p.GetParts())})
	}
	return out
}

func reportToWire(r *grant.Report) *peer.Report {
	p := &peer.Report{
		Seq: r.Seq, Base: r.Base, Full: r.Full, Homes: shardSharesToWire(r.ShardShares), Rates: ratesToWire(r.Rates),
		Ranges: uint64(r.Ranges), Directory: r.DirectoryDigest,
	}
	for _, d := range r.Demand {
		p.Demand = append(p.Demand, &peer.WorkspaceDemand{Workspace: d.Workspace, RatePerSecond: float32(d.RatePerSecond)})
	}
	return p
}

func (r *wireReader) report(p *peer.Report) *grant.Report {
	report := &grant.Report{
		Seq: p.GetSeq(), Base: p.GetBase(), Full: p.GetFull(),
		ShardShares: r.shardShares("report.homes", p.GetHomes()), Rates: r.rates("report.rates", p.GetRates()),
		Ranges: grant.RangeSet(p.GetRanges()), DirectoryDigest: p.GetDirectory(),
	}
	r.checkCount("report.demand", len(p.GetDemand()), maxRateEntries)
	for _, d := range p.GetDemand() {
		rate := float64(d.GetRatePerSecond())
		r.check(rate >= 0 && !math.IsInf(rate, 0), "report.demand", "is not a rate")
		if r.err != nil {
			return nil
		}
		report.Demand = append(report.Demand, grant.Demand{Workspace: r.nonEmptyString("report.demand", d.GetWorkspace()), RatePerSecond: rate})
	}
	return report
}

func grantsToWire(g *grant.Grants) *peer.Grants {
	p := &peer.Grants{
		Seq: g.Seq, Base: g.Base, Renew: g.Renew, Resync: g.Resync,
		Homes: shardSharesToWire(g.ShardShares), Rates: ratesToWire(g.Rates), Ranges: uint64(g.Ranges),
	}
	for _, id := range g.DropShards {
		p.DropHomes = append(p.DropHomes, shardToWire(id))
	}
	if d := g.Directory; d != nil {
		p.Directory = &peer.DirectoryUpdate{Full: d.Full}
		for _, e := range d.Owners {
			p.Directory.Homes = append(p.Directory.Homes, &peer.HomeEntry{Group: shardToWire(e.Shard), Home: uint32(e.Index), Vm: string(e.VM)})
		}
		for _, e := range d.Ranges {
			p.Directory.Ranges = append(p.Directory.Ranges, &peer.RangeEntry{Range: uint32(e.Range), Vm: string(e.VM)})
		}
	}
	return p
}

func (r *wireReader) grants(p *peer.Grants) *grant.Grants {
	g := &grant.Grants{
		Seq: p.GetSeq(), Base: p.GetBase(), Renew: p.GetRenew(), Resync: p.GetResync(),
		ShardShares: r.shardShares("grants.homes", p.GetHomes()), Rates: r.rates("grants.rates", p.GetRates()),
		Ranges: grant.RangeSet(p.GetRanges()),
	}
	r.checkCount("grants.drop_homes", len(p.GetDropHomes()), maxShardEntries)
	if r.err != nil {
		return nil
	}
	for _, id := range p.GetDropHomes() {
		g.DropShards = append(g.DropShards, r.shard("grants.drop_homes", id))
	}
	if p.GetDirectory() != nil {
		g.Directory = r.directory(p.GetDirectory())
	}
	return g
}

func (r *wireReader) directory(p *peer.DirectoryUpdate) *grant.DirectoryUpdate {
	r.checkCount("directory.homes", len(p.GetHomes()), maxShardEntries)
	r.checkCount("directory.ranges", len(p.GetRanges()), maxShardEntries)
	d := &grant.DirectoryUpdate{Full: p.GetFull()}
	for _, e := range p.GetHomes() {
		r.check(e.GetHome() < maxOwnersPerShard, "directory.homes", "names an owner index that the shard does not have")
		if r.err != nil {
			return nil
		}
		entry := grant.OwnerEntry{VM: fleet.VMID(r.boundedString("directory.homes", e.GetVm()))}
		entry.Shard, entry.Index = r.shard("directory.homes", e.GetGroup()), int(e.GetHome())
		d.Owners = append(d.Owners, entry)
	}
	for _, e := range p.GetRanges() {
		r.check(e.GetRange() < fleet.RangeCount, "directory.ranges", "names a range that does not exist")
		if r.err != nil {
			return nil
		}
		d.Ranges = append(d.Ranges, grant.RangeEntry{Range: int(e.GetRange()), VM: fleet.VMID(r.boundedString("directory.ranges", e.GetVm()))})
	}
	return d
}
