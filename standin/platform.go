// Package standin provides fakes of the systems that the query tier talks to: the
// configuration service of the platform and the targets. They implement the HTTP
// interfaces of docs/api.md on loopback addresses and inject faults on request.
// Tests, the demo and benchmarks use them. Link relays TCP connections between
// processes and simulates network faults.
package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"
)

// VMEntry is one VM of the platform's list, with the base URLs of its interfaces.
type VMEntry struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Peer   string `json:"peer"`
	Caller string `json:"caller"`
	State  string `json:"state"` // live or leaving
}

// Platform is a fake configuration service. It serves the configuration document
// and the list of VMs. Its methods are safe for concurrent use.
type Platform struct {
	server    *httptest.Server
	actor     *actor
	document  []byte
	revision  uint64
	changed   chan struct{} // closed and replaced when the document changes
	vms       []VMEntry
	down      bool
	callCount int
}

// NewPlatform starts a configuration service on a free loopback port. It has no
// document until SetDocument is called.
func NewPlatform() *Platform {
	p := &Platform{actor: newActor(), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", p.serveConfig)
	mux.HandleFunc("GET /v1/vms", p.serveVMs)
	p.server = httptest.NewServer(mux)
	return p
}

// URL returns the base URL of the service.
func (p *Platform) URL() string { return p.server.URL }

// Close closes all connections and stops the service.
func (p *Platform) Close() {
	p.server.CloseClientConnections()
	p.server.Close()
	p.actor.stop()
}

// SetDocument publishes a configuration document under a revision and wakes the
// watches. The revision may be lower than the previous one.
func (p *Platform) SetDocument(revision uint64, document []byte) {
	p.actor.do(func() {
		p.revision, p.document = revision, document
		close(p.changed)
		p.changed = make(chan struct{})
	})
}

// SetVMs publishes a copy of the list of VMs.
func (p *Platform) SetVMs(vms []VMEntry) {
	p.actor.do(func() {
		p.vms = append([]VMEntry(nil), vms...)
	})
}

// SetDown makes every request fail with status 503 until it is called with false.
func (p *Platform) SetDown(down bool) {
	p.actor.do(func() {
		p.down = down
	})
}

// Calls returns the number of requests received, including those that failed
// because of SetDown.
func (p *Platform) Calls() int {
	var n int
	p.actor.do(func() { n = p.callCount })
	return n
}

// beginCall counts a request. If the service is down, it answers with status 503
// and returns false.
func (p *Platform) beginCall(w http.ResponseWriter) bool {
	var down bool
	p.actor.do(func() {
		p.callCount++
		down = p.down
	})
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return !down
}

func (p *Platform) serveConfig(w http.ResponseWriter, r *http.Request) {
	if !p.beginCall(w) {
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		var revision uint64
		var document []byte
		var changed chan struct{}
		p.actor.do(func() { revision, document, changed = p.revision, p.document, p.changed })
		if revision > after || revision != 0 && revision < after {
			w.Write(document)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) serveVMs(w http.ResponseWriter, _ *http.Request) {
	if !p.beginCall(w) {
		return
	}
	var vms []VMEntry
	p.actor.do(func() { vms = p.vms })
	json.NewEncoder(w).Encode(map[string][]VMEntry{"vms": vms})
}
