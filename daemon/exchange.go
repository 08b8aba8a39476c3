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

	"github.com/anvilfork/anvilfork/core/route"
)

const (
	maxAnswerBytes  = 4 << 20
	maxAnswerHeader = 64 << 10
	statusCancelled = 499
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

// answer is one response of a target. A zero status says that the connection
// ended without one.
type answer struct {
	status int
	header http.Header
	body   []byte
	cut    bool // the body ended early or is too long
	last   bool // the target closes the connection after it
}

// exchange speaks HTTP/1.1 on one connection, one request at a time. Unlike a
// client with a pool it can tell whether anything of a request was written, and
// its reader notices at once when the target closes an idle connection.
type exchange struct {
	target  string
	conn    net.Conn
	writer  *bufio.Writer
	written *countingWriter
	answers chan answer   // closed when the connection ends
	ended   chan struct{} // closed by close
}

// countingWriter counts the bytes that the socket took.
type countingWriter struct {
	w io.Writer
	n int
}

func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += n
	return n, err
}

func newExchange(conn net.Conn, target string) *exchange {
	written := &countingWriter{w: conn}
	x := &exchange{
		target: target, conn: conn, written: written, writer: bufio.NewWriter(written),
		answers: make(chan answer), ended: make(chan struct{}),
	}
	go x.read()
	return x
}

func (x *exchange) close() {
	close(x.ended)
	x.conn.Close()
}

// read passes on what comes until the connection ends.
func (x *exchange) read() {
	defer close(x.answers)
	limit := &io.LimitedReader{R: x.conn}
	buffered := bufio.NewReader(limit)
	for {
		limit.N = maxAnswerBytes + maxAnswerHeader
		a := readAnswer(buffered)
		if a.status > 0 && a.status < http.StatusOK {
			continue // an interim response
		}
		select {
		case x.answers <- a:
		case <-x.ended:
			return
		}
		if a.status == 0 || a.cut || a.last {
			return
		}
	}
}

func readAnswer(r *bufio.Reader) answer {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	return answer{
		status: resp.StatusCode, header: resp.Header, body: body,
		cut: err != nil || len(body) > maxAnswerBytes, last: resp.Close,
	}
}

// run sends one attempt and waits for its answer. It reports whether the
// connection can be used again.
func (x *exchange) run(ctx context.Context, a route.StartAttempt) (route.AttemptDone, bool) {
	done := route.AttemptDone{Attempt: a.Attempt, Result: route.ResultNotWritten}
	select {
	case <-x.answers: // ended, or out of step, before anything was written
		return done, false
	default:
	}
	x.written.n = 0
	if err := x.write(a); err != nil {
		if x.written.n > 0 {
			done.Result = route.ResultConnLost
		}
		return done, false
	}
	done.Result = route.ResultConnLost
	select {
	case <-ctx.Done():
		return done, false
	case got, ok := <-x.answers:
		if !ok || got.status == 0 {
			return done, false
		}
		return got.end(a.Attempt), !got.cut && !got.last
	}
}

// write waits for room in the socket until the request's deadline.
func (x *exchange) write(a route.StartAttempt) error {
	req, err := x.request(a)
	if err != nil {
		return err
	}
	if err := x.conn.SetWriteDeadline(a.Sub.Deadline); err != nil {
		return err
	}
	if err := req.Write(x.writer); err != nil {
		return err
	}
	return x.writer.Flush()
}

func (x *exchange) request(a route.StartAttempt) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+x.target+"/v1/search", bytes.NewReader(a.Sub.Body))
	if err != nil {
		return nil, err
	}
	h := req.Header
	h.Set(headerAttempt, a.Attempt.String())
	h.Set(headerRequestID, a.Sub.Request.String())
	h.Set(headerDeadline, strconv.FormatInt(max(time.Until(a.Sub.Deadline).Milliseconds(), 1), 10))
	h.Set(headerIndexVersion, strconv.FormatUint(a.Sub.IndexVersion, 10))
	h.Set(headerPartitionMap, strconv.FormatUint(a.Sub.PartitionMap, 10))
	h.Set(headerGroup, a.Sub.Shard.Shard)
	h.Set(headerWorkspace, a.Sub.Workspace)
	return req, nil
}

// end classifies an answer to an attempt.
func (a *answer) end(id route.AttemptID) route.AttemptDone {
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
	case a.cut:
		done.Result = route.ResultAnswerLost
	default:
		a.success(&done)
	}
	return done
}

func (a *answer) success(done *route.AttemptDone) {
	version, err := strconv.ParseUint(a.header.Get(headerIndexVersion), 10, 64)
	if err != nil {
		done.Result = route.ResultProtocolViolation
		return
	}
	done.Result, done.Body, done.IndexVersion = route.ResultOK, a.body, version
}
