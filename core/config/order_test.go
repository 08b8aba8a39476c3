package config_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/anvilfork/anvilfork/core/config"
)

// variant returns a valid text of a revision; texts of one revision differ by their comment.
func variant(revision, content int) []byte {
	return fmt.Appendf(nil, "revision = %d\n[fleet]\nmax_vms = 4\n# %d\n", revision, content)
}

// sorted returns two texts of a revision, the one with the smaller digest first.
func sorted(t testing.TB, revision int) (small, large []byte) {
	a, b := variant(revision, 1), variant(revision, 2)
	if parse(t, string(a)).Digest.String() < parse(t, string(b)).Digest.String() {
		return a, b
	}
	return b, a
}

// Guards against an accepted text that reverts, and against VMs that settle on
// different contents of one revision.
func TestOrderOffer(t *testing.T) {
	small, large := sorted(t, 5)
	bad := []byte("revision = 9\n")
	cases := []struct {
		name    string
		offers  [][]byte
		changed bool   // by the last offer
		err     any    // type of the last error, nil for none
		want    []byte // accepted in the end
	}{
		{"first", [][]byte{variant(1, 0)}, true, nil, variant(1, 0)},
		{"newer wins", [][]byte{variant(1, 0), variant(2, 0)}, true, nil, variant(2, 0)},
		{"stale", [][]byte{variant(2, 0), variant(1, 0)}, false, new(*config.StaleRevisionError), variant(2, 0)},
		{"same again", [][]byte{variant(2, 0), variant(2, 0)}, false, nil, variant(2, 0)},
		{"conflict, smaller digest last", [][]byte{large, small}, true, new(*config.RevisionConflictError), small},
		{"conflict, smaller digest first", [][]byte{small, large}, false, new(*config.RevisionConflictError), small},
		{"bad text keeps the last accepted", [][]byte{variant(2, 0), bad}, false, new(*config.InvalidDocumentError), variant(2, 0)},
		{"bad text only", [][]byte{bad}, false, new(*config.InvalidDocumentError), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var o config.RevisionTracker
			var changed bool
			var err error
			for _, text := range c.offers {
				changed, err = o.Offer(text)
			}
			assert.Equal(t, changed, c.changed)
			if c.err == nil {
				assert.NilError(t, err)
			} else {
				assert.Assert(t, errors.As(err, c.err), "%v", err)
			}
			if c.want == nil {
				assert.Assert(t, o.Current() == nil)
				return
			}
			assert.DeepEqual(t, o.Current().Document, c.want)
		})
	}
}

// Guards against a conflict report that names the wrong content as kept.
func TestConflictNamesKeptAndDropped(t *testing.T) {
	small, large := sorted(t, 5)
	for _, offers := range [][][]byte{{small, large}, {large, small}} {
		var o config.RevisionTracker
		_, err := o.Offer(offers[0])
		assert.NilError(t, err)
		_, err = o.Offer(offers[1])
		var conflict *config.RevisionConflictError
		assert.Assert(t, errors.As(err, &conflict))
		assert.DeepEqual(t, *conflict, config.RevisionConflictError{
			Revision: 5, Kept: parse(t, string(small)).Digest, Dropped: parse(t, string(large)).Digest,
		})
	}
}

// Guards against VMs that keep fetching a text they will not take, or that miss one.
func TestOrderBehind(t *testing.T) {
	small, large := sorted(t, 5)
	digest := func(text []byte) config.Digest { return parse(t, string(text)).Digest }
	cases := []struct {
		name     string
		held     []byte
		revision uint64
		digest   config.Digest
		want     bool
	}{
		{"holds none, peer neither", nil, 0, config.Digest{}, false},
		{"holds none", nil, 5, digest(small), true},
		{"newer", large, 6, digest(variant(6, 0)), true},
		{"older", large, 4, digest(variant(4, 0)), false},
		{"same", large, 5, digest(large), false},
		{"conflict, peer's wins", large, 5, digest(small), true},
		{"conflict, own wins", small, 5, digest(large), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var o config.RevisionTracker
			if c.held != nil {
				_, err := o.Offer(c.held)
				assert.NilError(t, err)
			}
			assert.Equal(t, o.Behind(c.revision, c.digest), c.want)
		})
	}
}

// Guards against VMs that saw the same texts in different orders and hold
// different ones, and against a revision that goes down. Bad texts are among
// the offers.
func TestOrderConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) []byte {
			revision := rapid.IntRange(0, 4).Draw(t, "revision") // 0 is a mistake
			return variant(revision, rapid.IntRange(0, 3).Draw(t, "content"))
		}), 1, 12).Draw(t, "texts")
		var settled *config.Config
		for vm := range 3 {
			var o config.RevisionTracker
			for _, text := range rapid.Permutation(texts).Draw(t, "order") {
				offer(t, &o, text)
			}
			if vm == 0 {
				settled = o.Current()
			}
			if (settled == nil) != (o.Current() == nil) || settled != nil && settled.Digest != o.Current().Digest {
				t.Fatalf("VM %d settled on %+v, VM 0 on %+v", vm, o.Current(), settled)
			}
		}
	})
}

// offer checks the rules that hold at every single offer.
func offer(t *rapid.T, o *config.RevisionTracker, text []byte) {
	before := o.Current()
	changed, err := o.Offer(text)
	after := o.Current()
	if changed != (before != after) {
		t.Fatalf("changed = %v, but the text went from %+v to %+v", changed, before, after)
	}
	var invalid *config.InvalidDocumentError
	if errors.As(err, &invalid) && changed {
		t.Fatalf("a bad text was accepted")
	}
	if before != nil && after.Revision < before.Revision {
		t.Fatalf("the revision went from %d down to %d", before.Revision, after.Revision)
	}
	if after != nil && o.Behind(after.Revision, after.Digest) {
		t.Fatalf("the accepted text counts as newer than itself")
	}
}
