package mirror

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// keepAll keeps every entry of an earlier era until the store writes it in the new one.
func keepAll(_, _ Entry, written bool) Reason {
	if written {
		return ""
	}
	return "test"
}

// entriesOf returns entries from "key=value@revision", or "-key@revision" for a
// deletion.
func entriesOf(revisions map[string]uint64, all ...string) []Entry {
	var entries []Entry
	for _, text := range all {
		key, value, _ := strings.Cut(text, "=")
		e := Entry{Key: strings.TrimPrefix(key, "-"), Deleted: key[0] == '-', Revision: revisions[text]}
		if !e.Deleted {
			e.Value = []byte(value)
		}
		entries = append(entries, e)
	}
	return entries
}

// visible returns what the entries that count say, as in entriesOf.
func (m *Mirror) visible() map[string]string {
	all := make(map[string]string)
	for key, e := range m.effective() {
		if !e.Deleted {
			all[key] = string(e.Value)
		}
	}
	return all
}

// Guards against updates that are compared by revision alone after a rewind: a new
// entry under a revision that was used before was taken for a known one, a listing of a
// lower revision was ignored, and late answers of the earlier era were taken.
func TestRevisionsAreComparedWithinAnEra(t *testing.T) {
	rev := map[string]uint64{"a=1": 20, "b=1": 30, "a=0": 10, "b=2": 30, "a=2": 22, "-a": 23}
	m := Mirror{}
	m.Apply(&Update{Full: true, Era: 1, Revision: 30, Entries: entriesOf(rev, "a=1", "b=1")})
	follower := Mirror{}
	follower.Apply(m.Since(Version{}))

	assert.Equal(t, len(m.Apply(&Update{Era: 2, Revision: 40, Entries: entriesOf(rev, "a=0")})), 0, "changes of another era without a listing")
	m.Apply(&Update{Full: true, Era: 2, Revision: 10, Entries: entriesOf(rev, "a=0")})
	assert.DeepEqual(t, m.visible(), map[string]string{"a": "0"})
	m.Apply(&Update{Era: 2, Revision: 30, Entries: entriesOf(rev, "a=2", "b=2")})
	assert.DeepEqual(t, m.visible(), map[string]string{"a": "2", "b": "2"})
	m.Apply(&Update{Full: true, Era: 1, Revision: 50, Entries: entriesOf(rev, "a=1")})
	assert.DeepEqual(t, m.visible(), map[string]string{"a": "2", "b": "2"})
	assert.Equal(t, m.Version(), Version{Era: 2, Revision: 30})

	u := m.Since(follower.Version())
	assert.Assert(t, u.Full, "a copy of an earlier era gets all entries")
	follower.Apply(u)
	assert.DeepEqual(t, follower.visible(), m.visible())
	assert.Assert(t, m.Since(follower.Version()) == nil && follower.Since(Version{Era: 3, Revision: 1}) == nil)

	m.Confirm(Version{Era: 1, Revision: 90}, epoch)
	m.Confirm(Version{Era: 3, Revision: 90}, epoch)
	assert.Assert(t, m.ConfirmedAt().IsZero())
}

// Guards against what is kept that a write of the new era does not replace, and against
// a removed entry that comes back with the copy after its tombstone was dropped.
func TestPastEntriesHidePresentOnes(t *testing.T) {
	rev := map[string]uint64{"a=1": 20, "b=1": 11, "c=1": 12, "a=0": 9, "c=0": 8, "a=2": 14, "-b": 15}
	m := New(keepAll)
	m.Apply(&Update{Full: true, Era: 1, Revision: 30, Entries: entriesOf(rev, "a=1", "b=1")})
	changed := m.Apply(&Update{Full: true, Era: 2, Revision: 10, Entries: entriesOf(rev, "a=0", "c=0")})
	assert.Equal(t, len(changed), 0, "%v", changed)
	assert.DeepEqual(t, m.visible(), map[string]string{"a": "1", "b": "1"})
	assert.DeepEqual(t, m.Kept(), map[Reason]int{"test": 3})

	fresh := New(keepAll)
	fresh.Apply(m.Since(Version{}))
	fresh.MergePast(m.Past())
	assert.DeepEqual(t, fresh.visible(), m.visible())
	assert.Equal(t, len(fresh.MergePast(m.Past())), 0)

	changed = m.Apply(&Update{Era: 2, Revision: 15, Entries: entriesOf(rev, "a=2", "c=1", "-b")})
	assert.Equal(t, len(changed), 3)
	assert.DeepEqual(t, m.visible(), map[string]string{"a": "2", "c": "1"})
	assert.Equal(t, len(m.Kept()), 0)
}

