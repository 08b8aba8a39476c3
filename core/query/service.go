package query

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
)

const (
	versionsTTL    = 10 * time.Second // a group's index versions are asked for again when no reply confirmed them for so long
	versionsCheck  = time.Second      // time between two looks for versions that are out of date
	firstPenalty   = 500 * time.Millisecond
	maxTurns       = 64
	longestPenalty = 4 * time.Second // about the time until a dead VM leaves the view
)

// service is what this VM knows of one service. It follows the view lazily:
// service() brings it up to date.
type service struct {
	epoch       uint64
	config      *config.Service
	groups      []*group
	unavailable string // a dependency that has a group without a home
	latency     *latency
	budget      hedgeBudget
	common      uint64
	complete    bool // every group with a replica has common
	chosen      bool // common and complete are up to date
	checkAt     time.Time
	probedAt    time.Time // when all homes were asked for versions; zero after a change
}

// group is what this VM knows of one group, whatever query asked.
type group struct {
	id       fleet.ShardID
	service  *service
	paths    []*path
	known    bool     // a home reported versions lately
	versions []uint64 // that ready replicas have; none: no replica is alive
	knownAt  time.Time
}

// path is one home of one group, as this VM uses it.
type path struct {
	home        *home
	weight      int // slots per target that the home holds
	outstanding int
	sent        int // for taking turns; halved before it exceeds maxTurns
}

// home is what this VM knows of another VM, or itself, as a home.
type home struct {
	id          fleet.VMID
	gone        bool // left the view
	heardAt     time.Time
	failedUntil time.Time // asked second until then
	penalty     time.Duration
}

// service returns the service called name, nil when the text has none.
func (m *Machine) service(name string) *service {
	s, ok := m.services[name]
	if ok && s.epoch == m.epoch {
		return s
	}
	c, exists := m.view.Config.Service(name)
	if !exists {
		return nil
	}
	if !ok {
		s = &service{latency: newLatency(), budget: newHedgeBudget()}
		m.services[name] = s
	}
	m.refresh(s, c)
	return s
}

func (m *Machine) refresh(s *service, c *config.Service) {
	s.epoch = m.epoch
	if s.config != c {
		moved := s.config != nil && s.config.PartitionMap != c.PartitionMap
		s.config = c
		s.groups = make([]*group, len(c.Shards)) // running queries keep the old slice
		for i := range c.Shards {
			s.groups[i] = m.group(fleet.ShardID{Service: c.Name, Shard: c.Shards[i].Name}, s)
			s.groups[i].known = s.groups[i].known && !moved
		}
	}
	for _, g := range s.groups {
		m.setHomes(g, m.view.Owners[g.id], c.Slots)
	}
	s.chosen = false
	s.unavailable = m.missingDependency(c, map[string]bool{c.Name: true})
}

func (m *Machine) group(id fleet.ShardID, s *service) *group {
	g, ok := m.groups[id]
	if !ok {
		g = &group{id: id}
		m.groups[id] = g
	}
	g.service = s
	return g
}

// setHomes gives the group its homes and the part of each target's slots that
// each of them holds: the first home the larger part.
func (m *Machine) setHomes(g *group, ids []fleet.VMID, slots int) {
	if slices.EqualFunc(g.paths, ids, func(p *path, id fleet.VMID) bool { return p.home.id == id && !p.home.gone }) {
		for i, p := range g.paths {
			p.weight = share(slots, i, len(ids))
		}
		return
	}
	paths := make([]*path, len(ids))
	for i, id := range ids {
		at := slices.IndexFunc(g.paths, func(p *path) bool { return p.home.id == id && !p.home.gone })
		if at >= 0 {
			paths[i] = g.paths[at]
		} else {
			paths[i] = &path{home: m.home(id)}
		}
		paths[i].weight, paths[i].sent = share(slots, i, len(ids)), 0
	}
	g.paths = paths
}

// share is the part of slots that home i of n holds.
func share(slots, i, n int) int { return (slots + n - 1 - i) / n }

func (m *Machine) home(id fleet.VMID) *home {
	h, ok := m.homes[id]
	if !ok {
		h = &home{id: id}
		m.homes[id] = h
	}
	return h
}

