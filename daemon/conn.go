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

// connHandle is the home task's end of a connection task.
type connHandle struct {
	work chan route.StartAttempt
	stop context.CancelFunc
}

// start hands over an attempt; the group machine starts one at a time.
func (h *connHandle) start(a route.StartAttempt) { h.work <- a }

// untaken returns an attempt that the connection task, which has ended, did not
// take; nothing of it was written.
func (h *connHandle) untaken() (route.StartAttempt, bool) {
	select {
	case a := <-h.work:
		return a, true
	default:
		return route.StartAttempt{}, false
	}
}

// connTask owns one connection to a target and runs one attempt at a time on it.
type connTask struct {
	group  fleet.ShardID
	target string
	id     route.ConnID
	work   <-chan route.StartAttempt
	home   chan<- homeMsg
}

func openConn(ctx context.Context, group fleet.ShardID, a route.OpenConn, home chan<- homeMsg) *connHandle {
	connCtx, stop := context.WithCancel(ctx)
	work := make(chan route.StartAttempt, 1)
	t := &connTask{group: group, target: a.Target, id: a.Conn, work: work, home: home}
	go t.run(ctx, connCtx)
	return &connHandle{work: work, stop: stop}
}

// run reports with the process's context: the end of an attempt and of the
// connection must reach the group machine also when it asked for the end.
func (t *connTask) run(process, ctx context.Context) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", t.target)
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		t.report(process, route.ConnClosed{Target: t.target, Conn: t.id, Refused: refused})
		return
	}
	x := newExchange(conn, t.target)
	t.report(process, route.ConnOpened{Target: t.target, Conn: t.id})
	t.serve(process, ctx, x)
	x.close()
	t.report(process, route.ConnClosed{Target: t.target, Conn: t.id})
}

// serve runs attempts until the connection ends.
func (t *connTask) serve(process, ctx context.Context, x *exchange) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.answers: // the target closed the connection, or sent what nobody asked for
			return
		case a := <-t.work:
			done, usable := x.run(ctx, a)
			t.report(process, &done)
			if !usable {
				return
			}
		}
	}
}

func (t *connTask) report(ctx context.Context, ev route.Event) {
	send(ctx, t.home, homeMsg(groupMsg{group: t.group, event: ev}))
}
