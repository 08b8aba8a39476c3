package daemon

import (
	"math"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/grant"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

const (
	maxHomeEntries  = 1 << 16
	maxRateEntries  = 1 << 16
	maxHomesOfGroup = 2
)

func groupToWire(g fleet.ShardID) *peer.GroupRef {
	return &peer.GroupRef{Service: g.Service, Group: g.Shard}
}

func (r *wireReader) group(field string, p *peer.GroupRef) fleet.ShardID {
	return fleet.ShardID{Service: r.name(field+".service", p.GetService()), Shard: r.name(field+".group", p.GetGroup())}
}

func homesToWire(homes []grant.ShardShare) []*peer.HomeShare {
	var out []*peer.HomeShare
	for _, h := range homes {
		out = append(out, &peer.HomeShare{Group: groupToWire(h.Shard), Home: uint32(h.OwnerIndex), Of: uint32(h.Owners), Half: h.Half})
	}
	return out
}

func (r *wireReader) homes(field string, list []*peer.HomeShare) []grant.ShardShare {
	r.count(field, len(list), maxHomeEntries)
	var out []grant.ShardShare
	for _, p := range list {
		r.check(p.GetOf() >= 1 && p.GetOf() <= maxHomesOfGroup && p.GetHome() < p.GetOf(), field, "names a home that a group does not have")
		if r.err != nil {
			return nil
		}
		out = append(out, grant.ShardShare{Shard: r.group(field, p.GetGroup()), OwnerIndex: int(p.GetHome()), Owners: int(p.GetOf()), Half: p.GetHalf()})
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
	r.count(field, len(list), maxRateEntries)
	var out []grant.RatePart
	for _, p := range list {
		r.check(p.GetParts() <= grant.WholeParts, field, "is more than the whole")
		if r.err != nil {
			return nil
		}
		out = append(out, grant.RatePart{Workspace: r.name(field, p.GetWorkspace()), Parts: int(p.GetParts())})
	}
	return out
}

func reportToWire(h *grant.Report) *peer.Report {
	p := &peer.Report{
		Seq: h.Seq, Base: h.Base, Full: h.Full, Homes: homesToWire(h.ShardShares), Rates: ratesToWire(h.Rates),
		Ranges: uint64(h.Ranges), Directory: h.DirectoryDigest,
	}
	for _, d := range h.Demand {
		p.Demand = append(p.Demand, &peer.WorkspaceDemand{Workspace: d.Workspace, RatePerSecond: float32(d.RatePerSecond)})
	}
	return p
}

func (r *wireReader) report(p *peer.Report) *grant.Report {
	h := &grant.Report{
		Seq: p.GetSeq(), Base: p.GetBase(), Full: p.GetFull(),
		ShardShares: r.homes("report.homes", p.GetHomes()), Rates: r.rates("report.rates", p.GetRates()),
		Ranges: grant.RangeSet(p.GetRanges()), DirectoryDigest: p.GetDirectory(),
	}
	r.count("report.demand", len(p.GetDemand()), maxRateEntries)
	for _, d := range p.GetDemand() {
		rate := float64(d.GetRatePerSecond())
		r.check(rate >= 0 && !math.IsInf(rate, 0), "report.demand", "is not a rate")
		if r.err != nil {
			return nil
		}
		h.Demand = append(h.Demand, grant.Demand{Workspace: r.name("report.demand", d.GetWorkspace()), RatePerSecond: rate})
	}
	return h
}

func grantsToWire(g *grant.Grants) *peer.Grants {
	p := &peer.Grants{
		Seq: g.Seq, Base: g.Base, Renew: g.Renew, Resync: g.Resync,
		Homes: homesToWire(g.ShardShares), Rates: ratesToWire(g.Rates), Ranges: uint64(g.Ranges),
	}
	for _, id := range g.DropShards {
		p.DropHomes = append(p.DropHomes, groupToWire(id))
	}
	if d := g.Directory; d != nil {
		p.Directory = &peer.DirectoryUpdate{Full: d.Full}
		for _, e := range d.Owners {
			p.Directory.Homes = append(p.Directory.Homes, &peer.HomeEntry{Group: groupToWire(e.Shard), Home: uint32(e.Index), Vm: string(e.VM)})
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
		ShardShares: r.homes("grants.homes", p.GetHomes()), Rates: r.rates("grants.rates", p.GetRates()),
		Ranges: grant.RangeSet(p.GetRanges()),
	}
	r.count("grants.drop_homes", len(p.GetDropHomes()), maxHomeEntries)
	if r.err != nil {
		return nil
	}
	for _, id := range p.GetDropHomes() {
		g.DropShards = append(g.DropShards, r.group("grants.drop_homes", id))
	}
	if p.GetDirectory() != nil {
		g.Directory = r.directory(p.GetDirectory())
	}
	return g
}

func (r *wireReader) directory(p *peer.DirectoryUpdate) *grant.DirectoryUpdate {
	r.count("directory.homes", len(p.GetHomes()), maxHomeEntries)
	r.count("directory.ranges", len(p.GetRanges()), maxHomeEntries)
	d := &grant.DirectoryUpdate{Full: p.GetFull()}
	for _, e := range p.GetHomes() {
		r.check(e.GetHome() < maxHomesOfGroup, "directory.homes", "names a home that a group does not have")
		if r.err != nil {
			return nil
		}
		entry := grant.OwnerEntry{VM: fleet.VMID(r.text("directory.homes", e.GetVm()))}
		entry.Shard, entry.Index = r.group("directory.homes", e.GetGroup()), int(e.GetHome())
		d.Owners = append(d.Owners, entry)
	}
	for _, e := range p.GetRanges() {
		r.check(e.GetRange() < fleet.RangeCount, "directory.ranges", "names a range that does not exist")
		if r.err != nil {
			return nil
		}
		d.Ranges = append(d.Ranges, grant.RangeEntry{Range: int(e.GetRange()), VM: fleet.VMID(r.text("directory.ranges", e.GetVm()))})
	}
	return d
}
