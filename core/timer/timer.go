// Package timer implements a heap of timers. Each timer is part of its owner's
// memory, so setting and stopping it allocates nothing.
package timer

import "time"

// Timer is a point in time at which its owner is due. The zero value is not
// running.
type Timer[T any] struct {
	At    time.Time
	Owner T
	index int // position in the heap plus one; zero when not in the heap
}

// Running reports whether the timer is in a heap.
func (t *Timer[T]) Running() bool { return t.index > 0 }

// Heap is a binary heap of timers, earliest first.
type Heap[T any] []*Timer[T]

// First returns the earliest timer, or nil if there is none.
func (h Heap[T]) First() *Timer[T] {
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

// Set starts a timer, or moves a running one to another time.
func (h *Heap[T]) Set(t *Timer[T], at time.Time) {
	t.At = at
	if t.index == 0 {
		*h = append(*h, t)
		t.index = len(*h)
	}
	h.up(t.index - 1)
	h.down(t.index - 1)
}

// Remove stops a timer. It does nothing if the timer is not running.
func (h *Heap[T]) Remove(t *Timer[T]) {
	if t.index == 0 {
		return
	}
	i, last := t.index-1, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = 0
	if i < last {
		h.up(i)
		h.down(i)
	}
}

func (h *Heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !(*h)[i].At.Before((*h)[parent].At) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *Heap[T]) down(i int) {
	for {
		earliest := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(*h) && (*h)[child].At.Before((*h)[earliest].At) {
				earliest = child
			}
		}
		if earliest == i {
			return
		}
		h.swap(i, earliest)
		i = earliest
	}
}

func (h *Heap[T]) swap(i, j int) {
	s := *h
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i+1, j+1
}
