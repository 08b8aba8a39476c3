package bytebudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000_000, 0)

// Guards against slow peers that hold all memory, and against a peer that keeps up
// and is ended for another one.
func TestSlowHoldersAreEndedFirst(t *testing.T) {
	b := New(100)
	reserve := func(at time.Duration, h Holder, total int64) ([]Holder, bool) {
		return b.Reserve(epoch.Add(at), h, total, 0)
	}
	for h, at := range []time.Duration{100 * time.Millisecond, 0, 1500 * time.Millisecond} {
		_, granted := reserve(at, Holder(h), 30)
		assert.Assert(t, granted)
	}
	ended, granted := reserve(1600*time.Millisecond, 3, 50)
	assert.Assert(t, granted)
	assert.DeepEqual(t, ended, []Holder{1, 0}) // the slowest first
	ended, granted = reserve(1700*time.Millisecond, 4, 50)
	assert.Assert(t, !granted && ended == nil) // nobody is slow
	assert.Equal(t, b.Used(), int64(80))
	b.Release(3)
	b.Release(3)
	assert.Equal(t, b.Used(), int64(30))
}

// Guards against a budget that is exceeded or leaks.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := New(1000), epoch
		held := make(map[Holder]int64)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			h := Holder(rapid.IntRange(0, 9).Draw(t, "holder"))
			if rapid.Bool().Draw(t, "release") {
				b.Release(h)
				delete(held, h)
			} else {
				total := rapid.Int64Range(1, 1500).Draw(t, "total")
				ended, granted := b.Reserve(now, h, total, 0)
				for _, e := range ended {
					assert.Assert(t, e != h)
					delete(held, e)
				}
				if granted {
					held[h] = max(held[h], total)
				}
			}
			var sum int64
			for _, n := range held {
				sum += n
			}
			assert.Equal(t, b.Used(), sum)
			assert.Assert(t, sum <= 1000)
		}
	})
}