// Guards against a target that first registers in the new era, before it is listed and
// under a revision that was used before, and counts as removed for as long as its entry
// does not change.
func TestNewEntryOfTheNewEraIsNoRemovedOne(t *testing.T) {
	rev := map[string]uint64{"a=1": 20, "b=1": 32, "c=1": 31, "-b": 35}
	m := New(keepAll)
	m.Apply(&Update{Full: true, Era: 1, Revision: 30, Entries: entriesOf(rev, "a=1")})
	m.Apply(&Update{Era: 1, Revision: 36, Entries: entriesOf(rev, "b=1", "-b")})
	m.Apply(&Update{Full: true, Era: 2, Revision: 34, Entries: entriesOf(rev, "a=1", "b=1", "c=1")})
	assert.DeepEqual(t, m.visible(), map[string]string{"a": "1", "c": "1"})
}

// Guards against a rolling restart that counts as a rewind, as VMs of an older build pass
// on copies without an era, and against a rewind that counts as none.
func TestEraOfACopyBecomesKnown(t *testing.T) {
	rev := map[string]uint64{"a=1": 20, "b=1": 25, "a=0": 9, "b=2": 25, "b=3": 28, "c=1": 28}
	for name, c := range map[string]struct {
		update  Update
		rewinds int
	}{
		"same entries":    {Update{Era: 4, Revision: 30, Entries: entriesOf(rev, "a=1", "b=1")}, 0},
		"earlier entry":   {Update{Era: 4, Revision: 40, Entries: entriesOf(rev, "a=0", "b=1")}, 1},
		"lost entry":      {Update{Era: 4, Revision: 40, Entries: entriesOf(rev, "b=1")}, 1},
		"lower revision":  {Update{Era: 4, Revision: 29, Entries: entriesOf(rev, "a=1", "b=1")}, 1},
		"other number":    {Update{Era: 4, Revision: 40, Entries: entriesOf(rev, "a=1", "b=2")}, 0},
		"unknown write":   {Update{Era: 4, Revision: 40, Entries: entriesOf(rev, "a=1", "b=3")}, 1},
		"unknown entry":   {Update{Era: 4, Revision: 40, Entries: entriesOf(rev, "a=1", "b=1", "c=1")}, 1},
		"no era, as ever": {Update{Era: 0, Revision: 29, Entries: entriesOf(rev, "a=1", "b=1")}, 0},
	} {
		m := New(keepAll)
		m.Apply(&Update{Full: true, Revision: 30, Entries: entriesOf(rev, "a=1", "b=1")})
		c.update.Full = true
		m.Apply(&c.update)
		assert.Equal(t, m.Rewinds(), c.rewinds, name)
		assert.Equal(t, m.Version().Era, c.update.Era, name)
		assert.DeepEqual(t, m.visible(), map[string]string{"a": "1", "b": "1"})
		assert.Equal(t, m.Since(Version{}).Entries[0].Era, c.update.Era, name)
	}
}

// Guards against a VM that lagged before the rewind and brings back what others knew to
// be changed.
func TestPastOfTheNewestCopyCounts(t *testing.T) {
	rev := map[string]uint64{"a=1": 20}
	lagging, current := New(keepAll), New(keepAll)
	for _, m := range []*Mirror{&lagging, &current} {
		m.Apply(&Update{Full: true, Era: 1, Revision: 20, Entries: entriesOf(rev, "a=1")})
	}
	current.Apply(&Update{Era: 1, Revision: 25, Entries: []Entry{{Key: "a", Revision: 25, Deleted: true}}})
	for _, m := range []*Mirror{&lagging, &current} {
		m.Apply(&Update{Full: true, Era: 2, Revision: 10})
	}
	assert.Equal(t, len(current.MergePast(lagging.Past())), 0)
	changed := lagging.MergePast(current.Past())
	assert.Assert(t, len(changed) == 1 && changed[0].Deleted)
	assert.DeepEqual(t, lagging.visible(), current.visible())

	// Another copy knows less of the era 1 and more of the era 2.
	rev["b=1"] = 12
	other := New(keepAll)
	other.Apply(&Update{Full: true, Era: 1, Revision: 20, Entries: entriesOf(rev, "a=1")})
	other.Apply(&Update{Full: true, Era: 2, Revision: 11})
	other.Apply(&Update{Era: 2, Revision: 12, Entries: entriesOf(rev, "b=1")})
	for _, m := range []*Mirror{&other, &current} {
		m.Apply(&Update{Full: true, Era: 3, Revision: 5})
	}
	assert.DeepEqual(t, other.visible(), map[string]string{"a": "1", "b": "1"})
	fromOther := other.Past()
	other.MergePast(current.Past())
	current.MergePast(fromOther)
	assert.DeepEqual(t, current.visible(), map[string]string{"b": "1"})
	assert.DeepEqual(t, other.visible(), current.visible())
}
