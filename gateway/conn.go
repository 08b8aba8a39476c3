package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/anvilfork/anvilfork/core/serve"
	"github.com/anvilfork/anvilfork/internal/http1"
)

const (
	connectTimeout    = 800 * time.Millisecond // a target that is up accepts within milliseconds
	keepAliveIdle     = 2 * time.Second        // keep-alive probes detect unresponsive connections
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	writtenTimeout    = 5 * time.Millisecond // for the writing goroutine to signal the end of the write once the answer is read
)

// targetConn is the engine task's handle of a connection task.
type targetConn struct {
	attempts chan *serve.StartAttempt
	cancel   context.CancelFunc
}

// start hands an attempt to the connection task. The engine runs one attempt at
// a time on a connection, so that start never blocks.
func (c *targetConn) start(a *serve.StartAttempt) { c.attempts <- a }

// close ends the connection task, which then reports nothing more.
func (c *targetConn) close() { c.cancel() }

// dialTarget starts the task that opens and owns one connection to a target.
func dialTarget(id serve.ConnID, address string, codec TargetCodec, inbox chan<- engineMsg, memory chan<- memoryMsg) *targetConn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &targetConn{attempts: make(chan *serve.StartAttempt, 1), cancel: cancel}
	t := &connTask{id: id, codec: codec, inbox: inbox, memory: memory, attempts: c.attempts, current: make(chan *serve.StartAttempt, 1), written: make(chan struct{}, 1)}
	go t.run(ctx, address)
	return c
}

// connTask owns a connection. Its goroutine writes requests; a second goroutine
// reads answers and detects when the target closes the connection.
type connTask struct {
	id       serve.ConnID
	codec    TargetCodec
	inbox    chan<- engineMsg
	memory   chan<- memoryMsg
	attempts <-chan *serve.StartAttempt
	current  chan *serve.StartAttempt // the attempt that is being written or not answered yet
	written  chan struct{}            // signals that the current request is completely written
}

func (t *connTask) run(ctx context.Context, address string) {
	conn, err := t.dial(ctx, address)
	if err != nil {
		t.report(ctx, serve.ConnClosed{Conn: t.id, Refused: errors.Is(err, syscall.ECONNREFUSED), Cause: err.Error()})
		return
	}
	defer conn.Close()
	t.report(ctx, serve.ConnOpened{Conn: t.id})
	readDone := make(chan struct{})
	go func() {
		defer close(readDone)
		t.read(ctx, conn)
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-readDone:
			return
		case a := <-t.attempts:
			t.write(ctx, conn, a)
		}
	}
}

func (t *connTask) dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	return d.DialContext(ctx, "tcp4", address)
}

// report sends an event to the engine task, unless that task has closed the
// connection.
func (t *connTask) report(ctx context.Context, ev serve.Event) {
	select {
	case t.inbox <- engineMsg{event: ev}:
	case <-ctx.Done():
	}
}

// write sends the request of an attempt within the attempt's time left.
func (t *connTask) write(ctx context.Context, conn net.Conn, a *serve.StartAttempt) {
	cw := &countingWriter{conn: conn}
	t.current <- a
	if err := conn.SetWriteDeadline(time.Now().Add(a.TimeLeft)); err != nil {
		t.reportWriteFailure(ctx, a, cw, err)
		return
	}
	if err := t.codec.Write(cw, a); err != nil {
		t.reportWriteFailure(ctx, a, cw, err)
		return
	}
	t.written <- struct{}{}
}

// reportWriteFailure reports an attempt whose request could not be written
// completely. It is NotWritten if the connection accepted no byte.
func (t *connTask) reportWriteFailure(ctx context.Context, a *serve.StartAttempt, w *countingWriter, err error) {
	kind := serve.ConnLost
	if w.written == 0 {
		kind = serve.NotWritten
	}
	t.report(ctx, serve.AttemptDone{Attempt: a.Attempt, Conn: t.id, Kind: kind, Cause: err.Error()})
}

// countingWriter counts the bytes that the connection accepted.
type countingWriter struct {
	conn    net.Conn
	written int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.conn.Write(p)
	w.written += n
	return n, err
}

// read reports every answer. Bytes without a current attempt end the connection.
func (t *connTask) read(ctx context.Context, conn net.Conn) {
	// Closing the connection unblocks the read below. The error is ignored, since
	// the connection is not used any more.
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	br := http1.NewReader(conn)
	for {
		if _, err := br.Peek(1); err != nil {
			t.reportEnd(ctx, err.Error())
			return
		}
		var a *serve.StartAttempt
		select {
		case a = <-t.current:
		default:
			t.report(ctx, serve.ConnClosed{Conn: t.id, Cause: "the target sent bytes that belong to no request"})
			return
		}
		// A read deadline in the past ends the answer that is being read.
		hold := newMemoryHold(t.memory, ctx.Done(), 0, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
		done := t.codec.Read(&AnswerReader{Reader: br, Reserve: hold.reserve}, a)
		hold.release()
		if hold.wasEnded() { // the answer may have been read before
			_ = conn.SetReadDeadline(time.Time{})
		}
		done.Attempt, done.Conn = a.Attempt, t.id
		done.Reusable = done.Reusable && br.Buffered() == 0 && t.requestWritten()
		t.report(ctx, done)
		if !done.Reusable {
			return
		}
	}
}

// requestWritten reports whether the request was written completely. A target may
// answer before it has read a long body, and would take the next request for the
// remainder of that body.
func (t *connTask) requestWritten() bool {
	select {
	case <-t.written: // the usual case needs no timer
		return true
	default:
	}
	select {
	case <-t.written:
		return true
	case <-time.After(writtenTimeout):
		return false
	}
}

// reportEnd reports the end of the connection: as a lost attempt if there is a
// current one, and as a closed connection otherwise.
func (t *connTask) reportEnd(ctx context.Context, cause string) {
	select {
	case a := <-t.current:
		t.report(ctx, serve.AttemptDone{Attempt: a.Attempt, Conn: t.id, Kind: serve.ConnLost, Cause: cause})
	default:
		t.report(ctx, serve.ConnClosed{Conn: t.id, Cause: cause})
	}
}
