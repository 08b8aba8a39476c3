package fair_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/anvilfork/anvilfork/core/fair"
)

type item = fair.Item[string]

// pushItems queues n items of a workspace.
func pushItems(q *fair.Queue[string], workspace string, n int) {
	for range n {
		q.Push(workspace, &item{Value: workspace})
	}
}

// serveItems serves up to n items and counts them by workspace.
func serveItems(q *fair.Queue[string], n int) map[string]int {
	got := map[string]int{}
	for range n {
		q.BeginPass()
		i := q.Head()
		if i == nil {
			break
		}
		q.Take(i)
		got[i.Value]++
	}
	return got
}

// Guards against a workspace that is served more or less than its weight grants
// while others wait, or that saves up service while it is idle.
func TestServiceFollowsWeights(t *testing.T) {
	cases := []struct {
		name    string
		weights map[string]int
		prepare func(*fair.Queue[string])
		served  int
		want    map[string]int
	}{
		{name: "equal", served: 30, want: map[string]int{"a": 10, "b": 10, "c": 10},
			prepare: func(q *fair.Queue[string]) { pushItems(q, "a", 64); pushItems(q, "b", 10); pushItems(q, "c", 20) }},
		{name: "weights", weights: map[string]int{"a": 1, "b": 3}, served: 40, want: map[string]int{"a": 10, "b": 30},
			prepare: func(q *fair.Queue[string]) { pushItems(q, "a", 60); pushItems(q, "b", 60) }},
		{name: "idle before", served: 20, want: map[string]int{"a": 10, "b": 10},
			prepare: func(q *fair.Queue[string]) {
				pushItems(q, "a", 50)
				serveItems(q, 30)
				pushItems(q, "a", 30)
				pushItems(q, "b", 30)
			}},
		{name: "unused part goes to others", served: 30, want: map[string]int{"a": 28, "b": 2},
			prepare: func(q *fair.Queue[string]) { pushItems(q, "a", 60); pushItems(q, "b", 2) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := fair.New[string](64)
			q.SetWeights(c.weights)
			c.prepare(q)
			assert.DeepEqual(t, serveItems(q, c.served), c.want)
		})
	}
}

// Guards against an unbounded queue, and against one workspace that uses up the
// room of another.
func TestLimit(t *testing.T) {
	q := fair.New[string](2)
	pushItems(q, "a", 5)
	assert.Equal(t, q.Waiting("a"), 2)
	assert.Assert(t, !q.Push("a", &item{}))
	assert.Assert(t, q.Push("b", &item{}))
	assert.Equal(t, q.Len(), 3)
}

// Guards against a retried item that loses its place or is charged twice.
func TestPushFront(t *testing.T) {
	q := fair.New[string](64)
	pushItems(q, "a", 3)
	pushItems(q, "b", 3)
	q.BeginPass()
	first := q.Head()
	q.Take(first)
	q.PushFront(first.Value, first)
	q.BeginPass()
	assert.Equal(t, q.Head(), first)
	assert.DeepEqual(t, serveItems(q, 4), map[string]int{"a": 2, "b": 2})
}

// Guards against a workspace that cannot be served and blocks the others.
func TestSkip(t *testing.T) {
	q := fair.New[string](64)
	pushItems(q, "a", 2)
	pushItems(q, "b", 2)
	q.BeginPass()
	blocked := q.Head()
	q.Skip(blocked)
	other := q.Head()
	assert.Assert(t, other.Value != blocked.Value)
	q.Skip(other)
	assert.Assert(t, q.Head() == nil)
	q.BeginPass()
	assert.Equal(t, q.Head(), blocked)
}

// Guards against items that are lost, duplicated or left over after any sequence
// of operations.
func TestQueueKeepsEveryItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fair.New[string](8)
		waiting, taken := map[*item]string{}, map[*item]string{}
		for range rapid.IntRange(0, 200).Draw(t, "operations") {
			w := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "workspace"))
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1:
				i := &item{Value: w}
				if full := q.Waiting(w) >= 8; q.Push(w, i) == full {
					t.Fatalf("push into a queue that is full: %v", full)
				} else if !full {
					waiting[i] = w
				}
			case 2:
				q.BeginPass()
				if i := q.Head(); i != nil {
					q.Take(i)
					taken[i] = waiting[i]
					delete(waiting, i)
				}
			case 3:
				q.Each(func(i *item) {
					if i.Value == w {
						q.Remove(i)
						delete(waiting, i)
					}
				})
			case 4:
				for i := range taken {
					q.PushFront(i.Value, i)
					waiting[i] = i.Value
					delete(taken, i)
				}
			}
			seen := 0
			q.Each(func(i *item) {
				seen++
				if waiting[i] != i.Value {
					t.Fatalf("the queue holds an item that was removed or served")
				}
			})
			if seen != len(waiting) || q.Len() != seen {
				t.Fatalf("%d items in the queue, want %d, length %d", seen, len(waiting), q.Len())
			}
		}
	})
}
