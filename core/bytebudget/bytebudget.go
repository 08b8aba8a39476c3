// Package bytebudget decides which connections may hold memory for bytes that the
// other side sends or takes at its own pace. When the memory runs out, those that
// have held theirs longest are ended first, so that a slow peer does not keep
// memory from the others.
package bytebudget

import (
	"cmp"
	"slices"
	"time"
)

// Holder identifies a message that is read from or written to a connection.
type Holder uint64

// minPatience is the time after which a holder counts as slow and may be ended for
// another one, unless it may take longer. Messages of peers that keep up take
// milliseconds.
const minPatience = time.Second

// Budget is the memory that all holders together may use. It is not safe for
// concurrent use.
type Budget struct {
	limit   int64 // bytes
	used    int64 // bytes
	holders map[Holder]*holding
}

type holding struct {
	bytes  int64
	since  time.Time
	slowAt time.Time // when it counts as slow
}

// New returns a Budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: make(map[Holder]*holding)}
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 { return b.used }

// Reserve raises the memory of a holder to total bytes. It returns false, and
// changes nothing, if that much is not left even without the slow holders. Those
// that it returns have lost their memory and are to be ended. patience is the time that
// a new holder may take before it counts as slow, if that is more than a second.
func (b *Budget) Reserve(now time.Time, h Holder, total int64, patience time.Duration) (ended []Holder, granted bool) {
	held := b.holders[h]
	more := total
	if held != nil {
		more -= held.bytes
	}
	if more <= 0 {
		return nil, true
	}
	slow, reclaimable := b.slowHolders(now, h)
	if b.used+more-reclaimable > b.limit {
		return nil, false
	}
	for _, s := range slow {
		if b.used+more <= b.limit {
			break
		}
		b.Release(s)
		ended = append(ended, s)
	}
	if held == nil {
		held = &holding{since: now, slowAt: now.Add(max(patience, minPatience))}
		b.holders[h] = held
	}
	held.bytes += more
	b.used += more
	return ended, true
}

// Release gives the memory of a holder back. It does nothing if there is none.
func (b *Budget) Release(h Holder) {
	if held := b.holders[h]; held != nil {
		b.used -= held.bytes
		delete(b.holders, h)
	}
}

// slowHolders returns the slow holders except one, the slowest first, and the bytes
// that they hold.
func (b *Budget) slowHolders(now time.Time, except Holder) (slow []Holder, bytes int64) {
	for h, held := range b.holders {
		if h != except && !now.Before(held.slowAt) {
			slow = append(slow, h)
			bytes += held.bytes
		}
	}
	slices.SortFunc(slow, func(x, y Holder) int {
		return cmp.Or(b.holders[x].since.Compare(b.holders[y].since), cmp.Compare(x, y))
	})
	return slow, bytes
}
