package mirror

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// Reason tells why an entry is kept past a rewind of the store. The empty reason means
// that it is not kept.
type Reason string

// Outlives decides whether a past entry, of an earlier era, still counts in place of the
// present one. Each may be a tombstone; a present entry that the store does not have
// is one. Written tells that the store was seen to write or delete the present entry
// in its present era, so that it is no remainder of the older copy.
type Outlives func(past, present Entry, written bool) Reason

// Past is what copies of earlier eras held and what still counts.
type Past struct {
	Known   Known
	Entries []Entry
}

// EraStart returns the store's revision when its present era was first listed, as far
// as is known. Entries of a later revision were written in this era.
func (m *Mirror) EraStart() uint64 { return m.eraStart }

// Rewinds returns how often the copy was replaced by one of another era.
func (m *Mirror) Rewinds() int { return m.rewinds }

// pastEntry is an entry or a tombstone of an earlier era, and why it counts.
type pastEntry struct {
	Entry
	reason Reason
}

// Kept returns the number of past entries that count, by reason.
func (m *Mirror) Kept() map[Reason]int {
	kept := make(map[Reason]int)
	for _, p := range m.past {
		kept[p.reason]++
	}
	return kept
}

// Past returns what this copy keeps of earlier eras, sorted by key.
func (m *Mirror) Past() *Past {
	p := &Past{Known: m.known}
	for _, e := range m.past {
		p.Entries = append(p.Entries, e.Entry)
	}
	slices.SortFunc(p.Entries, compareKeys)
	return p
}

// Known returns what of earlier eras Past takes into account.
func (m *Mirror) Known() Known { return m.known }

// Continues reports whether a full update tells the era of a copy whose era was not
// known, without a sign of a rewind: it has all entries, none of an earlier revision, and
// none of up to the copy's revision that the copy lacks. Values of the same revision may
// differ, as a target's heartbeat may change its number alone.
func (m *Mirror) Continues(u *Update) bool {
	if m.version.IsZero() || m.version.Era > 0 || u.Era == 0 || !u.Full || u.Revision < m.version.Revision {
		return false
	}
	same := 0
	for _, e := range u.Entries {
		mine, held := m.entries[e.Key]
		switch {
		case e.Revision <= m.version.Revision && !(held && e.Revision == mine.Revision):
			return false
		case held && !e.Deleted && e.Revision >= mine.Revision:
			same++
		}
	}
	return same == len(m.entries)
}

// setEra makes the copy, whose era was not known, one of an era.
func (m *Mirror) setEra(era, start uint64) {
	m.version.Era, m.dropped.Era, m.eraStart = era, era, start
	for key, e := range m.entries {
		e.Era = era
		m.entries[key] = e
	}
	for i := range m.tombstones {
		m.tombstones[i].Era = era
	}
}

// Rewind replaces the copy by a full update of another era, and returns the entries
// that changed. What the copy held before and the update lacks or has otherwise
// becomes past, as far as it outlives the rewind.
func (m *Mirror) Rewind(u *Update) []Entry {
	before, former, wasDeleted := m.effective(), m.version, m.deletedBefore(u)
	m.entries, m.past = make(map[string]Entry, len(u.Entries)), make(map[string]pastEntry)
	m.tombstones, m.lastUpdate = nil, nil
	m.version, m.dropped, m.known = u.Version(), u.Version(), m.known.With(former)
	m.eraStart = cmp.Or(u.EraStart, u.Revision)
	m.rewinds++
	for _, e := range u.Entries {
		if e.Deleted {
			continue
		}
		e.Era = u.Era
		m.entries[e.Key] = e
		if _, known := before[e.Key]; !known && wasDeleted[e.Key] && e.Revision <= m.eraStart {
			before[e.Key] = Entry{Key: e.Key, Era: former.Era, Revision: former.Revision, Deleted: true}
		}
	}
	for _, e := range before {
		m.keepPast(e)
	}
	return m.changesFrom(before)
}

// deletedBefore returns the keys of a full update of another era that the copy held
// before and that were deleted. The copy held every entry up to its revision. One that
// it lacks left a tombstone, unless that may have been dropped; else it was written in
// the other era, under a revision that is used again.
func (m *Mirror) deletedBefore(u *Update) map[string]bool {
	deleted := make(map[string]bool)
	for _, t := range m.tombstones {
		deleted[t.Key] = true
	}
	for _, e := range u.Entries {
		if e.Revision <= m.dropped.Revision {
			deleted[e.Key] = true
		} else if e.Revision > m.version.Revision {
			delete(deleted, e.Key)
		}
	}
	return deleted
}

