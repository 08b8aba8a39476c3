// Package daemon runs one VM: tasks that each own one state machine of the core or
// one set of sockets and exchange typed messages. It is given Settings; Start
// returns the running VM, which serves peers, callers and operators until Stop or
// Kill.
package daemon

import (
	"context"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

const idleWait = time.Hour // timer period of a task without a deadline

// taskMachine is what loop drives: a task's handlers for messages, views and time.
// next returns when tick is due, zero for never.
type taskMachine[M any] interface {
	handle(now time.Time, msg M)
	setView(now time.Time, v *fleet.View)
	tick(now time.Time)
	next() time.Time
}

// loop drives one task with messages from its inbox, views from the control task
// and the timer that its handlers ask for. It returns when ctx ends.
func loop[M any](ctx context.Context, inbox <-chan M, views <-chan *fleet.View, r taskMachine[M]) {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		timer.Reset(untilDue(r.next()))
		select {
		case <-ctx.Done():
			return
		case msg := <-inbox:
			r.handle(time.Now(), msg)
		case v := <-views:
			r.setView(time.Now(), v)
		case <-timer.C:
			r.tick(time.Now())
		}
	}
}

// untilDue returns the time to wait for t, idleWait when t is zero.
func untilDue(t time.Time) time.Duration {
	if t.IsZero() {
		return idleWait
	}
	return max(time.Until(t), 0)
}

// offerView puts the newest view into a channel of capacity one and replaces an
// older one that the receiver has not read.
func offerView(ch chan *fleet.View, v *fleet.View) {
	select {
	case <-ch:
	default:
	}
	select {
	case ch <- v:
	default:
	}
}

// trySend sends without waiting and reports whether there was room.
func trySend[M any](ch chan<- M, msg M) bool {
	select {
	case ch <- msg:
		return true
	default:
		return false
	}
}

// send waits for room in ch; the message is dropped when ctx ends first.
func send[M any](ctx context.Context, ch chan<- M, msg M) {
	select {
	case ch <- msg:
	case <-ctx.Done():
	}
}

// callConcurrently runs call for every message in a goroutine of its own, so that
// one unresponsive peer does not delay calls to the others. It returns when ctx ends.
func callConcurrently[M any](ctx context.Context, inbox <-chan M, call func(M)) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-inbox:
			go call(msg)
		}
	}
}
