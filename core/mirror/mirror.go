// Package mirror keeps a VM's copy of the entries of the platform's store. It is
// given updates, from the store or from the copy of another VM, and returns the
// entries that they changed, and updates for copies of an older version.
package mirror

import (
	"cmp"
	"slices"
	"time"
)

// maxTombstones bounds the deletions that are kept. A copy that is further behind
// than the oldest of them gets all entries instead of the changes.
const maxTombstones = 512

// Entry is an entry of the store, or a tombstone for a deleted one.
type Entry struct {
	Key      string
	Value    []byte
	Era      uint64 // of the last change, or of the listing that showed the entry after a rewind
	Revision uint64 // of the last change
	Deleted  bool
}

// Update holds the changes after some version, or all entries. Its entries are of its
// era.
type Update struct {
	Entries  []Entry
	Full     bool   // Entries holds all entries; those that it lacks are deleted
	Era      uint64 // zero when it is not known
	Revision uint64 // the update contains all changes up to this revision
	EraStart uint64 // see Mirror.EraStart; zero when it is not known
}

// Mirror is a copy of the store as of one version. The zero value is empty.
type Mirror struct {
	outlives   Outlives
	entries    map[string]Entry
	tombstones []Entry // ascending by version
	dropped    Version // deletions up to this version are not all known
	version    Version
	eraStart   uint64
	rewinds    int
	past       map[string]pastEntry // what still counts of earlier eras
	known      Known                // what of earlier eras past takes into account

	confirmedAt time.Time // latest time at which the copy was known to be current
	lastUpdate  *Update   // cached result of Since, which many VMs often request for the same version
	lastSince   Version   // for which lastUpdate is; zero if it has all entries
}

// New returns an empty Mirror that keeps what outlives a rewind.
func New(outlives Outlives) Mirror { return Mirror{outlives: outlives} }

// Version returns the version up to which the copy contains all changes; zero when it
// is empty.
func (m *Mirror) Version() Version { return m.version }

// Revision returns the revision of Version.
func (m *Mirror) Revision() uint64 { return m.version.Revision }

// ConfirmedAt returns the latest time at which the copy was known to be current.
func (m *Mirror) ConfirmedAt() time.Time { return m.confirmedAt }

// Confirm records that a copy of version asOf was current at a time. It is ignored
// when the copy is of a later version or another era, or was confirmed later.
func (m *Mirror) Confirm(asOf Version, at time.Time) {
	if asOf.Era == m.version.Era && asOf.Revision >= m.version.Revision && at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

// Apply merges an update and returns the entries that changed. It skips entries
// that are not newer than those of the copy, so that updates may overlap, and updates
// of an earlier era. One of a later era is applied if it is full.
func (m *Mirror) Apply(u *Update) []Entry {
	switch {
	case m.version.IsZero():
		m.version.Era, m.eraStart = u.Era, cmp.Or(u.EraStart, u.Revision)
	case m.Continues(u):
		m.setEra(u.Era, cmp.Or(u.EraStart, u.Revision))
	case u.Era > m.version.Era && u.Full:
		return m.Rewind(u)
	case u.Era != m.version.Era:
		return nil
	}
	if m.entries == nil {
		m.entries = make(map[string]Entry)
	}
	var changed []Entry
	if u.Full && u.Revision >= m.version.Revision {
		changed = m.deleteMissing(u)
		m.dropped = u.Version() // what was written and deleted before is not known
	}
	m.lastUpdate = nil
	for _, e := range u.Entries {
		e.Era = u.Era
		if m.put(e) {
			changed = append(changed, e)
		}
	}
	m.version.Revision = max(m.version.Revision, u.Revision)
	return m.settlePast(changed, u.EraStart)
}

// put merges one entry, unless it is of before the copy's version: the copy has it, or
// it was deleted since. It reports whether an entry was set or removed; a
// tombstone for a key that the copy lacks does not count, unless a past entry waits
// for it.
func (m *Mirror) put(e Entry) bool {
	if !m.version.Before(e.Version()) {
		return false
	}
	old, existed := m.entries[e.Key]
	if existed && !old.Version().Before(e.Version()) {
		return false
	}
	if !m.tombstoneVersion(e.Key).Before(e.Version()) {
		return false
	}
	if e.Deleted {
		_, isPast := m.past[e.Key]
		delete(m.entries, e.Key)
		m.addTombstone(e)
		return existed || isPast
	}
	m.entries[e.Key] = e
	return true
}

// tombstoneVersion returns the version of a key's newest tombstone, zero when there
// is none.
func (m *Mirror) tombstoneVersion(key string) Version {
	newest := Version{}
	for _, t := range m.tombstones {
		if t.Key == key && newest.Before(t.Version()) {
			newest = t.Version()
		}
	}
	return newest
}

// addTombstone inserts a tombstone and drops the oldest one when there are too many.
func (m *Mirror) addTombstone(e Entry) {
	i, _ := slices.BinarySearchFunc(m.tombstones, e.Version(), func(t Entry, v Version) int { return t.Version().Compare(v) })
	m.tombstones = slices.Insert(m.tombstones, i, Entry{Key: e.Key, Era: e.Era, Revision: e.Revision, Deleted: true})
	if len(m.tombstones) > maxTombstones {
		if oldest := m.tombstones[0].Version(); m.dropped.Before(oldest) {
			m.dropped = oldest
		}
		m.tombstones = slices.Delete(m.tombstones, 0, 1)
	}
}

// deleteMissing deletes the entries that a full update of the same era lacks and
// returns their tombstones. It keeps an entry that is newer than the update, which may
// have been written after the update was read.
func (m *Mirror) deleteMissing(u *Update) []Entry {
	present := make(map[string]bool, len(u.Entries))
	for _, e := range u.Entries {
		present[e.Key] = true
	}
	var deleted []Entry
	for key, e := range m.entries {
		if !present[key] && e.Revision <= u.Revision {
			deleted = append(deleted, Entry{Key: key, Era: u.Era, Revision: u.Revision, Deleted: true})
		}
	}
	slices.SortFunc(deleted, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	for _, e := range deleted {
		delete(m.entries, e.Key)
		m.addTombstone(e)
	}
	return deleted
}

// Since returns the changes after a version, nil when the copy is not newer. It
// returns all entries when the copy is of another era, or when tombstones after the
// version were dropped. The result is shared and must not be modified.
func (m *Mirror) Since(v Version) *Update {
	if !v.Before(m.version) {
		return nil
	}
	full := v.IsZero() || v.Era != m.version.Era || v.Before(m.dropped)
	if full {
		v = Version{} // all entries are the same update for every version
	}
	if m.lastUpdate != nil && m.lastUpdate.Version() == m.version && m.lastUpdate.EraStart == m.eraStart && m.lastSince == v {
		return m.lastUpdate
	}
	u := &Update{Era: m.version.Era, Revision: m.version.Revision, EraStart: m.eraStart, Full: full}
	for _, e := range m.entries {
		if u.Full || e.Revision > v.Revision {
			u.Entries = append(u.Entries, e)
		}
	}
	if !u.Full {
		for _, t := range m.tombstones {
			if t.Revision > v.Revision {
				u.Entries = append(u.Entries, t)
			}
		}
	}
	slices.SortFunc(u.Entries, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key)) })
	m.lastUpdate, m.lastSince = u, v
	return u
}
