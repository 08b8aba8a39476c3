package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/serve"
)

// defaultLimits apply until a configuration sets others.
var defaultLimits = catalog.Limits{
	MaxHeaderBytes: 64 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute,
}

// front is the task that serves callers. The limits of an http.Server are fixed, so
// that front starts a new server when the limits change. Connections stay with the
// server that accepted them.
type front struct {
	clock    clock
	codec    CallerCodec
	log      zerolog.Logger
	engine   chan<- engineMsg
	memory   chan<- memoryMsg
	done     <-chan struct{} // closed when the tasks end
	limits   chan catalog.Limits
	stopping chan struct{}      // closed when every answer must close its connection
	drain    chan time.Duration // ends the task once the requests in flight are answered, or after the timeout it carries
	listener net.Listener
}

// run accepts connections and passes them to the server with the current limits.
func (f *front) run(done <-chan struct{}) {
	conns := make(chan net.Conn)
	go f.accept(conns, done)
	current := f.startServer(defaultLimits)
	servers := []*limitedServer{current}
	for {
		select {
		case c := <-conns:
			current.conns <- c
		case l := <-f.limits:
			if l == current.limits {
				continue
			}
			current = f.startServer(l)
			servers = append(servers, current)
			f.log.Info().Str("event", "limits_in_force").Int("max_header_bytes", l.MaxHeaderBytes).Int64("max_body_bytes", l.MaxBodyBytes).
				Int64("header_timeout_ms", l.HeaderTimeout.Milliseconds()).Int64("idle_timeout_ms", l.IdleTimeout.Milliseconds()).Msg("limits for callers changed")
		case timeout := <-f.drain:
			f.shutdown(servers, timeout)
			return
		case <-done:
			return
		}
	}
}

// shutdown waits until all servers have answered their requests in flight, for at
// most timeout. All of them close their idle connections at once.
func (f *front) shutdown(servers []*limitedServer, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ended := make(chan error, len(servers))
	for _, s := range servers {
		go func() {
			err := s.http.Shutdown(ctx)
			s.closeWaiting()
			ended <- err
		}()
	}
	for range servers {
		if err := <-ended; err != nil {
			f.log.Warn().Err(err).Str("event", "requests_cut").Int64("waited_ms", timeout.Milliseconds()).Msg("requests were in flight when the VM stopped")
		}
	}
}

// accept sends the accepted connections until the VM stops.
func (f *front) accept(conns chan<- net.Conn, done <-chan struct{}) {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			select {
			case <-done:
				return
			case <-f.stopping:
				return
			case <-time.After(acceptBackoff): // usually out of file descriptors
				f.log.Error().Err(err).Str("event", "accept_failed").Msg("a connection could not be accepted")
				continue
			}
		}
		select {
		case conns <- c:
		case <-done:
			_ = c.Close() // the process ends; the caller sees the close in any case
			return
		}
	}
}

const (
	acceptBackoff   = 20 * time.Millisecond // after a failed accept
	maxPendingConns = 64                    // accepted connections that their server has not taken yet
)

// limitedServer is an HTTP server with fixed limits. It is also the net.Listener
// from which that server takes the connections that front passes to it.
type limitedServer struct {
	limits catalog.Limits
	conns  chan net.Conn
	http   *http.Server
	addr   net.Addr
	closed chan struct{}
}

// startServer starts a server with the limits l.
func (f *front) startServer(l catalog.Limits) *limitedServer {
	s := &limitedServer{limits: l, conns: make(chan net.Conn, maxPendingConns), addr: f.listener.Addr(), closed: make(chan struct{})}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.handle(w, r, l) }),
		MaxHeaderBytes:    l.MaxHeaderBytes,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		ErrorLog:          nil,
	}
	go func() {
		if err := s.http.Serve(s); err != nil && err != http.ErrServerClosed {
			f.log.Error().Err(err).Str("event", "front_ended").Msg("the server for callers ended")
		}
	}()
	return s
}

