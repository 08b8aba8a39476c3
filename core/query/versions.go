package query

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
)

func (sh *shard) has(version uint64) bool { return slices.Contains(sh.versions, version) }

// snapshot returns the newest index version that every shard with a live replica has,
// and true. If there is none, it returns the version that most shards have, the newest
// of equals, and false. It also returns false while the versions of a shard are unknown.
func (s *service) snapshot() (uint64, bool) {
	if s.snapshotCached {
		return s.commonVersion, s.commonComplete
	}
	s.snapshotCached = true
	s.commonVersion, s.commonComplete = 0, true
	var counts []versionCount
	liveShards := 0
	for _, sh := range s.shards {
		if !sh.versionsKnown {
			s.commonComplete = false
			continue
		}
		if len(sh.versions) > 0 {
			liveShards++
		}
		for _, v := range sh.versions {
			counts = countVersion(counts, v)
		}
	}
	maxShards := 0
	for _, c := range counts {
		if c.shards > maxShards || c.shards == maxShards && c.version > s.commonVersion {
			maxShards, s.commonVersion = c.shards, c.version
		}
	}
	if maxShards < liveShards || liveShards == 0 {
		s.commonComplete = false
	}
	return s.commonVersion, s.commonComplete
}

type versionCount struct {
	version uint64
	shards  int
}

// countVersion adds one shard to the count of v. A linear search suffices, as services
// have few index versions at a time.
func countVersion(counts []versionCount, v uint64) []versionCount {
	for i := range counts {
		if counts[i].version == v {
			counts[i].shards++
			return counts
		}
	}
	return append(counts, versionCount{version: v, shards: 1})
}

// reportsNoReplica reports whether an empty list of versions means that no replica is
// live. In other replies an empty list says nothing about versions.
func reportsNoReplica(r *scatter.SubReply) bool {
	switch r.Status {
	case scatter.VersionsOnly, scatter.VersionGone:
		return true
	case scatter.Refused:
		return r.Refusal != nil && r.Refusal.Code == outcome.CodeNoReplica
	}
	return false
}

// expireVersions makes versions unknown that no reply has confirmed for versionsTTL. It
// searches at most once per versionsCheckInterval.
func (s *service) expireVersions(now time.Time) {
	if now.Before(s.nextVersionsCheck) {
		return
	}
	s.nextVersionsCheck = now.Add(versionsCheckInterval)
	for _, sh := range s.shards {
		if sh.versionsKnown && now.Sub(sh.versionsConfirmedAt) > versionsTTL {
			sh.versionsKnown, sh.versions, s.snapshotCached = false, nil, false
		}
	}
}

// updateVersions adopts the index versions that a reply reports for a shard. An empty
// list counts only if the owner was probed for versions or found no replica. With status
// VersionGone, missingVersion is the version that was requested; it is removed from the
// list.
func (m *Machine) updateVersions(now time.Time, sh *shard, r *scatter.SubReply, missingVersion uint64) {
	empty := len(r.IndexVersions) == 0
	if r.PartitionMap != sh.service.config.PartitionMap {
		return // the versions belong to another partition map
	}
	if empty && !reportsNoReplica(r) {
		return
	}
	versions := r.IndexVersions
	if r.Status == scatter.VersionGone && slices.Contains(versions, missingVersion) {
		// The owner's list lags behind what the target just reported.
		versions = slices.DeleteFunc(slices.Clone(versions), func(v uint64) bool { return v == missingVersion })
	}
	sh.versionsConfirmedAt = now
	if sh.versionsKnown && slices.Equal(sh.versions, versions) {
		return
	}
	sh.versionsKnown, sh.versions = true, versions
	sh.service.snapshotCached, sh.service.probedAt = false, time.Time{}
}
