package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"
)

// TargetOptions configures a fake target.
type TargetOptions struct {
	Group        string
	PartitionMap uint64
	Versions     []uint64
	Slots        int
	ServiceTime  time.Duration                        // duration of one request
	BeforeAnswer func(attempt string, version uint64) // called before an answer is sent; may be nil
}

// TargetCounts holds the counters of a target.
type TargetCounts struct {
	Ran        int // requests that started to run
	Shed       int // requests refused with status 503
	Cancelled  int // attempts that a caller cancelled while they ran
	MaxRunning int // most requests that ran at once
	Conns      int // open now
	MaxConns   int
	Opened     int // connections accepted
	Crashes    int
	Late       int // attempts that completed after they were cancelled or their connection closed
	KeyLeaks   int // requests with an Authorization header or with KeyMarker in the body
}

// Target is a fake search server. Its answers are JSON objects with group,
// index_version and attempt, from which a test can tell what was executed. Its
// methods are safe for concurrent use.
type Target struct {
	server       *httptest.Server
	actor        *actor
	options      TargetOptions
	boot         int    // raised by each crash or restart; part of the boot ID
	state        string // ready, cold or draining
	running      int
	received     int // requests that reached the decision whether to shed them
	counts       TargetCounts
	cancels      map[string]chan struct{} // by attempt ID; closed to cancel a running attempt
	delay        func(n int) time.Duration
	fault        func(body []byte) Fault
	shed         func(n int) bool
	loadOverride *float64
	status       statusFault
	silentUpTo   uint64 // connections up to this number get no answer
}

// statusFault describes how the status endpoint misbehaves.
type statusFault struct {
	delay  time.Duration
	frozen map[string]any // answered instead of the current state; nil if not frozen
}

// Fault is a fault that a target injects into one request.
type Fault int

// The faults that a target can inject.
const (
	NoFault           Fault = iota
	CrashFault              // all connections are closed and the boot ID changes
	SilentFault             // no answer at all
	WrongAttemptFault       // the answer carries the ID of another attempt
	AnswerCutFault          // the connection closes within the answer body
	LateFault               // the request runs to completion despite cancellation or a closed connection
	FailFault               // the request runs and fails with status 500
	DropFault               // the connection closes without an answer; the target keeps running
)

// KeyMarker is contained in every workspace key that tests and the demo create, so
// that a target detects a key in a request.
const KeyMarker = "anvilfork-key-"

const (
	statusNoAnswer  = 0   // the target sends nothing until the connection closes
	statusCancelled = 499 // the attempt was cancelled; not a registered HTTP status
)

