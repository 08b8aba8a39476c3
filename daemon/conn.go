package daemon

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/route"
)

const dialTimeout = time.Second

// connHandle is how the owner task controls a connection task.
type connHandle struct {
	attempts chan route.StartAttempt
	stop     context.CancelFunc
}

// start passes an attempt to the connection task. It does not block: the shard's
// state machine starts one attempt at a time on a connection, and the channel holds
// one.
func (h *connHandle) start(a route.StartAttempt) { h.attempts <- a }

// unstarted returns an attempt that the connection task had not received when it
// ended; nothing of it was written.
func (h *connHandle) unstarted() (route.StartAttempt, bool) {
	select {
	case a := <-h.attempts:
		return a, true
	default:
		return route.StartAttempt{}, false
	}
}

// connTask owns one connection to a target and runs one attempt at a time on it.
type connTask struct {
	shard    fleet.ShardID
	target   string
	id       route.ConnID
	attempts <-chan route.StartAttempt
	owner    chan<- ownerMsg
}

// openConn starts a connection task, which dials the target.
func openConn(ctx context.Context, shard fleet.ShardID, a route.OpenConn, owner chan<- ownerMsg) *connHandle {
	connCtx, stop := context.WithCancel(ctx)
	attempts := make(chan route.StartAttempt, 1)
	t := &connTask{shard: shard, target: a.Target, id: a.Conn, attempts: attempts, owner: owner}
	go t.run(ctx, connCtx)
	return &connHandle{attempts: attempts, stop: stop}
}

// run reports with the context of the process, not with ctx: the end of an attempt
// and of the connection must reach the shard's state machine also when that closed
// the connection.
func (t *connTask) run(processCtx, ctx context.Context) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", t.target)
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		t.report(processCtx, route.ConnClosed{Target: t.target, Conn: t.id, Refused: refused})
		return
	}
	c := newHTTPConn(conn, t.target)
	t.report(processCtx, route.ConnOpened{Target: t.target, Conn: t.id})
	t.serve(processCtx, ctx, c)
	c.close()
	t.report(processCtx, route.ConnClosed{Target: t.target, Conn: t.id})
}

// serve runs attempts until the connection ends.
func (t *connTask) serve(processCtx, ctx context.Context, c *httpConn) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.answers: // the target closed the connection, or sent an answer without a request
			return
		case a := <-t.attempts:
			done, usable := c.run(ctx, a)
			t.report(processCtx, &done)
			if !usable {
				return
			}
		}
	}
}

func (t *connTask) report(ctx context.Context, ev route.Event) {
	send(ctx, t.owner, ownerMsg(shardMsg{shard: t.shard, event: ev}))
}
