package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	headerRequest  = "X-Anvilfork-Request-Id"
	headerDeadline = "X-Anvilfork-Deadline-Ms"
	headerExpected = "X-Anvilfork-Expect-Instance"
	headerTenant   = "X-Anvilfork-Tenant-Id"

	heartbeatInterval = 1200 * time.Millisecond
	idleTimeout       = 20 * time.Second
	recordBytes       = 16
	poisonPath        = "/poison"
)

// searcher is a stand-in of a back end.
type searcher struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	st                *store
	rec               *recorder
	onRun             func(run)
	address           string

	owner      owner // of what follows
	listener   net.Listener
	conns      map[net.Conn]bool
	running    int
	waiting    []chan struct{} // of requests in the queue; closed when the request gets a slot
	born       time.Time
	down       bool
	sequence   int
	shedShare  float64       // of requests that are rejected though there is room; from 0 to 1
	extraShare float64       // of answers that are sent a second time, later; from 0 to 1
	crashTime  time.Duration // for which a crashed process is away
}

// run is a request that a searcher began to work on.
type run struct {
	at                                       time.Time
	searcher, service, request, tenant, path string
}

func newSearcher(st *store, rec *recorder, address, id, service, zone string, slots, queue int, work time.Duration, onRun func(run)) (*searcher, error) {
	s := &searcher{owner: newOwner(), id: id, service: service, zone: zone, slots: slots, queue: queue, work: work, st: st, rec: rec, onRun: onRun, address: address, crashTime: 2 * time.Second}
	if err := s.open(); err != nil {
		return nil, err
	}
	go s.heartbeats()
	return s, nil
}

// open starts the process: it listens and registers itself.
func (s *searcher) open() error {
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	s.owner.do(func() {
		s.address = l.Addr().String()
		s.listener, s.conns, s.down, s.born, s.sequence = l, make(map[net.Conn]bool), false, time.Now(), 0
	})
	go s.accept(l)
	s.register()
	return nil
}

// register writes the entry of the searcher.
func (s *searcher) register() {
	var value string
	s.owner.do(func() {
		s.sequence++
		value = fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","MaxConcurrency":%d,"State":"ready","WarmupLeftMs":0,"Sequence":%d,"born":%d}`,
			s.service, s.address, s.zone, s.slots, s.sequence, s.born.UnixMilli())
	})
	s.st.put("servers/"+s.id, value)
}

func (s *searcher) heartbeats() {
	for range time.Tick(heartbeatInterval) {
		var down bool
		s.owner.do(func() { down = s.down })
		if !down {
			s.register()
		}
	}
}

// crash ends the process: its port refuses connections until it is back.
func (s *searcher) crash() {
	var already bool
	s.owner.do(func() {
		if already = s.down; already {
			return
		}
		s.down = true
		_ = s.listener.Close() // the port refuses from now on
		for c := range s.conns {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0) // makes Close send a reset, as for a process that ended
			}
			_ = c.Close()
		}
	})
	if already {
		return
	}
	s.rec.add("searcher %s crashes", s.id)
	time.AfterFunc(s.crashTime, func() {
		if err := s.open(); err != nil {
			s.rec.add("searcher %s could not start again: %v", s.id, err)
			return
		}
		s.rec.add("searcher %s is back", s.id)
	})
}

func (s *searcher) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		var down bool
		s.owner.do(func() {
			if down = s.down; !down {
				s.conns[c] = true
			}
		})
		if down {
			_ = c.Close() // accepted while the process ended
			continue
		}
		go s.serve(c)
	}
}