// NewTarget starts a target on a free loopback port.
func NewTarget(o TargetOptions) *Target {
	t := &Target{actor: newActor(), options: o, state: "ready", boot: 1, cancels: make(map[string]chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", t.serveSearch)
	mux.HandleFunc("DELETE /v1/attempts/{attempt}", t.serveCancel)
	mux.HandleFunc("GET /v1/status", t.serveStatus)
	t.server = httptest.NewUnstartedServer(mux)
	t.server.Config.ConnState = t.connState
	t.server.Config.ConnContext = t.connContext
	t.server.Start()
	return t
}

// Address returns the host:port of the target.
func (t *Target) Address() string { return strings.TrimPrefix(t.server.URL, "http://") }

// Close closes all connections and stops the target.
func (t *Target) Close() {
	t.server.CloseClientConnections()
	t.server.Close()
	t.actor.stop()
}

// SetState sets the state that the target reports: ready, cold or draining.
func (t *Target) SetState(state string) {
	t.actor.do(func() {
		t.state = state
	})
}

// SetVersions sets the index versions that the target serves.
func (t *Target) SetVersions(versions ...uint64) {
	t.actor.do(func() {
		t.options.Versions = versions
	})
}

// SetDelay sets the duration of each request by its number, counted from 1 among
// those that run. It replaces TargetOptions.Service.
func (t *Target) SetDelay(delay func(n int) time.Duration) {
	t.actor.do(func() {
		t.delay = delay
	})
}

// SetFault sets the fault to inject into a request, by its body. It is called once
// for each request that runs; nil injects no faults.
func (t *Target) SetFault(fault func(body []byte) Fault) {
	t.actor.do(func() {
		t.fault = fault
	})
}

// SetShed sets which requests, counted from 1 as they arrive, the target refuses
// with status 503 although it has free slots.
func (t *Target) SetShed(shed func(n int) bool) {
	t.actor.do(func() {
		t.shed = shed
	})
}

// SetLoad makes the status endpoint report a fixed load.
func (t *Target) SetLoad(loadOverride float64) {
	t.actor.do(func() {
		t.loadOverride = &loadOverride
	})
}

// SetStatusDelay delays the answers of the status endpoint.
func (t *Target) SetStatusDelay(d time.Duration) {
	t.actor.do(func() {
		t.status.delay = d
	})
}

// FreezeStatus makes the status endpoint keep reporting the current state until
// it is called with false.
func (t *Target) FreezeStatus(frozen bool) {
	t.actor.do(func() {
		t.status.frozen = nil
		if frozen {
			t.status.frozen = t.statusReport()
		}
	})
}

// SilenceOpenConnections makes the target stop answering on the connections that are open now.
// New connections work.
func (t *Target) SilenceOpenConnections() {
	t.actor.do(func() {
		t.silentUpTo = uint64(t.counts.Opened)
	})
}

// BreakConnections closes all open connections.
func (t *Target) BreakConnections() { t.server.CloseClientConnections() }

// Restart closes all connections and changes the boot ID.
func (t *Target) Restart() {
	t.actor.do(t.reboot)
	t.server.CloseClientConnections()
}

// reboot must be called in the actor's goroutine. Requests that still run on
// connections of the previous boot no longer count as running, and no new request
// runs on these connections.
func (t *Target) reboot() {
	t.boot++
	t.running = 0
	t.silentUpTo = uint64(t.counts.Opened)
}

// ResetMaxRunning sets MaxRunning to the number of requests that run now.
func (t *Target) ResetMaxRunning() {
	t.actor.do(func() { t.counts.MaxRunning = t.running })
}

// Counts returns a snapshot of the counters.
func (t *Target) Counts() TargetCounts {
	var c TargetCounts
	t.actor.do(func() { c = t.counts })
	return c
}

func (t *Target) serveStatus(w http.ResponseWriter, r *http.Request) {
	if t.awaitIfSilent(r) {
		return
	}
	var statusReport map[string]any
	var delay time.Duration
	t.actor.do(func() { statusReport, delay = t.statusReport(), t.status.delay })
	if sleep(r, delay) {
		json.NewEncoder(w).Encode(statusReport)
	}
}

// sleep waits for d and returns false if the request is cancelled first.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// statusReport returns the body of a status answer. It must be called in the
// actor's goroutine.
func (t *Target) statusReport() map[string]any {
	if t.status.frozen != nil {
		return t.status.frozen
	}
	loadOverride := float64(t.running) / float64(max(t.options.Slots, 1))
	if t.loadOverride != nil {
		loadOverride = *t.loadOverride
	}
	return map[string]any{
		"state": t.state, "boot": t.bootID(), "load": loadOverride,
		"index_versions": t.options.Versions, "partition_map": t.options.PartitionMap, "group": t.options.Group,
	}
}

func (t *Target) bootID() string { return fmt.Sprintf("%s-%d", t.server.URL, t.boot) }

func (t *Target) serveCancel(w http.ResponseWriter, r *http.Request) {
	if t.awaitIfSilent(r) {
		return
	}
	t.actor.do(func() {
		if stop, ok := t.cancels[r.PathValue("attempt")]; ok {
			delete(t.cancels, r.PathValue("attempt"))
			close(stop)
			t.counts.Cancelled++
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

func (t *Target) serveSearch(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || t.awaitIfSilent(r) {
		return
	}
	attempt := r.Header.Get("Anvilfork-Attempt")
	version, _ := strconv.ParseUint(r.Header.Get("Anvilfork-Index-Version"), 10, 64)
	w.Header().Set("Anvilfork-Attempt", attempt)
	w.Header().Set("Anvilfork-Index-Version", r.Header.Get("Anvilfork-Index-Version"))
	var run attemptRun
	var status int
	t.actor.do(func() {
		w.Header().Set("Anvilfork-Boot", t.bootID())
		run, status = t.startAttempt(r, attempt, version, body)
	})
	if status == statusNoAnswer {
		<-r.Context().Done()
		return
	}
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	defer t.finishAttempt(attempt, run.boot)
	if t.injectFault(w, r, run.fault) {
		return
	}
	if run.fault == LateFault {
		t.runToCompletion(r, run)
		t.writeAnswer(w, version, attempt)
		return
	}
	timer := time.NewTimer(run.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		if t.options.BeforeAnswer != nil {
			t.options.BeforeAnswer(attempt, version)
		}
		t.writeAnswer(w, version, attempt)
	case <-run.stop:
		w.WriteHeader(statusCancelled)
	case <-r.Context().Done():
	}
}

func (t *Target) writeAnswer(w http.ResponseWriter, version uint64, attempt string) {
	json.NewEncoder(w).Encode(map[string]any{"group": t.options.Group, "index_version": version, "attempt": attempt})
}

type attemptRun struct {
	stop  chan struct{}
	delay time.Duration
	fault Fault
	boot  int
}

// startAttempt decides whether an attempt runs and returns its HTTP status, or
// statusNoAnswer. It must be called in the actor's goroutine.
func (t *Target) startAttempt(r *http.Request, attempt string, version uint64, body []byte) (attemptRun, int) {
	if r.Header.Get("Authorization") != "" || strings.Contains(string(body), KeyMarker) {
		t.counts.KeyLeaks++
	}
	if n, _ := r.Context().Value(connNumberKey{}).(uint64); n <= t.silentUpTo {
		return attemptRun{}, statusNoAnswer // the connection became silent after the request arrived
	}
	t.received++
	if t.state == "draining" || t.running >= t.options.Slots || t.shed != nil && t.shed(t.received) {
		t.counts.Shed++
		return attemptRun{}, http.StatusServiceUnavailable
	}
	partitionMap := strconv.FormatUint(t.options.PartitionMap, 10)
	if !t.hasVersion(version) || r.Header.Get("Anvilfork-Partition-Map") != partitionMap {
		return attemptRun{}, http.StatusConflict
	}
	t.running++
	t.counts.Ran++
	t.counts.MaxRunning = max(t.counts.MaxRunning, t.running)
	run := attemptRun{stop: make(chan struct{}), delay: t.options.ServiceTime, boot: t.boot}
	t.cancels[attempt] = run.stop
	if t.delay != nil {
		run.delay = t.delay(t.counts.Ran)
	}
	if t.fault != nil {
		run.fault = t.fault(body)
	}
	return run, http.StatusOK
}

func (t *Target) hasVersion(version uint64) bool {
	for _, v := range t.options.Versions {
		if v == version {
			return true
		}
	}
	return false
}

func (t *Target) finishAttempt(attempt string, boot int) {
	t.actor.do(func() {
		if boot == t.boot {
			t.running--
		}
		delete(t.cancels, attempt)
	})
}

// injectFault injects a fault and returns true if the request is finished.
func (t *Target) injectFault(w http.ResponseWriter, r *http.Request, f Fault) bool {
	switch f {
	case CrashFault:
		t.actor.do(func() {
			t.reboot()
			t.counts.Crashes++
		})
		go t.server.CloseClientConnections()
		<-r.Context().Done()
		return true
	case SilentFault:
		<-r.Context().Done()
		return true
	case FailFault:
		w.WriteHeader(http.StatusInternalServerError)
		return true
	case DropFault:
		panic(http.ErrAbortHandler)
	case WrongAttemptFault:
		w.Header().Set("Anvilfork-Attempt", "another-attempt")
	case AnswerCutFault:
		w.Header().Set("Content-Length", "1000")
		w.Write([]byte("{"))
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	return false
}
