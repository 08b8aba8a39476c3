package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// searcherConfig is what all incarnations of a searcher have in common.
type searcherConfig struct {
	service  string
	zone     string
	address  string // IP and port; empty for a free port
	slots    int
	queue    int
	maxConns int
	work     time.Duration
	warmup   time.Duration // after a start during traffic
}

// arrival is a request that a searcher received and did not answer with 421.
type arrival struct {
	at       time.Time
	searcher *searcher
	request  string
	poison   bool
	cold     bool
	run      bool
}

// searcher is one incarnation of a searcher.
type searcher struct {
	searcherConfig
	id        string
	born      int64
	coldUntil time.Time
	store     *store
	arrivals  chan<- arrival
	onCrash   func(*searcher, string) // called once, after the crash
	crashRate int                     // arrivals within a second of its cold time at which it crashes; 0 for never

	listener net.Listener
	slotFree chan struct{}

	mu       guard
	conns    map[net.Conn]bool
	waiting  int
	running  int
	recent   []time.Time
	sequence int
	entry    string // as last written, without the sequence
	ended    bool
	leaving  bool // writes no entry any more
	end      chan struct{}
}

// startSearcher starts an incarnation. cold says that it starts during traffic. Its
// entry is in the store before it accepts connections.
func startSearcher(c searcherConfig, id string, cold bool, st *store, arrivals chan<- arrival) (*searcher, error) {
	s := &searcher{
		searcherConfig: c, mu: newGuard(), id: id, born: time.Now().UnixMilli(), store: st, arrivals: arrivals,
		slotFree: make(chan struct{}, c.slots), conns: make(map[net.Conn]bool), end: make(chan struct{}),
	}
	if cold {
		s.coldUntil = time.Now().Add(c.warmup)
	}
	if s.address == "" {
		s.address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return nil, err
	}
	s.listener, s.address = l, l.Addr().String()
	s.heartbeat()
	go s.accept()
	go func() {
		for {
			select {
			case <-s.end:
				return
			case <-time.After(heartbeat):
				s.heartbeat()
			}
		}
	}()
	return s, nil
}

func (s *searcher) key() string { return "servers/" + s.id }

// heartbeat writes the entry if more than its sequence has changed.
func (s *searcher) heartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.leaving {
		return
	}
	s.sequence++
	left := max(time.Until(s.coldUntil).Milliseconds(), 0)
	value := map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "MaxConcurrency": s.slots,
		"State": "ready", "WarmupLeftMs": left, "born": s.born,
	}
	text := fmt.Sprint(value)
	value["Sequence"] = s.sequence
	if s.store.isDown() {
		return
	}
	if text != s.entry {
		s.entry = text
		s.store.put(s.key(), value)
	}
	s.store.beat(s.key())
}

func (s *searcher) isCold(at time.Time) bool { return at.Before(s.coldUntil) }

func (s *searcher) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		full := s.ended || len(s.conns) >= s.maxConns
		if !full {
			s.conns[c] = true
		}
		s.mu.Unlock()
		if full {
			reset(c)
			continue
		}
		go s.serve(c)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// crash ends the incarnation as the end of its process would: nobody listens any more,
// and all connections are reset.
func (s *searcher) crash(cause string) {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.ended = true
	close(s.end)
	_ = s.listener.Close()
	for c := range s.conns {
		reset(c)
	}
	s.mu.Unlock()
	if s.onCrash != nil {
		go s.onCrash(s, cause)
	}
}

func (s *searcher) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, s.answer(r)); err != nil {
			return
		}
	}
}

const poisonMark = "poison"

// answer runs a request and returns the answer as bytes.
func (s *searcher) answer(r *http.Request) string {
	id := r.Header.Get("X-Anvilfork-Request-Id")
	if expected := r.Header.Get("X-Anvilfork-Expect-Instance"); expected != "" && expected != s.id {
		return respond(421, id, "X-Anvilfork-Instance-Id: "+s.id+"\r\n", "")
	}
	now := time.Now()
	a := arrival{at: now, searcher: s, request: id, poison: strings.Contains(r.URL.Path, poisonMark), cold: s.isCold(now)}
	if s.tooManyWhileCold(now) {
		s.arrivals <- a
		s.crash("too many requests while cold")
		return ""
	}
	s.mu.Lock()
	if s.waiting >= s.queue {
		s.mu.Unlock()
		s.arrivals <- a
		return respond(503, id, "X-Anvilfork-Not-Executed: 1\r\n"+s.load(), "")
	}
	s.waiting++
	s.mu.Unlock()
	s.slotFree <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.running++
	ended := s.ended
	s.mu.Unlock()
	if ended { // it crashed while the request waited
		s.arrivals <- a
		return ""
	}
	a.run = true
	s.arrivals <- a
	if a.poison {
		s.crash("request " + id)
		return ""
	}
	time.Sleep(s.work)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	<-s.slotFree
	return respond(200, id, s.load()+"X-Anvilfork-Response-Seal: "+s.seal(id)+"\r\n", "done "+id)
}

func (s *searcher) seal(request string) string { return s.service + "." + request }

func (s *searcher) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("X-Anvilfork-Server-Load: %d,%d,%d\r\n", s.running+1, s.waiting, s.slots)
}

// tooManyWhileCold counts an arrival and reports whether it makes the searcher crash.
func (s *searcher) tooManyWhileCold(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.recent) > 0 && now.Sub(s.recent[0]) > time.Second {
		s.recent = s.recent[1:]
	}
	s.recent = append(s.recent, now)
	return s.crashRate > 0 && s.isCold(now) && len(s.recent) >= s.crashRate
}

func respond(status int, id, headers, body string) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nX-Anvilfork-Request-Id: " + id + "\r\n" + headers +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}