// MergePast takes over what another copy of the same era keeps of earlier ones, and
// returns the entries that changed. Of entries that one of them keeps, those that the
// other one has known and dropped are dropped. Without past entries here, and with
// nothing new in Known, there is nothing to take over.
func (m *Mirror) MergePast(p *Past) []Entry {
	if len(m.past) == 0 && m.known.CoversAll(p.Known) {
		return nil
	}
	before := m.effective()
	theirs := make(map[string]bool, len(p.Entries))
	for _, e := range p.Entries {
		theirs[e.Key] = true
		if mine, kept := m.past[e.Key]; kept && mine.Version().Before(e.Version()) || !kept && !m.known.Covers(e.Version()) {
			m.keepPast(e)
		}
	}
	for key, mine := range m.past {
		if !theirs[key] && p.Known.Covers(mine.Version()) {
			delete(m.past, key)
		}
	}
	for _, v := range p.Known {
		m.known = m.known.With(v)
	}
	return m.changesFrom(before)
}

// keepPast makes an entry of an earlier era a past one if it outlives the rewind, and
// reports whether it does.
func (m *Mirror) keepPast(e Entry) bool {
	reason := m.reasonToKeep(e)
	if reason == "" {
		delete(m.past, e.Key)
		return false
	}
	if m.past == nil {
		m.past = make(map[string]pastEntry)
	}
	m.past[e.Key] = pastEntry{Entry: e, reason: reason}
	return true
}

// settlePast drops past entries that changes of the copy have decided, and returns the
// changes without those that are hidden by past entries. It takes over an earlier
// start of the era.
func (m *Mirror) settlePast(changed []Entry, eraStart uint64) []Entry {
	if eraStart > 0 && eraStart < m.eraStart {
		m.eraStart = eraStart
		for key := range m.past {
			if !slices.ContainsFunc(changed, func(e Entry) bool { return e.Key == key }) {
				changed = append(changed, m.present(key))
			}
		}
	}
	if len(m.past) == 0 {
		return changed
	}
	return slices.DeleteFunc(changed, func(e Entry) bool {
		past, isPast := m.past[e.Key]
		return isPast && m.keepPast(past.Entry)
	})
}

// reasonToKeep returns why an entry of an earlier era still counts.
func (m *Mirror) reasonToKeep(past Entry) Reason {
	present := m.present(past.Key)
	if m.outlives == nil || sameContent(past, present) {
		return ""
	}
	return m.outlives(past, present, present.Revision > m.eraStart)
}

// present returns the entry that the store has of a key in its present era, or a
// tombstone. One of revision zero means that no deletion was seen.
func (m *Mirror) present(key string) Entry {
	if e, exists := m.entries[key]; exists {
		return e
	}
	return Entry{Key: key, Era: m.version.Era, Revision: m.tombstoneVersion(key).Revision, Deleted: true}
}

// effective returns the entries that count: those of the store, and past ones in their
// place.
func (m *Mirror) effective() map[string]Entry {
	all := maps.Clone(m.entries)
	if all == nil {
		all = make(map[string]Entry)
	}
	for key, p := range m.past {
		all[key] = p.Entry
	}
	return all
}

// changesFrom returns the difference between the entries that counted before and those
// that count now, sorted by key.
func (m *Mirror) changesFrom(before map[string]Entry) []Entry {
	var changed []Entry
	now := m.effective()
	for key, e := range now {
		old, existed := before[key]
		switch {
		case e.Deleted && (!existed || old.Deleted):
		case !existed || old.Revision != e.Revision || !sameContent(old, e):
			changed = append(changed, e)
		}
	}
	for key, old := range before {
		if _, exists := now[key]; !exists && !old.Deleted {
			changed = append(changed, Entry{Key: key, Era: m.version.Era, Revision: m.version.Revision, Deleted: true})
		}
	}
	slices.SortFunc(changed, compareKeys)
	return changed
}

func sameContent(a, b Entry) bool {
	return a.Deleted == b.Deleted && bytes.Equal(a.Value, b.Value)
}

func compareKeys(a, b Entry) int { return cmp.Compare(a.Key, b.Key) }
