package config_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/anvilfork/anvilfork/core/config"
)

// documentOf returns a document of a revision; documents with the same revision
// differ in a comment.
func documentOf(revision, content int) []byte {
	return fmt.Appendf(nil, "revision = %d\n[fleet]\nmax_vms = 4\n# %d\n", revision, content)
}

// sortedByDigest returns two documents of a revision, the one with the smaller
// digest first.
func sortedByDigest(t testing.TB, revision int) (small, large []byte) {
	a, b := documentOf(revision, 1), documentOf(revision, 2)
	if parse(t, string(a)).Digest.String() < parse(t, string(b)).Digest.String() {
		return a, b
	}
	return b, a
}

// Guards against an accepted document that is replaced by an older one, and
// against VMs that keep different documents of one revision.
func TestRevisionTrackerOffer(t *testing.T) {
	small, large := sortedByDigest(t, 5)
	invalid := []byte("revision = 9\n")
	cases := []struct {
		name    string
		offers  [][]byte
		changed bool   // by the last offer
		err     any    // type of the last error, nil for none
		want    []byte // accepted in the end
	}{
		{"first", [][]byte{documentOf(1, 0)}, true, nil, documentOf(1, 0)},
		{"newer wins", [][]byte{documentOf(1, 0), documentOf(2, 0)}, true, nil, documentOf(2, 0)},
		{"stale", [][]byte{documentOf(2, 0), documentOf(1, 0)}, false, new(*config.StaleRevisionError), documentOf(2, 0)},
		{"same again", [][]byte{documentOf(2, 0), documentOf(2, 0)}, false, nil, documentOf(2, 0)},
		{"conflict, smaller digest last", [][]byte{large, small}, true, new(*config.RevisionConflictError), small},
		{"conflict, smaller digest first", [][]byte{small, large}, false, new(*config.RevisionConflictError), small},
		{"an invalid document keeps the last accepted one", [][]byte{documentOf(2, 0), invalid}, false, new(*config.InvalidDocumentError), documentOf(2, 0)},
		{"only an invalid document", [][]byte{invalid}, false, new(*config.InvalidDocumentError), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var tracker config.RevisionTracker
			var changed bool
			var err error
			for _, document := range c.offers {
				changed, err = tracker.Offer(document)
			}
			assert.Equal(t, changed, c.changed)
			if c.err == nil {
				assert.NilError(t, err)
			} else {
				assert.Assert(t, errors.As(err, c.err), "%v", err)
			}
			if c.want == nil {
				assert.Assert(t, tracker.Current() == nil)
				return
			}
			assert.DeepEqual(t, tracker.Current().Document, c.want)
		})
	}
}

// Guards against a conflict report that names the wrong content as kept.
func TestConflictNamesKeptAndDropped(t *testing.T) {
	small, large := sortedByDigest(t, 5)
	for _, offers := range [][][]byte{{small, large}, {large, small}} {
		var tracker config.RevisionTracker
		_, err := tracker.Offer(offers[0])
		assert.NilError(t, err)
		_, err = tracker.Offer(offers[1])
		var conflict *config.RevisionConflictError
		assert.Assert(t, errors.As(err, &conflict))
		assert.DeepEqual(t, *conflict, config.RevisionConflictError{
			Revision: 5, Kept: parse(t, string(small)).Digest, Dropped: parse(t, string(large)).Digest,
		})
	}
}

// Guards against VMs that fetch a document again and again without accepting it,
// or that do not fetch a newer one.
func TestRevisionTrackerBehind(t *testing.T) {
	small, large := sortedByDigest(t, 5)
	digest := func(document []byte) config.Digest { return parse(t, string(document)).Digest }
	cases := []struct {
		name     string
		current  []byte
		revision uint64
		digest   config.Digest
		want     bool
	}{
		{"holds none, peer neither", nil, 0, config.Digest{}, false},
		{"holds none", nil, 5, digest(small), true},
		{"newer", large, 6, digest(documentOf(6, 0)), true},
		{"older", large, 4, digest(documentOf(4, 0)), false},
		{"same", large, 5, digest(large), false},
		{"conflict, peer's wins", large, 5, digest(small), true},
		{"conflict, own wins", small, 5, digest(large), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var tracker config.RevisionTracker
			if c.current != nil {
				_, err := tracker.Offer(c.current)
				assert.NilError(t, err)
			}
			assert.Equal(t, tracker.IsBehind(c.revision, c.digest), c.want)
		})
	}
}

// Guards against VMs that were offered the same documents in different orders and
// keep different ones, and against a revision that decreases. Some of the
// documents are invalid.
func TestOrderConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		documents := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) []byte {
			revision := rapid.IntRange(0, 4).Draw(t, "revision") // 0 is invalid
			return documentOf(revision, rapid.IntRange(0, 3).Draw(t, "content"))
		}), 1, 12).Draw(t, "texts")
		var first *config.Config
		for vm := range 3 {
			var tracker config.RevisionTracker
			for _, document := range rapid.Permutation(documents).Draw(t, "order") {
				checkOffer(t, &tracker, document)
			}
			if vm == 0 {
				first = tracker.Current()
			}
			if (first == nil) != (tracker.Current() == nil) || first != nil && first.Digest != tracker.Current().Digest {
				t.Fatalf("VM %d settled on %+v, VM 0 on %+v", vm, tracker.Current(), first)
			}
		}
	})
}

// checkOffer offers a document and checks what must hold after every offer.
func checkOffer(t *rapid.T, tracker *config.RevisionTracker, document []byte) {
	before := tracker.Current()
	changed, err := tracker.Offer(document)
	after := tracker.Current()
	if changed != (before != after) {
		t.Fatalf("changed = %v, but the configuration went from %+v to %+v", changed, before, after)
	}
	var invalid *config.InvalidDocumentError
	if errors.As(err, &invalid) && changed {
		t.Fatalf("an invalid document was accepted")
	}
	if before != nil && after.Revision < before.Revision {
		t.Fatalf("the revision decreased from %d to %d", before.Revision, after.Revision)
	}
	if after != nil && tracker.IsBehind(after.Revision, after.Digest) {
		t.Fatalf("the accepted document counts as newer than itself")
	}
}
