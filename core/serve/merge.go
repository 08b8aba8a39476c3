package serve

import (
	"bytes"
	"slices"
)

// recordSize is the length of a record in the answers of shards, in bytes.
const recordSize = 16

// merge returns the k greatest records of all parts in descending order. Equal
// records all count. Trailing bytes shorter than a record are ignored.
func merge(k int, parts [][]byte) []byte {
	var best [][]byte // sorted in descending order, at most k records
	for _, p := range parts {
		for ; len(p) >= recordSize; p = p[recordSize:] {
			r := p[:recordSize]
			if len(best) == k && bytes.Compare(r, best[k-1]) <= 0 {
				continue
			}
			i, _ := slices.BinarySearchFunc(best, r, func(have, want []byte) int { return bytes.Compare(want, have) })
			best = slices.Insert(best, i, r)
			if len(best) > k {
				best = best[:k]
			}
		}
	}
	return slices.Concat(best...)
}
