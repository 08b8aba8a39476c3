package mirror

import (
	"cmp"
	"slices"
)

// maxKnownEras bounds the eras that are remembered. Entries of earlier ones are kept
// as long as they count, but their removals are forgotten.
const maxKnownEras = 16

// Known holds the last version of each earlier era that a copy has contained, ascending
// by era. It tells an entry that the copy never had from one that it dropped.
type Known []Version

// Covers reports whether a copy that knew this much has had a version.
func (k Known) Covers(v Version) bool {
	i, found := k.find(v.Era)
	return found && k[i].Revision >= v.Revision
}

// CoversAll reports whether k covers every version of o.
func (k Known) CoversAll(o Known) bool {
	return !slices.ContainsFunc(o, func(v Version) bool { return !k.Covers(v) })
}

// With returns k with a version added. It does not modify k.
func (k Known) With(v Version) Known {
	if k.Covers(v) {
		return k
	}
	k = slices.Clone(k)
	if i, found := k.find(v.Era); found {
		k[i] = v
	} else {
		k = slices.Insert(k, i, v)
	}
	return k[max(len(k)-maxKnownEras, 0):]
}

func (k Known) find(era uint64) (int, bool) {
	return slices.BinarySearchFunc(k, era, func(v Version, era uint64) int { return cmp.Compare(v.Era, era) })
}
