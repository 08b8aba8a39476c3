package gateway

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/anvilfork/anvilfork/core/serve"
)

const (
	connectTimeout = 800 * time.Millisecond // a target that is up accepts within milliseconds
	readBuffer     = 4 << 10                // bytes; most answers fit
	probeIdle      = 2 * time.Second        // keep-alive probes find connections that went silent
	probeInterval  = time.Second
	probeCount     = 3
	sentWait       = 5 * time.Millisecond // for the writing goroutine to go on after the answer to a request
)

// targetConn is the handle that the engine task keeps of a connection task.
type targetConn struct {
	jobs   chan *serve.StartAttempt
	cancel context.CancelFunc
}

// start hands an attempt to the connection task. The engine starts one at a
// time, so that there is always room.
func (c *targetConn) start(a *serve.StartAttempt) { c.jobs <- a }

func (c *targetConn) close() { c.cancel() }

// dialTarget starts the task that owns one connection to a target.
func dialTarget(id serve.ConnID, address string, codec TargetCodec, inbox chan<- engineMsg) *targetConn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &targetConn{jobs: make(chan *serve.StartAttempt, 1), cancel: cancel}
	t := &connTask{id: id, codec: codec, inbox: inbox, jobs: c.jobs, current: make(chan *serve.StartAttempt, 1), sent: make(chan struct{}, 1)}
	go t.run(ctx, address)
	return c
}

// connTask owns a connection. Its goroutine writes requests; a second one reads
// answers and notices when the target closes.
type connTask struct {
	id      serve.ConnID
	codec   TargetCodec
	inbox   chan<- engineMsg
	jobs    <-chan *serve.StartAttempt
	current chan *serve.StartAttempt // being written or not answered yet
	sent    chan struct{}            // the current request is written whole
}

func (t *connTask) run(ctx context.Context, address string) {
	conn, err := t.dial(ctx, address)
	if err != nil {
		t.report(ctx, serve.ConnClosed{Conn: t.id, Refused: errors.Is(err, syscall.ECONNREFUSED), Cause: err.Error()})
		return
	}
	defer conn.Close()
	t.report(ctx, serve.ConnOpened{Conn: t.id})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		t.read(ctx, conn)
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case a := <-t.jobs:
			t.write(ctx, conn, a)
		}
	}
}

func (t *connTask) dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
	}}
	return d.DialContext(ctx, "tcp4", address)
}

// report sends an event to the engine unless the engine has closed the connection.
func (t *connTask) report(ctx context.Context, ev serve.Event) {
	select {
	case t.inbox <- engineMsg{event: ev}:
	case <-ctx.Done():
	}
}

func (t *connTask) write(ctx context.Context, conn net.Conn, a *serve.StartAttempt) {
	counted := &countingWriter{conn: conn}
	t.current <- a
	if err := conn.SetWriteDeadline(time.Now().Add(a.TimeLeft)); err != nil {
		t.failWrite(ctx, a, counted, err)
		return
	}
	if err := t.codec.Write(counted, a); err != nil {
		t.failWrite(ctx, a, counted, err)
		return
	}
	t.sent <- struct{}{}
}

func (t *connTask) failWrite(ctx context.Context, a *serve.StartAttempt, w *countingWriter, err error) {
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

// read reports every answer. Bytes that no request waits for end the connection.
func (t *connTask) read(ctx context.Context, conn net.Conn) {
	// Closing ends the read below. The connection is given up then, so that
	// nothing is left to do about an error.
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	br := bufio.NewReaderSize(conn, readBuffer)
	for {
		if _, err := br.Peek(1); err != nil {
			t.ended(ctx, err.Error())
			return
		}
		var a *serve.StartAttempt
		select {
		case a = <-t.current:
		default:
			t.report(ctx, serve.ConnClosed{Conn: t.id, Cause: "the target sent bytes that belong to no request"})
			return
		}
		done := t.codec.Read(br, a)
		done.Attempt, done.Conn = a.Attempt, t.id
		done.Reusable = done.Reusable && br.Buffered() == 0 && t.requestSent()
		t.report(ctx, done)
		if !done.Reusable {
			return
		}
	}
}

// requestSent reports whether the request was sent whole. A target may answer
// before it has read a long body, and would take another request for its rest.
func (t *connTask) requestSent() bool {
	select {
	case <-t.sent: // as a rule
		return true
	default:
	}
	select {
	case <-t.sent:
		return true
	case <-time.After(sentWait):
		return false
	}
}

// ended reports the end of the connection, and of the attempt that is on it.
func (t *connTask) ended(ctx context.Context, cause string) {
	select {
	case a := <-t.current:
		t.report(ctx, serve.AttemptDone{Attempt: a.Attempt, Conn: t.id, Kind: serve.ConnLost, Cause: cause})
	default:
		t.report(ctx, serve.ConnClosed{Conn: t.id, Cause: cause})
	}
}