// serve answers the requests of a connection, one at a time.
func (s *searcher) serve(c net.Conn) {
	gone, done := make(chan struct{}), make(chan struct{})
	requests := make(chan *http.Request)
	go func() {
		defer close(gone)
		r := bufio.NewReader(c)
		for {
			_ = c.SetReadDeadline(time.Now().Add(idleTimeout + 10*time.Second))
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			req.Body = io.NopCloser(bytes.NewReader(body))
			select {
			case requests <- req:
			case <-done:
				return
			}
		}
	}()
	defer func() {
		close(done)
		_ = c.Close()
		s.owner.do(func() { delete(s.conns, c) })
	}()
	var extra []byte // second copy of an earlier answer
	for {
		var req *http.Request
		select {
		case req = <-requests:
		case <-gone:
			return
		case <-time.After(idleTimeout):
			return
		}
		if extra != nil {
			s.rec.add("searcher %s sends its earlier answer once more, before the answer to %s", s.id, req.Header.Get(headerRequest))
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer, ok := s.answer(req, gone)
		if !ok {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		var duplicate bool
		s.owner.do(func() { duplicate = rand.Float64() < s.extraShare })
		if duplicate {
			extra = answer
		}
	}
}

// answer runs a request and returns the answer. It returns false if the connection
// has ended meanwhile.
func (s *searcher) answer(req *http.Request, gone <-chan struct{}) ([]byte, bool) {
	id := req.Header.Get(headerRequest)
	if req.URL.Path == "/health" {
		return s.respond(http.StatusOK, id, "X-Anvilfork-Instance-Id: "+s.id+"\r\n", nil), true
	}
	if expected := req.Header.Get(headerExpected); expected != "" && expected != s.id {
		s.rec.add("searcher %s answers %s with 421", s.id, id)
		return s.respond(http.StatusMisdirectedRequest, id, "X-Anvilfork-Not-Executed: 1\r\n", nil), true
	}
	if id == "" {
		return s.respond(http.StatusBadRequest, id, "X-Anvilfork-Not-Executed: 1\r\n", nil), true
	}
	deadline := time.Now().Add(time.Minute)
	if ms, err := strconv.ParseFloat(req.Header.Get(headerDeadline), 64); err == nil {
		deadline = time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
	}
	if !s.enter(deadline) {
		s.rec.add("searcher %s rejects %s", s.id, id)
		return s.respond(http.StatusServiceUnavailable, id, "X-Anvilfork-Not-Executed: 1\r\n", nil), true
	}
	defer s.leave()
	s.rec.add("searcher %s runs %s", s.id, id)
	s.onRun(run{at: time.Now(), searcher: s.id, service: s.service, request: id, tenant: req.Header.Get(headerTenant), path: strings.TrimPrefix(req.URL.Path, "/book")})
	if strings.HasSuffix(req.URL.Path, poisonPath) {
		s.crash()
		return nil, false
	}
	work := time.Duration(float64(s.work) * (0.75 + rand.Float64()/2))
	select {
	case <-gone:
		return nil, false
	case <-time.After(min(work, time.Until(deadline))):
	}
	seal := fmt.Sprintf("X-Anvilfork-Response-Seal: %s.%s\r\n", s.service, id)
	if time.Now().After(deadline) {
		return s.respond(http.StatusGatewayTimeout, id, seal, nil), true
	}
	sum := sha256.Sum256([]byte(s.service + "/" + id))
	return s.respond(http.StatusOK, id, seal, sum[:2*recordBytes]), true
}

// enter waits for a slot. It returns false if the request is rejected.
func (s *searcher) enter(deadline time.Time) bool {
	rejected := false
	var turn chan struct{} // nil if there is a slot at once
	s.owner.do(func() {
		switch {
		case rand.Float64() < s.shedShare || s.running >= s.slots && len(s.waiting) >= s.queue:
			rejected = true
		case s.running >= s.slots:
			turn = make(chan struct{})
			s.waiting = append(s.waiting, turn)
		default:
			s.running++
		}
	})
	if rejected {
		return false
	}
	if turn != nil {
		<-turn
		if time.Now().After(deadline) {
			s.leave()
			return false
		}
	}
	return true
}

// leave gives a slot to the request that has waited longest, or back.
func (s *searcher) leave() {
	s.owner.do(func() {
		if len(s.waiting) == 0 {
			s.running--
			return
		}
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
	})
}

// respond returns the bytes of an answer.
func (s *searcher) respond(status int, id, headers string, body []byte) []byte {
	var load string
	s.owner.do(func() { load = fmt.Sprintf("%d,%d,%d", s.running, len(s.waiting), s.slots) })
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%sX-Anvilfork-Server-Load: %s\r\nKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), headerRequest, id, headers, load, int(idleTimeout.Seconds()), len(body))
	return slices.Concat([]byte(head), body)
}

// sendTwice sets the share of answers that are sent a second time, before the next one.
func (s *searcher) sendTwice(share float64) {
	s.owner.do(func() { s.extraShare = share })
}

// reject sets the share of requests that are rejected though there is room.
func (s *searcher) reject(share float64) {
	s.owner.do(func() { s.shedShare = share })
}
