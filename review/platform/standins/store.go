package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// storeAnswerTime is how long the platform's store takes for an answer.
const storeAnswerTime = 4 * time.Millisecond

// pageItems is the number of items in a page of a listing.
const pageItems = 500

type item struct {
	Key      string
	Value    []byte
	Revision uint64
	Created  uint64
	Lease    uint64
}

type change struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64
	Deleted  bool `json:",omitempty"`
}

// store is a stand-in of the platform's store, as PROTOCOL.md describes it.
type store struct {
	mu       guard
	changed  chan struct{} // closed and replaced with each change
	cut      chan struct{} // closed and replaced when waiting watches are cut
	revision uint64
	items    map[string]item
	history  []change
	oldest   uint64 // watches after an earlier revision get 410
	deaf     bool   // watches hear nothing
	down     bool   // nothing is answered
	address  string
	server   *http.Server
	listener net.Listener
}

func newStore() *store {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	s := &store{mu: newGuard(), changed: make(chan struct{}), cut: make(chan struct{}), revision: 100, items: map[string]item{}, address: l.Addr().String(), listener: l}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// put writes an entry; the return is the acknowledgement.
func (s *store) put(key, value string) uint64 {
	s.mu.lock()
	defer s.mu.unlock()
	s.revision++
	old, ok := s.items[key]
	created := s.revision
	if ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: []byte(value), Revision: s.revision, Created: created}
	s.history = append(s.history, change{Key: key, Value: []byte(value), Revision: s.revision, Created: created})
	s.wake()
	return s.revision
}

// remove deletes an entry; the return is the acknowledgement.
func (s *store) remove(key string) {
	s.mu.lock()
	defer s.mu.unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, change{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDeaf makes watches hear nothing.
func (s *store) setDeaf() {
	s.mu.lock()
	defer s.mu.unlock()
	s.deaf = true
}

// dropHistory ends the deafness: the history is dropped and waiting watches are cut.
func (s *store) dropHistory() {
	s.mu.lock()
	defer s.mu.unlock()
	s.deaf = false
	s.history, s.oldest = nil, s.revision
	close(s.cut)
	s.cut = make(chan struct{})
}

// setDown makes the store answer nothing, or answer again.
func (s *store) setDown(down bool) {
	s.mu.lock()
	defer s.mu.unlock()
	s.down = down
	if down {
		close(s.cut)
		s.cut = make(chan struct{})
	}
}

func (s *store) isDown() bool {
	s.mu.lock()
	defer s.mu.unlock()
	return s.down
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	if s.isDown() {
		<-r.Context().Done() // silent
		return
	}
	switch r.URL.Path {
	case "/v1/kv-key":
		s.mu.lock()
		i, ok := s.items[q.Get("Key")]
		s.mu.unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answerJSON(w, i)
	case "/v1/kv-range":
		s.list(w, q.Get("Prefix"), q.Get("after"))
	case "/v1/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("WaitMs"))
		s.watch(w, r, q.Get("Prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := []item{}
	for _, k := range keys {
		items = append(items, s.items[k])
	}
	asOf := s.revision
	s.mu.unlock()
	answerJSON(w, map[string]any{"items": items, "HasMore": more, "AsOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.lock()
		if after < s.oldest && !s.deaf {
			s.mu.unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []change{}
		asOf := after
		if !s.deaf {
			asOf = s.revision
			for _, c := range s.history {
				if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
					events = append(events, c)
				}
			}
		}
		changed, cut := s.changed, s.cut
		s.mu.unlock()
		if len(events) > 0 {
			answerJSON(w, map[string]any{"events": events, "AsOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler) // the connection is cut
		case <-r.Context().Done():
			return
		case <-deadline.C:
			answerJSON(w, map[string]any{"events": events, "AsOf": asOf})
			return
		}
	}
}

func answerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the reader may be gone
}