// Accept implements net.Listener.
func (s *limitedServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener; the real listener stays open.
func (s *limitedServer) Close() error {
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	return nil
}

// closeWaiting closes the connections that the server has not accepted before its end.
func (s *limitedServer) closeWaiting() {
	for {
		select {
		case c := <-s.conns:
			_ = c.Close() // nothing was read from it
		default:
			return
		}
	}
}

// Addr implements net.Listener.
func (s *limitedServer) Addr() net.Addr { return s.addr }

// handle serves one request: it submits the request to the engine task and waits
// for the answer or for the caller to leave.
func (f *front) handle(w http.ResponseWriter, r *http.Request, l catalog.Limits) {
	select {
	case <-f.stopping:
		w.Header().Set("Connection", "close")
	default:
	}
	received := f.clock.now()
	conn := http.NewResponseController(w)
	req, refusal, interrupted := f.decode(conn, r, l)
	if refusal != nil {
		f.refuse(conn, w, r, req, refusal)
		return
	}
	req.Received, req.Caller = received, callerAddress(r.RemoteAddr)
	answer := make(chan *serve.Answer, 1)
	f.engine <- engineMsg{submitted: &submission{request: req, answer: answer}}
	callerGone := r.Context().Done()
	if interrupted { // by this VM: the context says nothing about the caller
		callerGone = nil
	}
	select {
	case a := <-answer:
		f.encode(conn, w, req, a)
		f.reportDelivery(a)
	case <-callerGone:
		f.engine <- engineMsg{callerGone: req}
		// The server would answer 200 for a handler that returns without an answer, to
		// a caller that has closed only its own direction.
		panic(http.ErrAbortHandler)
	}
}

// reportDelivery tells the engine task how long the answer of a fan-out took outside
// of it. The report is dropped if that task is behind.
func (f *front) reportDelivery(a *serve.Answer) {
	if a.Merged == nil {
		return
	}
	select {
	case f.engine <- engineMsg{event: serve.Delivered{Lag: a.Trace.AdmissionLag + f.clock.now().Sub(a.Trace.AnsweredAt)}}:
	default:
	}
}

// decode reads a request. Its body may hold memory and time only within limits, since
// callers may send slowly. interrupted says that this VM has ended the reading of a body
// that had arrived: the server then takes the caller for gone.
func (f *front) decode(conn *http.ResponseController, r *http.Request, l catalog.Limits) (req *serve.Request, refusal *outcome.Refusal, interrupted bool) {
	if r.Body == nil || r.Body == http.NoBody {
		req, refusal = f.codec.Decode(r, l.MaxBodyBytes)
		return req, refusal, false
	}
	// A connection that does not support deadlines is not limited in time.
	_ = conn.SetWriteDeadline(time.Time{}) // of the previous answer on this connection
	_ = conn.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	hold := newMemoryHold(f.memory, f.done, min(f.codec.Timeout(r), bodyReadTimeout), func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	body := &heldBody{ReadCloser: r.Body, hold: hold}
	read := *r // the server looks at the body of r when the request has ended
	read.Body = body
	if err := body.reserveAll(r.ContentLength, l.MaxBodyBytes); err != nil {
		read.Body = failedBody{err}
	}
	req, refusal = f.codec.Decode(&read, l.MaxBodyBytes)
	hold.release()
	if refusal == nil {
		_ = conn.SetReadDeadline(time.Time{})
	}
	return req, refusal, hold.wasEnded()
}

// encode writes an answer, for which the caller has callerWriteTimeout to read it.
func (f *front) encode(conn *http.ResponseController, w http.ResponseWriter, r *serve.Request, a *serve.Answer) {
	_ = conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	f.codec.Encode(w, r, a)
}

const (
	// bodyReadTimeout is how long a caller may take to send a body.
	bodyReadTimeout = 30 * time.Second
	// callerWriteTimeout is how long a caller may take to read an answer. Until then
	// the answer holds memory.
	callerWriteTimeout = 10 * time.Second
)

// refuse answers a request that could not be decoded.
func (f *front) refuse(conn *http.ResponseController, w http.ResponseWriter, r *http.Request, req *serve.Request, refusal *outcome.Refusal) {
	f.log.Info().Str("event", "request_refused").Str("caller", r.RemoteAddr).Str("code", string(refusal.Code)).
		Str("outcome", string(refusal.Outcome)).Str("reason", refusal.Reason).Msg("request could not be read")
	w.Header().Set("Connection", "close") // the rest of the body is not waited for
	f.encode(conn, w, req, &serve.Answer{Refusal: refusal})
}
