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

const (
	pageItems       = 500
	heartbeat       = 1200 * time.Millisecond
	silentHeartbeat = 3 // intervals of silence after which the entry of a searcher is removed
)

// item is an entry of the store, or a change of one.
type item struct {
	Key      string `json:"Key"`
	Value    []byte `json:"Value,omitempty"`
	Revision uint64 `json:"Revision"`
	Created  uint64 `json:"Created,omitempty"`
	Deleted  bool   `json:"Deleted,omitempty"`
	Lease    uint64 `json:"Lease"`
}

// store is the platform's store.
type store struct {
	address string
	server  *http.Server

	mu       guard
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{} // closed and replaced with each change
	beats    map[string]time.Time
	stop     chan struct{}
	down     bool // answers 503 and takes no writes
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), mu: newGuard(), items: make(map[string]item), revision: 1, changed: make(chan struct{}),
		beats: make(map[string]time.Time), stop: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/kv-range", s.serveRange)
	mux.HandleFunc("/v1/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	go s.expire()
	return s, nil
}

func (s *store) close() {
	close(s.stop)
	_ = s.server.Close()
}

// setDown makes the store unavailable, or available again. Watches that wait are cut.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for key := range s.beats { // silence is counted from the return
		s.beats[key] = time.Now()
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// put writes an entry. Its return is the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: b, Revision: s.revision, Created: s.revision}
	if old, exists := s.items[key]; exists {
		i.Created = old.Created
	}
	s.items[key] = i
	s.publish(i)
	return time.Now()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
}

func (s *store) removeLocked(key string) {
	delete(s.beats, key)
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publish(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) publish(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// beat notes that the searcher with this entry is alive.
func (s *store) beat(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats[key] = time.Now()
}

// expire removes the entries of silent searchers.
func (s *store) expire() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		s.mu.Lock()
		for key, at := range s.beats {
			if !s.down && time.Since(at) > silentHeartbeat*heartbeat {
				s.removeLocked(key)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var all []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			all = append(all, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(all, func(a, b int) bool { return all[a].Key < all[b].Key })
	page := all[:min(len(all), pageItems)]
	answerJSON(w, map[string]any{"items": page, "HasMore": len(page) < len(all), "AsOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("Prefix")) {
				events = append(events, i)
			}
		}
		asOf, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 || !waiting {
			answerJSON(w, map[string]any{"events": events, "AsOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func answerJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
