// Package mirror keeps a copy of the entries of the platform's store. VMs that
// read the store pass on what changed to VMs that do not.
package mirror

import (
	"cmp"
	"slices"
	"time"
)

// maxTombstones bounds the deletions that are remembered. A reader that is
// further behind than the oldest of them gets all entries instead of changes.
const maxTombstones = 512

// Entry is one entry of the store, or its deletion.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64 // of the last change
	Deleted  bool
}

// Update is what changed after a revision.
type Update struct {
	Entries  []Entry
	Complete bool   // Entries holds all that exists; what it lacks is deleted
	Revision uint64 // revision up to which the update is complete
}

// Mirror is a copy of the store as of one revision. The zero value is empty.
type Mirror struct {
	entries    map[string]Entry
	tombstones []Entry // ascending by revision
	forgotten  uint64  // revision of the newest tombstone that was dropped
	asOf       uint64
	confirmed  time.Time // the copy was complete at this time or later
	last       *Update   // returned by the last call of Since, which is often the same for many VMs
	lastSince  uint64
}

// Revision returns the revision up to which the copy is complete; zero when it is empty.
func (m *Mirror) Revision() uint64 { return m.asOf }

// ConfirmedAt returns the latest time at which the copy is known to have been complete.
func (m *Mirror) ConfirmedAt() time.Time { return m.confirmed }

// Confirm notes that the copy was complete as of a revision at a time.
func (m *Mirror) Confirm(asOf uint64, at time.Time) {
	if asOf >= m.asOf && at.After(m.confirmed) {
		m.confirmed = at
	}
}

// Apply takes an update over and returns the entries that changed. Entries that
// are older than the copy's are passed over, so that updates may overlap.
func (m *Mirror) Apply(u *Update) []Entry {
	if m.entries == nil {
		m.entries = make(map[string]Entry)
	}
	var changed []Entry
	if u.Complete && u.Revision >= m.asOf {
		changed = m.deleteMissing(u)
	}
	m.last = nil
	for _, e := range u.Entries {
		if m.put(e) {
			changed = append(changed, e)
		}
	}
	m.asOf = max(m.asOf, u.Revision)
	return changed
}

func (m *Mirror) put(e Entry) bool {
	if old, ok := m.entries[e.Key]; ok && old.Revision >= e.Revision {
		return false
	}
	if e.Deleted {
		if m.tombstone(e.Key) >= e.Revision {
			return false
		}
		_, existed := m.entries[e.Key]
		delete(m.entries, e.Key)
		m.bury(e)
		return existed
	}
	if m.tombstone(e.Key) >= e.Revision {
		return false
	}
	m.entries[e.Key] = e
	return true
}

func (m *Mirror) tombstone(key string) uint64 {
	newest := uint64(0)
	for _, t := range m.tombstones {
		if t.Key == key {
			newest = max(newest, t.Revision)
		}
	}
	return newest
}

func (m *Mirror) bury(e Entry) {
	i, _ := slices.BinarySearchFunc(m.tombstones, e.Revision, func(t Entry, rev uint64) int { return cmp.Compare(t.Revision, rev) })
	m.tombstones = slices.Insert(m.tombstones, i, Entry{Key: e.Key, Revision: e.Revision, Deleted: true})
	if len(m.tombstones) > maxTombstones {
		m.forgotten = max(m.forgotten, m.tombstones[0].Revision)
		m.tombstones = slices.Delete(m.tombstones, 0, 1)
	}
}

// deleteMissing deletes the entries that a complete update lacks. An entry that
// is newer than the update may have been written after it was read.
func (m *Mirror) deleteMissing(u *Update) []Entry {
	present := make(map[string]bool, len(u.Entries))
	for _, e := range u.Entries {
		present[e.Key] = true
	}
	var gone []Entry
	for key, e := range m.entries {
		if !present[key] && e.Revision <= u.Revision {
			gone = append(gone, Entry{Key: key, Revision: u.Revision, Deleted: true})
		}
	}
	slices.SortFunc(gone, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	for _, e := range gone {
		delete(m.entries, e.Key)
		m.bury(e)
	}
	return gone
}

// Since returns what changed after a revision, nil when the copy is not newer.
// The result is shared and must not be changed.
func (m *Mirror) Since(revision uint64) *Update {
	if m.asOf <= revision {
		return nil
	}
	if m.last != nil && m.last.Revision == m.asOf && m.lastSince == revision {
		return m.last
	}
	u := &Update{Revision: m.asOf, Complete: revision < m.forgotten || revision == 0}
	for _, e := range m.entries {
		if u.Complete || e.Revision > revision {
			u.Entries = append(u.Entries, e)
		}
	}
	if !u.Complete {
		for _, t := range m.tombstones {
			if t.Revision > revision {
				u.Entries = append(u.Entries, t)
			}
		}
	}
	slices.SortFunc(u.Entries, func(a, b Entry) int { return cmp.Compare(a.Revision, b.Revision) })
	m.last, m.lastSince = u, revision
	return u
}
