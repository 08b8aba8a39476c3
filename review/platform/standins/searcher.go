package main

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// searcher is a stand-in of a sound searcher: it runs as many requests at once as
// it has slots, queues a few more and rejects the rest.
type searcher struct {
	id, service, zone string
	born              int64
	slots, queue      int
	work              func(path string) time.Duration
	rec               *recorder
	listener          net.Listener
	server            *http.Server
	slot              chan struct{}

	mu         guard
	waiting    int
	running    int
	backoffEnd time.Time // 503 with Retry-After until then
}

func newSearcher(rec *recorder, id, service, zone string, slots, queue int, work func(path string) time.Duration) *searcher {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	s := &searcher{mu: newGuard(), id: id, service: service, zone: zone, born: time.Now().UnixMilli(), slots: slots, queue: queue, work: work, rec: rec, listener: l, slot: make(chan struct{}, slots)}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	return s
}

func (s *searcher) address() string { return s.listener.Addr().String() }

func (s *searcher) key() string { return "servers/" + s.id }

// entry returns the value of the searcher's entry in the store.
func (s *searcher) entry(state string) string {
	b, err := json.Marshal(map[string]any{
		"Service": s.service, "Address": s.address(), "Zone": s.zone, "Version": "v1", "MaxConcurrency": s.slots,
		"State": state, "WarmupLeftMs": 0, "Sequence": 1, "born": s.born,
	})
	check(err)
	return string(b)
}

func (s *searcher) load() string {
	s.mu.lock()
	defer s.mu.unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
}

func (s *searcher) reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Anvilfork-Not-Executed", "1")
	w.Header().Set("X-Anvilfork-Server-Load", s.load())
	w.WriteHeader(status)
}

func (s *searcher) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Anvilfork-Request-Id")
	if id != "" {
		w.Header().Set("X-Anvilfork-Request-Id", id)
	}
	w.Header().Set("X-Anvilfork-Instance-Id", s.id)
	if want := r.Header.Get("X-Anvilfork-Expect-Instance"); want != "" && want != s.id {
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		s.reject(w, http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.rec.add(event{kind: "arrived", id: id, where: s.id, detail: r.RemoteAddr})
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Anvilfork-Deadline-Ms"), 64); err == nil {
		deadline = time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
	}
	s.mu.lock()
	if left := time.Until(s.backoffEnd); left > 0 {
		s.mu.unlock()
		w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
		s.rec.add(event{kind: "pause", id: id, where: s.id, detail: r.RemoteAddr + " " + w.Header().Get("Retry-After")})
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	if s.running+s.waiting >= s.slots+s.queue {
		s.mu.unlock()
		s.rec.add(event{kind: "rejected", id: id, where: s.id})
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	s.waiting++
	s.mu.unlock()
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	gone := r.Context().Done()
	select {
	case s.slot <- struct{}{}:
	case <-timeout.C:
		s.count(-1, 0)
		s.rec.add(event{kind: "rejected", id: id, where: s.id})
		s.reject(w, http.StatusServiceUnavailable)
		return
	case <-gone:
		s.count(-1, 0)
		return
	}
	s.count(-1, 1)
	s.rec.add(event{kind: "ran", id: id, where: s.id, detail: r.Method + " " + r.URL.RequestURI() + " tenant=" + r.Header.Get("X-Anvilfork-Tenant-Id") + " from=" + r.RemoteAddr})
	select {
	case <-time.After(s.work(r.URL.Path)):
	case <-gone: // searchers drop a request when its connection closes
		s.count(0, -1)
		<-s.slot
		return
	}
	s.count(0, -1)
	<-s.slot
	w.Header().Set("X-Anvilfork-Server-Load", s.load())
	w.Header().Set("X-Anvilfork-Response-Seal", seal(s.service, id))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(records(s.service, id, body)) // the caller may be gone
}

func (s *searcher) count(waiting, running int) {
	s.mu.lock()
	defer s.mu.unlock()
	s.waiting += waiting
	s.running += running
}

func seal(service, id string) string { return service + "." + id }

// records returns two records of 16 bytes.
func records(service, id string, body []byte) []byte {
	sum := sha256.Sum256([]byte(service + "/" + id + "/" + string(body)))
	return sum[:]
}
