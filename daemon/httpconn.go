package daemon

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilfork/anvilfork/core/route"
	"github.com/anvilfork/anvilfork/internal/http1"
)

const (
	maxAnswerBytes  = 4 << 20 // body
	statusCancelled = 499     // the target ended a cancelled attempt; no constant in net/http
)

// Headers of the target protocol.
const (
	headerAttempt      = "Anvilfork-Attempt"
	headerRequestID    = "Anvilfork-Request-Id"
	headerDeadline     = "Anvilfork-Deadline-Ms"
	headerIndexVersion = "Anvilfork-Index-Version"
	headerPartitionMap = "Anvilfork-Partition-Map"
	headerGroup        = "Anvilfork-Group"
	headerWorkspace    = "Anvilfork-Workspace"
	headerBoot         = "Anvilfork-Boot"
)

// targetAnswer is one response of a target. Its status is zero when the connection
// ended without one.
type targetAnswer struct {
	status     int
	header     http.Header
	body       []byte
	badStatus  bool // the response has a status that cannot be used; the status is zero
	truncated  bool // the body ended early or is too long
	closesConn bool // the target closes the connection after it
}

// httpConn speaks HTTP/1.1 on one connection, one request at a time. Unlike
// http.Client it can tell whether any byte of a request was written, and its reader
// notices at once when the target closes an idle connection.
type httpConn struct {
	target  string
	conn    net.Conn
	writer  *bufio.Writer
	written *countingWriter
	answers chan targetAnswer // closed when the connection ends
	closed  chan struct{}     // closed by close
}

// countingWriter counts the bytes that were written to the socket.
type countingWriter struct {
	w io.Writer
	n int
}

func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += n
	return n, err
}

func newHTTPConn(conn net.Conn, target string) *httpConn {
	written := &countingWriter{w: conn}
	c := &httpConn{
		target: target, conn: conn, written: written, writer: bufio.NewWriter(written),
		answers: make(chan targetAnswer), closed: make(chan struct{}),
	}
	go c.read()
	return c
}

func (c *httpConn) close() {
	close(c.closed)
	c.conn.Close()
}

// read sends each answer to c.answers until the connection ends.
func (c *httpConn) read() {
	defer close(c.answers)
	buffered := http1.NewReader(c.conn)
	for {
		a := readAnswer(buffered)
		select {
		case c.answers <- a:
		case <-c.closed:
			return
		}
		if a.status == 0 || a.truncated || a.closesConn {
			return
		}
	}
}

// readAnswer reads one response; its status is zero when there is none.
func readAnswer(r *bufio.Reader) targetAnswer {
	resp, err := http1.ReadResponse(r, http.MethodPost)
	if err != nil {
		var badStatus *http1.StatusError
		return targetAnswer{badStatus: errors.As(err, &badStatus)}
	}
	body, err := http1.ReadBody(resp, maxAnswerBytes, func(int64) error { return nil })
	return targetAnswer{status: resp.StatusCode, header: resp.Header, body: body, truncated: err != nil, closesConn: resp.Close}
}

// run sends one attempt and waits for its answer until ctx ends. It reports whether
// the connection can be used again.
func (c *httpConn) run(ctx context.Context, a route.StartAttempt) (route.AttemptDone, bool) {
	done := route.AttemptDone{Attempt: a.Attempt, Result: route.ResultNotWritten}
	select {
	case <-c.answers: // closed, or an answer without a request, before anything was written
		return done, false
	default:
	}
	c.written.n = 0
	if err := c.write(a); err != nil {
		if c.written.n > 0 {
			done.Result = route.ResultConnLost
		}
		return done, false
	}
	done.Result = route.ResultConnLost
	select {
	case <-ctx.Done():
		return done, false
	case got, ok := <-c.answers:
		if got.badStatus {
			done.Result = route.ResultProtocolViolation
			return done, false
		}
		if !ok || got.status == 0 {
			return done, false
		}
		return got.toAttemptDone(a.Attempt), !got.truncated && !got.closesConn
	}
}

// write writes the request of an attempt; it fails at the sub-request's deadline.
func (c *httpConn) write(a route.StartAttempt) error {
	req, err := c.request(a)
	if err != nil {
		return err
	}
	if err := c.conn.SetWriteDeadline(a.Sub.Deadline); err != nil {
		return err
	}
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

func (c *httpConn) request(a route.StartAttempt) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.target+"/v1/search", bytes.NewReader(a.Sub.Body))
	if err != nil {
		return nil, err
	}
	h := req.Header
	h.Set(headerAttempt, a.Attempt.String())
	h.Set(headerRequestID, a.Sub.RequestID.String())
	h.Set(headerDeadline, strconv.FormatInt(max(time.Until(a.Sub.Deadline).Milliseconds(), 1), 10))
	h.Set(headerIndexVersion, strconv.FormatUint(a.Sub.IndexVersion, 10))
	h.Set(headerPartitionMap, strconv.FormatUint(a.Sub.PartitionMap, 10))
	h.Set(headerGroup, a.Sub.Shard.Shard)
	h.Set(headerWorkspace, a.Sub.Workspace)
	return req, nil
}

// toAttemptDone classifies an answer to an attempt. An answer that names another
// attempt is a mismatch, whatever else it says.
func (a *targetAnswer) toAttemptDone(id route.AttemptID) route.AttemptDone {
	done := route.AttemptDone{Attempt: id, BootID: a.header.Get(headerBoot)}
	switch {
	case a.header.Get(headerAttempt) != id.String():
		done.Result, done.BootID = route.ResultMismatch, ""
	case a.status == http.StatusConflict:
		done.Result = route.ResultVersionGone
	case a.status == http.StatusServiceUnavailable:
		done.Result = route.ResultShed
	case a.status == statusCancelled:
		done.Result = route.ResultCancelled
	case a.status != http.StatusOK:
		done.Result = route.ResultFailed
	case a.truncated:
		done.Result = route.ResultAnswerLost
	default:
		a.parseSuccess(&done)
	}
	return done
}

// parseSuccess takes the body and index version of a complete answer with status 200.
func (a *targetAnswer) parseSuccess(done *route.AttemptDone) {
	version, err := strconv.ParseUint(a.header.Get(headerIndexVersion), 10, 64)
	if err != nil {
		done.Result = route.ResultProtocolViolation
		return
	}
	done.Result, done.Body, done.IndexVersion = route.ResultOK, a.body, version
}
