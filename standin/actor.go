package standin

import "sync"

// actor executes operations on the state of a fake one at a time. Only its
// goroutine accesses that state.
type actor struct {
	operations chan func()
	stopped    chan struct{}
	once       sync.Once
}

func newActor() *actor {
	a := &actor{operations: make(chan func()), stopped: make(chan struct{})}
	go a.run()
	return a
}

func (a *actor) run() {
	for {
		select {
		case op := <-a.operations:
			op()
		case <-a.stopped:
			return
		}
	}
}

// do executes op in the actor's goroutine and waits until it returns. After stop
// it does nothing. Calling do from within op blocks forever.
func (a *actor) do(op func()) {
	done := make(chan struct{})
	wrapped := func() {
		op()
		close(done)
	}
	select {
	case a.operations <- wrapped:
		<-done
	case <-a.stopped:
	}
}

// stop ends the goroutine. Further calls do nothing.
func (a *actor) stop() { a.once.Do(func() { close(a.stopped) }) }
