package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	pageItems    = 400
	watchPoll    = 5 * time.Millisecond
	maxWatchWait = 30 * time.Second
)

// item is an entry of the store, or its deletion.
type item struct {
	Key      string `json:"Key"`
	Value    []byte `json:"Value,omitempty"`
	Revision uint64 `json:"Revision"`
	Created  uint64 `json:"Created,omitempty"`
	Lease    uint64 `json:"Lease"`
	Deleted  bool   `json:"Deleted,omitempty"`
}

// store is a linearizable key-value store with watches.
type store struct {
	address string

	owner    owner // of what follows
	revision uint64
	live     map[string]item
	history  []item
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s := &store{owner: newOwner(), address: l.Addr().String(), revision: 100, live: make(map[string]item)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serveKey)
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }() // ends with the process
	return s, nil
}

// put writes an entry. Its return is the store's acknowledgement.
func (s *store) put(key, value string) {
	s.owner.do(func() {
		s.revision++
		i := item{Key: key, Value: []byte(value), Revision: s.revision, Created: s.revision}
		if old, found := s.live[key]; found {
			i.Created = old.Created
		}
		s.live[key] = i
		s.history = append(s.history, i)
	})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	var i item
	var found bool
	s.owner.do(func() { i, found = s.live[r.URL.Query().Get("Key")] })
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	items, asOf := []item{}, uint64(0)
	s.owner.do(func() {
		for key, i := range s.live {
			if strings.HasPrefix(key, q.Get("Prefix")) && key > q.Get("after") {
				items = append(items, i)
			}
		}
		asOf = s.revision
	})
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	n := min(len(items), pageItems)
	writeJSON(w, map[string]any{"items": items[:n], "HasMore": n < len(items), "AsOf": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64) // zero if it is no number
	waitMs, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.Now().Add(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	for {
		events, asOf := s.changes(q.Get("Prefix"), after)
		if len(events) > 0 || !time.Now().Before(deadline) {
			writeJSON(w, map[string]any{"events": events, "AsOf": asOf})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(watchPoll):
		}
	}
}

// changes returns the writes after a revision, and the revision up to which they are
// complete.
func (s *store) changes(prefix string, after uint64) ([]item, uint64) {
	events, asOf := []item{}, uint64(0)
	s.owner.do(func() {
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		asOf = s.revision
	})
	return events, asOf
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller is gone
}
