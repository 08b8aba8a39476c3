// Package fair provides a queue that divides contended capacity between
// workspaces in proportion to their weights. It is given items by workspace and
// returns the item to serve next.
//
// The queue uses start-time fair queueing: every workspace has a virtual time
// that advances by 1/weight with each item served, and the workspace with the
// smallest virtual time is served next. A workspace that was idle resumes at
// the queue's virtual time, so that it neither saves up service while it is idle
// nor waits for the service that others received meanwhile.
package fair

const defaultWeight = 1 // of a workspace without a weight

// Item is an element of a Queue. The caller owns its memory, so that queueing
// allocates nothing.
type Item[T any] struct {
	Value      T
	flow       *flow[T]
	prev, next *Item[T]
	charged    bool // whether Take advanced the virtual time of its workspace
}

// Queued reports whether the item is in a queue.
func (i *Item[T]) Queued() bool { return i.flow != nil }

// flow is the queue of one workspace.
type flow[T any] struct {
	name          string
	weight        float64
	virtualTime   float64 // virtual time at which the next item starts
	first, last   *Item[T]
	length        int
	activeIndex   int    // index in Queue.active, -1 when the flow is empty
	skippedInPass uint64 // the pass in which Skip was last called for the flow
}

// Queue is a weighted fair queue between workspaces.
type Queue[T any] struct {
	maxPerWorkspace int
	flows           map[string]*flow[T]
	active          []*flow[T] // flows with items
	weights         map[string]int
	virtualTime     float64 // largest start of a served item
	length          int     // items of all flows
	pass            uint64  // counts the calls of BeginPass
}

// New returns a queue that holds at most limit items of one workspace.
func New[T any](limit int) *Queue[T] {
	return &Queue[T]{maxPerWorkspace: limit, flows: make(map[string]*flow[T]), pass: 1}
}

// SetWeights sets the weights by workspace and forgets idle workspaces without a
// weight. The queue keeps the map.
func (q *Queue[T]) SetWeights(weights map[string]int) {
	q.weights = weights
	for name, f := range q.flows {
		f.weight = q.weight(name)
		if _, ok := weights[name]; !ok && f.length == 0 {
			delete(q.flows, name)
		}
	}
}

// weight returns the weight of a workspace, always above zero.
func (q *Queue[T]) weight(workspace string) float64 {
	if w := q.weights[workspace]; w > 0 {
		return float64(w)
	}
	return defaultWeight
}

// Len returns the number of items of all workspaces.
func (q *Queue[T]) Len() int { return q.length }

// Waiting returns the number of items of a workspace.
func (q *Queue[T]) Waiting(workspace string) int {
	if f, ok := q.flows[workspace]; ok {
		return f.length
	}
	return 0
}

// Ahead estimates how many items are served before a new one of workspace: all
// waiting items of that workspace and, of each other workspace, as many as its
// weight gives it in the same time, up to the number that it has waiting.
func (q *Queue[T]) Ahead(workspace string) float64 {
	own, weight := 0, q.weight(workspace)
	if f, ok := q.flows[workspace]; ok {
		own = f.length
	}
	ahead := float64(own)
	for _, f := range q.active {
		if f.name != workspace {
			ahead += min(float64(f.length), float64(own+1)*f.weight/weight)
		}
	}
	return ahead
}

// Push appends an item of workspace. It reports false, and queues nothing, when
// the workspace has as many items as the limit allows.
func (q *Queue[T]) Push(workspace string, i *Item[T]) bool {
	f, ok := q.flows[workspace]
	if !ok {
		f = &flow[T]{name: workspace, weight: q.weight(workspace), activeIndex: -1}
		q.flows[workspace] = f
	}
	if f.length >= q.maxPerWorkspace {
		return false
	}
	q.activate(f)
	i.flow, i.prev, i.next = f, f.last, nil
	if f.last == nil {
		f.first = i
	} else {
		f.last.next = i
	}
	f.last = i
	q.countItem(f)
	return true
}

