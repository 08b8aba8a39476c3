package standin

import (
	"context"
	"net"
	"net/http"
	"time"
)

// connNumberKey is the context key of the number of a request's connection.
type connNumberKey struct{}

// connContext numbers the connections in the order in which they are accepted,
// starting at 1.
func (t *Target) connContext(ctx context.Context, _ net.Conn) context.Context {
	var n int
	t.actor.do(func() {
		t.counts.Opened++
		n = t.counts.Opened
	})
	return context.WithValue(ctx, connNumberKey{}, uint64(n))
}

func (t *Target) connState(_ net.Conn, state http.ConnState) {
	t.actor.do(func() {
		switch state {
		case http.StateNew:
			t.counts.Conns++
			t.counts.MaxConns = max(t.counts.MaxConns, t.counts.Conns)
		case http.StateClosed, http.StateHijacked:
			t.counts.Conns--
		}
	})
}

// awaitIfSilent blocks a request on a silent connection until the connection
// closes and returns true. On other connections it returns false at once.
func (t *Target) awaitIfSilent(r *http.Request) bool {
	n, _ := r.Context().Value(connNumberKey{}).(uint64)
	var silentUpTo uint64
	t.actor.do(func() { silentUpTo = t.silentUpTo })
	if n > silentUpTo {
		return false
	}
	<-r.Context().Done()
	return true
}

// runToCompletion ignores a cancellation and a closed connection for the duration
// of a request, and counts it as late if either happened.
func (t *Target) runToCompletion(r *http.Request, run attemptRun) {
	time.Sleep(run.delay)
	select {
	case <-run.stop:
	case <-r.Context().Done():
	default:
		return
	}
	t.actor.do(func() { t.counts.Late++ })
}