// missingDependency returns a service that c needs, directly or not, and that
// has a group without a home.
func (m *Machine) missingDependency(c *config.Service, seen map[string]bool) string {
	for _, name := range c.DependsOn {
		if seen[name] {
			continue
		}
		seen[name] = true
		d, ok := m.view.Config.Service(name)
		if !ok {
			return name
		}
		for i := range d.Shards {
			if len(m.view.Owners[fleet.ShardID{Service: name, Shard: d.Shards[i].Name}]) == 0 {
				return name
			}
		}
		if missing := m.missingDependency(d, seen); missing != "" {
			return missing
		}
	}
	return ""
}

// prune forgets services and groups that the text no longer has.
func (m *Machine) prune(c *config.Config) {
	kept := make(map[fleet.ShardID]bool)
	services := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		services[c.Services[i].Name] = true
		for j := range c.Services[i].Shards {
			kept[fleet.ShardID{Service: c.Services[i].Name, Shard: c.Services[i].Shards[j].Name}] = true
		}
	}
	for id := range m.groups {
		if !kept[id] {
			delete(m.groups, id)
		}
	}
	for name := range m.services {
		if !services[name] {
			delete(m.services, name)
		}
	}
}

// dropHomes forgets VMs that left the view and reports whether there were any.
// Paths that running queries still hold keep their home.
func (m *Machine) dropHomes(v *fleet.View) bool {
	present := make(map[fleet.VMID]bool, len(v.VMs))
	for i := range v.VMs {
		present[v.VMs[i].ID] = true
	}
	dropped := false
	for id, h := range m.homes {
		if !present[id] {
			h.gone, dropped = true, true
			delete(m.homes, id)
		}
	}
	return dropped
}

// failed makes the home the second choice for a while, longer each time.
func (h *home) failed(now time.Time) {
	if now.Before(h.failedUntil) {
		return
	}
	h.penalty = min(max(2*h.penalty, firstPenalty), longestPenalty)
	h.failedUntil = now.Add(h.penalty)
}

func (m *Machine) heard(now time.Time, h *home) {
	h.heardAt, m.heardAt = now, now
	h.failedUntil, h.penalty = time.Time{}, 0
}

// choose returns the home to ask next, nil when there is none. Homes that
// failed lately and avoid come last. Between the others the one with fewer own
// sub-requests under way for each slot it holds is asked; equal ones take turns
// in proportion to their slots, so that entries with little load of their own
// use the slots of both homes.
func (g *group) choose(now time.Time, avoid *path) *path {
	var best *path
	for _, p := range g.paths {
		if best == nil || p.before(now, best, avoid) {
			best = p
		}
	}
	return best
}

func (p *path) before(now time.Time, o, avoid *path) bool {
	if a, b := p.rank(now, avoid), o.rank(now, avoid); a != b {
		return a < b
	}
	if a, b := p.outstanding*o.weight, o.outstanding*p.weight; a != b {
		return a < b
	}
	return p.sent*o.weight < o.sent*p.weight
}

// took counts a sub-request. The counts stay small, so that a home which was
// away does not get all work until it has caught up.
func (g *group) took(p *path) {
	p.outstanding++
	p.sent++
	if p.sent > maxTurns {
		for _, o := range g.paths {
			o.sent /= 2
		}
	}
}

func (p *path) rank(now time.Time, avoid *path) int {
	switch {
	case p == avoid:
		return 3
	case p.weight == 0:
		return 2
	case p.home.gone || now.Before(p.home.failedUntil):
		return 1
	}
	return 0
}

// other returns a usable home besides p, nil when there is none.
func (g *group) other(now time.Time, p *path) *path {
	if o := g.choose(now, p); o != nil && o != p && o.rank(now, nil) == 0 {
		return o
	}
	return nil
}

// instead returns a home to ask in place of p, which says nothing: also one that
// failed lately, nil when there is none.
func (g *group) instead(now time.Time, p *path) *path {
	if o := g.choose(now, p); o != nil && o != p && !o.home.gone && o.rank(now, nil) <= p.rank(now, nil) {
		return o
	}
	return nil
}
