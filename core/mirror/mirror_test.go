package mirror

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000_000, 0)

// Guards against an entry that is lost or reappears because a full update is
// not a snapshot: changes made while the store is listed arrive with the next
// watch.
func TestFullUpdateOverlapsWithChanges(t *testing.T) {
	var m Mirror
	m.Apply(&Update{Revision: 10, Full: true, Entries: []Entry{{Key: "a", Revision: 5}, {Key: "b", Revision: 12}}})
	m.Apply(&Update{Revision: 13, Entries: []Entry{{Key: "b", Revision: 11, Deleted: true}, {Key: "b", Revision: 12}, {Key: "a", Revision: 13, Deleted: true}}})
	u := m.Since(Version{})
	assert.Equal(t, len(u.Entries), 1)
	assert.Equal(t, u.Entries[0].Key, "b")
}

// Guards against missing the deletions made while the store's history was not
// available.
func TestFullUpdateDeletesMissingEntries(t *testing.T) {
	var m Mirror
	m.Apply(&Update{Revision: 10, Full: true, Entries: []Entry{{Key: "a", Revision: 5}, {Key: "b", Revision: 6}}})
	changed := m.Apply(&Update{Revision: 20, Full: true, Entries: []Entry{{Key: "b", Revision: 6}}})
	assert.DeepEqual(t, changed, []Entry{{Key: "a", Revision: 20, Deleted: true}})
	assert.Equal(t, len(m.Apply(&Update{Revision: 20, Entries: []Entry{{Key: "a", Revision: 5}}})), 0)
}

// Guards against a copy that counts as newer than it is: a confirmation may be of an
// older revision, or of an earlier time.
func TestConfirmIgnoresOlderRevisions(t *testing.T) {
	var m Mirror
	m.Apply(&Update{Revision: 10})
	m.Confirm(Version{Revision: 9}, epoch)
	assert.Assert(t, m.ConfirmedAt().IsZero())
	m.Confirm(Version{Revision: 10}, epoch)
	m.Confirm(Version{Revision: 10}, epoch.Add(-time.Second))
	assert.Equal(t, m.ConfirmedAt(), epoch)
}

// Guards against a copy that differs from the one that its updates come from,
// whichever updates it has missed.
func TestCopyOfACopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var origin, follower Mirror
		revision := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			var u Update
			for range rapid.IntRange(0, 4).Draw(t, "entries") {
				revision++
				u.Entries = append(u.Entries, Entry{
					Key: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), Revision: revision,
					Deleted: rapid.Bool().Draw(t, "deleted"),
				})
			}
			u.Revision = revision
			origin.Apply(&u)
			if rapid.Bool().Draw(t, "told") {
				if since := origin.Since(follower.Version()); since != nil {
					follower.Apply(since)
				}
			}
		}
		if since := origin.Since(follower.Version()); since != nil {
			follower.Apply(since)
		}
		assert.Equal(t, len(follower.entries), len(origin.entries))
		for key, e := range origin.entries {
			assert.DeepEqual(t, follower.entries[key], e)
		}
	})
}

// Guards against a hub that builds and compresses all entries again for each VM after a
// rewind, as each has another version of the earlier era.
func TestFullUpdateIsSharedByVersions(t *testing.T) {
	var m Mirror
	m.Apply(&Update{Full: true, Era: 2, Revision: 30})
	assert.Assert(t, m.Since(Version{Era: 1, Revision: 40}) == m.Since(Version{Era: 1, Revision: 41}))
	assert.Assert(t, m.Since(Version{}) == m.Since(Version{Era: 2, Revision: 29}))
}
