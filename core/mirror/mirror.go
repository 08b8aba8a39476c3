// Package mirror keeps a VM's copy of the entries of the platform's store. It is
// given updates, from the store or from the copy of another VM, and returns the
// entries that they changed, and updates for copies of an older revision.
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
	Revision uint64 // of the last change
	Deleted  bool
}

// Update holds the changes after some revision, or all entries.
type Update struct {
	Entries  []Entry
	Full     bool   // Entries holds all entries; those that it lacks are deleted
	Revision uint64 // the update contains all changes up to this revision
}

// Mirror is a copy of the store as of one revision. The zero value is empty.
type Mirror struct {
	entries         map[string]Entry
	tombstones      []Entry // ascending by revision
	droppedRevision uint64  // revision of the newest tombstone that was dropped
	revision        uint64
	confirmedAt     time.Time // latest time at which the copy was known to be current
	lastUpdate      *Update   // cached result of Since, which many VMs often request for the same revision
	lastSince       uint64
}

// Revision returns the revision up to which the copy contains all changes; zero
// when it is empty.
func (m *Mirror) Revision() uint64 { return m.revision }

// ConfirmedAt returns the latest time at which the copy was known to be current.
func (m *Mirror) ConfirmedAt() time.Time { return m.confirmedAt }

// Confirm records that a copy of revision asOf was current at a time. It is
// ignored when the copy is of a later revision, or was confirmed later.
func (m *Mirror) Confirm(asOf uint64, at time.Time) {
	if asOf >= m.revision && at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

// Apply merges an update and returns the entries that changed. It skips entries
// that are not newer than those of the copy, so that updates may overlap.
func (m *Mirror) Apply(u *Update) []Entry {
	if m.entries == nil {
		m.entries = make(map[string]Entry)
	}
	var changed []Entry
	if u.Full && u.Revision >= m.revision {
		changed = m.deleteMissing(u)
	}
	m.lastUpdate = nil
	for _, e := range u.Entries {
		if m.put(e) {
			changed = append(changed, e)
		}
	}
	m.revision = max(m.revision, u.Revision)
	return changed
}

// put merges one entry. It reports whether an entry was set or removed; a
// tombstone for a key that the copy lacks does not count.
func (m *Mirror) put(e Entry) bool {
	if old, ok := m.entries[e.Key]; ok && old.Revision >= e.Revision {
		return false
	}
	if e.Deleted {
		if m.tombstoneRevision(e.Key) >= e.Revision {
			return false
		}
		_, existed := m.entries[e.Key]
		delete(m.entries, e.Key)
		m.addTombstone(e)
		return existed
	}
	if m.tombstoneRevision(e.Key) >= e.Revision {
		return false
	}
	m.entries[e.Key] = e
	return true
}

// tombstoneRevision returns the revision of a key's newest tombstone, zero when
// there is none.
func (m *Mirror) tombstoneRevision(key string) uint64 {
	newest := uint64(0)
	for _, t := range m.tombstones {
		if t.Key == key {
			newest = max(newest, t.Revision)
		}
	}
	return newest
}

// addTombstone inserts a tombstone and drops the oldest one when there are too many.
func (m *Mirror) addTombstone(e Entry) {
	i, _ := slices.BinarySearchFunc(m.tombstones, e.Revision, func(t Entry, rev uint64) int { return cmp.Compare(t.Revision, rev) })
	m.tombstones = slices.Insert(m.tombstones, i, Entry{Key: e.Key, Revision: e.Revision, Deleted: true})
	if len(m.tombstones) > maxTombstones {
		m.droppedRevision = max(m.droppedRevision, m.tombstones[0].Revision)
		m.tombstones = slices.Delete(m.tombstones, 0, 1)
	}
}

// deleteMissing deletes the entries that a full update lacks and returns their
// tombstones. It keeps an entry that is newer than the update, which may have been
// written after the update was read.
func (m *Mirror) deleteMissing(u *Update) []Entry {
	present := make(map[string]bool, len(u.Entries))
	for _, e := range u.Entries {
		present[e.Key] = true
	}
	var deleted []Entry
	for key, e := range m.entries {
		if !present[key] && e.Revision <= u.Revision {
			deleted = append(deleted, Entry{Key: key, Revision: u.Revision, Deleted: true})
		}
	}
	slices.SortFunc(deleted, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	for _, e := range deleted {
		delete(m.entries, e.Key)
		m.addTombstone(e)
	}
	return deleted
}

// Since returns the changes after a revision, nil when the copy is not newer. It
// returns all entries when tombstones after the revision were dropped. The result
// is shared and must not be modified.
func (m *Mirror) Since(revision uint64) *Update {
	if m.revision <= revision {
		return nil
	}
	if m.lastUpdate != nil && m.lastUpdate.Revision == m.revision && m.lastSince == revision {
		return m.lastUpdate
	}
	u := &Update{Revision: m.revision, Full: revision < m.droppedRevision || revision == 0}
	for _, e := range m.entries {
		if u.Full || e.Revision > revision {
			u.Entries = append(u.Entries, e)
		}
	}
	if !u.Full {
		for _, t := range m.tombstones {
			if t.Revision > revision {
				u.Entries = append(u.Entries, t)
			}
		}
	}
	slices.SortFunc(u.Entries, func(a, b Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	m.lastUpdate, m.lastSince = u, revision
	return u
}
