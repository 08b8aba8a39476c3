package grant

import (
	"slices"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
)

const maxHomes = 2

// group is a group of targets.
type group struct {
	id     fleet.ShardID
	hash   uint64
	gone   bool // not in the configuration
	wants  [maxHomes]*member
	claims []claim
}

// claim is a home that a VM may be using. A confirmed share and every pending
// reply that grants it count once.
type claim struct {
	m     *member
	kind  kind
	count int
}

// kind is a ShardShare without its group; of is 0 when there is none.
type kind struct {
	home uint8
	of   uint8
	half bool
}

// home is a share of one group.
type home struct {
	group int
	kind  kind
}

func kindOf(h ShardShare) kind {
	return kind{home: uint8(min(max(h.OwnerIndex, 0), maxHomes-1)), of: uint8(min(max(h.Owners, 1), maxHomes)), half: h.Half}
}

func (k kind) share(id fleet.ShardID) ShardShare {
	return ShardShare{Shard: id, OwnerIndex: int(k.home), Owners: int(k.of), Half: k.half}
}

// overlaps reports whether two VMs cannot hold both kinds. A home that has the
// group for itself uses the part of every home.
func (k kind) overlaps(other kind) bool {
	return k.of < maxHomes || other.of < maxHomes || k.home == other.home
}

func (g *group) claim(m *member, k kind, count int) {
	for i := range g.claims {
		c := &g.claims[i]
		if c.m == m && c.kind == k {
			if c.count += count; c.count == 0 {
				g.claims = slices.Delete(g.claims, i, i+1)
			}
			return
		}
	}
	g.claims = append(g.claims, claim{m: m, kind: k, count: count})
}

func (g *group) claimed(m *member) bool {
	return slices.ContainsFunc(g.claims, func(c claim) bool { return c.m == m })
}

// setGroups follows the groups of a configuration. A group that is gone is kept
// until nobody holds it.
func (a *Allocator) setGroups(c *config.Config) {
	for _, g := range a.groups {
		g.gone = true
	}
	for i := range c.Services {
		for _, g := range c.Services[i].Shards {
			a.groups[a.internGroup(fleet.ShardID{Service: c.Services[i].Name, Shard: g.Name})].gone = false
		}
	}
	for i, g := range a.groups {
		for home, m := range g.wants {
			if g.gone && m != nil {
				a.want(i, home, nil)
			}
		}
	}
	a.dirty = true
}

// internGroup returns the index of a group; a new one counts as gone.
func (a *Allocator) internGroup(id fleet.ShardID) int {
	if i, ok := a.groupOf[id]; ok {
		return i
	}
	i := slices.IndexFunc(a.groups, func(g *group) bool { return g.gone && len(g.claims) == 0 })
	if i < 0 {
		i = len(a.groups)
		a.groups = append(a.groups, nil)
	} else {
		delete(a.groupOf, a.groups[i].id)
		for home, m := range a.groups[i].wants {
			if m != nil {
				a.want(i, home, nil)
			}
		}
	}
	a.groups[i] = &group{id: id, hash: hashStrings(id.Service, id.Shard), gone: true}
	a.groupOf[id] = i
	return i
}

// want makes m the VM that should be a home of a group; nil for none.
func (a *Allocator) want(g, index int, m *member) {
	wants := &a.groups[g].wants
	old := wants[index]
	wants[index] = m
	if old != nil && !slices.Contains(wants[:], old) {
		if at, ok := slices.BinarySearch(old.wants, g); ok {
			old.wants = slices.Delete(old.wants, at, at+1)
		}
	}
	if m != nil {
		if at, ok := slices.BinarySearch(m.wants, g); !ok {
			m.wants = slices.Insert(m.wants, at, g)
		}
	}
	if m == nil {
		a.dirty = true
	}
}

// prefer keeps a home where it is reported, unless another holder is known.
func (a *Allocator) prefer(g int, m *member, k kind) {
	grp := a.groups[g]
	present := grp.wants[k.home]
	if grp.gone || m.vm.State != fleet.Live || slices.Contains(grp.wants[:], m) || present != nil && grp.claimed(present) {
		return
	}
	a.want(g, int(k.home), m)
}

// unassign takes all homes and ranges away from a VM.
func (a *Allocator) unassign(m *member) {
	for _, g := range slices.Clone(m.wants) {
		for i, w := range a.groups[g].wants {
			if w == m {
				a.want(g, i, nil)
			}
		}
	}
	for r, w := range a.ranges {
		if w == m {
			a.ranges[r] = nil
		}
	}
	a.dirty = true
}

// homes returns how many homes a group has at the moment.
func (a *Allocator) homes() int { return min(a.homesPerGroup, maxHomes, len(a.live)) }

// homeChanges returns what changes for one VM. Drops and reductions are never
// put off, because the reply renews all that it does not change.
func (a *Allocator) homeChanges(m *member) []home {
	var out []home
	grown := 0
	visit := func(g int, held kind) {
		target := a.homeTarget(g, m, held)
		if target == held {
			return
		}
		if target.of > 0 && target.half == held.half {
			if grown++; grown > maxHomeChanges {
				return
			}
		}
		out = append(out, home{group: g, kind: target})
	}
	i := 0
	for _, g := range m.wants {
		for ; i < len(m.homes) && m.homes[i].group < g; i++ {
			visit(m.homes[i].group, m.homes[i].kind)
		}
		if i < len(m.homes) && m.homes[i].group == g {
			visit(g, m.homes[i].kind)
			i++
		} else {
			visit(g, kind{})
		}
	}
	for ; i < len(m.homes); i++ {
		visit(m.homes[i].group, m.homes[i].kind)
	}
	return out
}

// homeTarget returns the kind that a VM which holds held is to have now.
func (a *Allocator) homeTarget(g int, m *member, held kind) kind {
	grp := a.groups[g]
	index := slices.Index(grp.wants[:], m)
	if grp.gone || !m.live || index < 0 {
		return kind{}
	}
	if a.phase.grow && index < a.homes() {
		k := kind{home: uint8(index), of: uint8(a.homes()), half: a.phase.half}
		if k == held || a.free(grp, m, k) {
			return k
		}
	}
	if held.of > 0 && a.phase.half {
		held.half = true
		if !m.half && a.renewed(grp, m, held) {
			return kind{}
		}
	}
	return held
}

// renewed reports whether this coordinator has renewed a home that overlaps with
// k for another VM, which may be silent by now. Two VMs can report such homes
// after they had them from different halves; one half may renew only one.
func (a *Allocator) renewed(g *group, m *member, k kind) bool {
	return slices.ContainsFunc(g.claims, func(c claim) bool {
		return c.m != m && k.overlaps(c.kind) && a.sweptAt.Sub(c.m.grantedAt) < reserve
	})
}

// free reports whether nobody else may use what k uses. Half a coordinator also
// waits until everything that it granted as a whole one has been reduced: the
// other side hands out its own half.
func (a *Allocator) free(g *group, m *member, k kind) bool {
	for _, c := range g.claims {
		if c.m == m {
			continue
		}
		if k.overlaps(c.kind) || a.phase.half && !c.kind.half {
			return false
		}
	}
	return true
}