// PushFront returns an item that was queued before to the front of its
// workspace and refunds the workspace if the item was charged. The limit does
// not apply.
func (q *Queue[T]) PushFront(workspace string, i *Item[T]) {
	f, ok := q.flows[workspace]
	if !ok {
		f = &flow[T]{name: workspace, weight: q.weight(workspace), activeIndex: -1}
		q.flows[workspace] = f
	}
	q.activate(f)
	if i.charged {
		i.charged = false
		f.virtualTime -= 1 / f.weight
	}
	i.flow, i.prev, i.next = f, nil, f.first
	if f.first == nil {
		f.last = i
	} else {
		f.first.prev = i
	}
	f.first = i
	q.countItem(f)
}

// activate adds an empty flow to the active ones, at the queue's virtual time or
// later.
func (q *Queue[T]) activate(f *flow[T]) {
	if f.activeIndex >= 0 {
		return
	}
	f.virtualTime = max(f.virtualTime, q.virtualTime)
	f.activeIndex = len(q.active)
	q.active = append(q.active, f)
}

// countItem updates the lengths after an item was linked into a flow. It also
// cancels a skip of the flow in the current pass.
func (q *Queue[T]) countItem(f *flow[T]) {
	f.length++
	f.skippedInPass = 0
	q.length++
}

// BeginPass starts a new pass, in which no workspace is skipped yet.
func (q *Queue[T]) BeginPass() { q.pass++ }

// Head returns the first item of the workspace to be served next, without
// removing it. It returns nil when all workspaces are empty or skipped in this
// pass.
func (q *Queue[T]) Head() *Item[T] {
	var best *flow[T]
	for _, f := range q.active {
		if f.skippedInPass != q.pass && (best == nil || f.virtualTime < best.virtualTime) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.first
}

// Skip excludes the workspace of an item from Head until the next BeginPass,
// or until an item of that workspace is queued.
func (q *Queue[T]) Skip(i *Item[T]) { i.flow.skippedInPass = q.pass }

// Take removes an item that is served and advances the virtual time of its
// workspace.
func (q *Queue[T]) Take(i *Item[T]) {
	f := i.flow
	q.virtualTime = max(q.virtualTime, f.virtualTime)
	f.virtualTime += 1 / f.weight
	i.charged = true
	q.Remove(i)
}

// Remove removes an item that is not served, without charging its workspace.
func (q *Queue[T]) Remove(i *Item[T]) {
	f := i.flow
	if i.prev == nil {
		f.first = i.next
	} else {
		i.prev.next = i.next
	}
	if i.next == nil {
		f.last = i.prev
	} else {
		i.next.prev = i.prev
	}
	i.flow, i.prev, i.next = nil, nil, nil
	f.length--
	q.length--
	if f.length == 0 {
		q.deactivate(f)
	}
}

// deactivate removes an empty flow from the active ones, whose order changes.
func (q *Queue[T]) deactivate(f *flow[T]) {
	last := q.active[len(q.active)-1]
	q.active[f.activeIndex] = last
	last.activeIndex = f.activeIndex
	q.active[len(q.active)-1] = nil
	q.active = q.active[:len(q.active)-1]
	f.activeIndex = -1
}

// Each calls fn for every item, workspace by workspace. fn may remove the item
// that it is given, and no other.
func (q *Queue[T]) Each(fn func(*Item[T])) {
	for n := len(q.active) - 1; n >= 0; n-- {
		if n >= len(q.active) {
			continue
		}
		for i := q.active[n].first; i != nil; {
			next := i.next
			fn(i)
			i = next
		}
	}
}

// Lengths returns the number of items by workspace, without empty ones.
func (q *Queue[T]) Lengths() map[string]int {
	lengths := make(map[string]int, len(q.active))
	for _, f := range q.active {
		lengths[f.name] = f.length
	}
	return lengths
}
