package query

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

func (g *group) has(version uint64) bool { return slices.Contains(g.versions, version) }

// snapshot returns the newest index version that every group with a live
// replica has. Where there is none it returns the one that most groups have,
// the newest of equals, and false; it returns false also while the versions of
// some group are unknown.
func (s *service) snapshot() (uint64, bool) {
	if s.chosen {
		return s.common, s.complete
	}
	s.chosen = true
	s.common, s.complete = 0, true
	var counts []versionCount
	alive := 0
	for _, g := range s.groups {
		if !g.known {
			s.complete = false
			continue
		}
		if len(g.versions) > 0 {
			alive++
		}
		for _, v := range g.versions {
			counts = count(counts, v)
		}
	}
	most := 0
	for _, c := range counts {
		if c.groups > most || c.groups == most && c.version > s.common {
			most, s.common = c.groups, c.version
		}
	}
	if most < alive || alive == 0 {
		s.complete = false
	}
	return s.common, s.complete
}

type versionCount struct {
	version uint64
	groups  int
}

// count adds one group; services have few index versions at a time.
func count(counts []versionCount, v uint64) []versionCount {
	for i := range counts {
		if counts[i].version == v {
			counts[i].groups++
			return counts
		}
	}
	return append(counts, versionCount{version: v, groups: 1})
}

// reportsNone tells whether an empty list of versions means that no replica is
// alive, and not that the reply says nothing about them.
func reportsNone(r *scatter.SubReply) bool {
	switch r.Status {
	case scatter.VersionsOnly, scatter.VersionGone:
		return true
	case scatter.Refused:
		return r.Refusal != nil && r.Refusal.Code == outcome.CodeNoReplica
	}
	return false
}

// dropOld makes versions unknown that no reply has confirmed for versionsTTL.
func (s *service) dropOld(now time.Time) {
	if now.Before(s.checkAt) {
		return
	}
	s.checkAt = now.Add(versionsCheck)
	for _, g := range s.groups {
		if g.known && now.Sub(g.knownAt) > versionsTTL {
			g.known, g.versions, s.chosen = false, nil, false
		}
	}
}

// learn takes the versions that a reply reports. An empty list says something
// only where the home was asked for versions or found none that fits.
func (m *Machine) learn(now time.Time, g *group, r *scatter.SubReply, gone uint64) {
	empty := len(r.IndexVersions) == 0
	if r.PartitionMap != g.service.config.PartitionMap {
		return // versions of another partition map
	}
	if empty && !reportsNone(r) {
		return
	}
	versions := r.IndexVersions
	if r.Status == scatter.VersionGone && slices.Contains(versions, gone) {
		// The home's list lags behind what the target just said.
		versions = slices.DeleteFunc(slices.Clone(versions), func(v uint64) bool { return v == gone })
	}
	g.knownAt = now
	if g.known && slices.Equal(g.versions, versions) {
		return
	}
	g.known, g.versions = true, versions
	g.service.chosen, g.service.probedAt = false, time.Time{}
}
