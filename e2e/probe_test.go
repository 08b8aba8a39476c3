package e2e

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/client"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/daemon"
	"github.com/anvilfork/anvilfork/load"
	"github.com/anvilfork/anvilfork/localfleet"
	"github.com/anvilfork/anvilfork/standin"
)

const (
	maxParallelFleets = 6 // bounds the load of parallel tests on the host
	fleetVMs          = 4
	fleetShards       = 2
	slotsPerTarget    = 2  // slots in configDocument
	duplicateCaller   = 99 // caller number in the bodies that startDuplicates sends
)

var fleetTokens = make(chan struct{}, maxParallelFleets)

// startParallel marks the test as parallel, waits until fewer than maxParallelFleets
// fleets run, and starts a fleet.
func startParallel(t *testing.T, edit func(e *localfleet.Editor)) *processFleet {
	t.Helper()
	t.Parallel()
	fleetTokens <- struct{}{}
	t.Cleanup(func() { <-fleetTokens })
	return startProcesses(t, fleetVMs, fleetShards, edit)
}

// stopAndCheck stops the load and checks what must hold during every fault: answers
// and refusals are correct, idempotent queries are answered, no non-idempotent query
// runs twice and no key reaches a target. It returns the number of non-idempotent
// queries without an answer. A nil tr means that no load was started.
func (f *processFleet) stopAndCheck(tr *traffic, runs *runCounter) int {
	f.t.Helper()
	var results []queryResult
	unanswered := 0
	if tr != nil {
		results = tr.stop()
		unanswered = checkResults(f.t, results)
	}
	counts := runs.stop(f)
	twice, wrong := ranTwice(counts), ranDespiteRefusal(counts, results)
	f.t.Logf("%d non-idempotent queries ran twice, %d ran and were refused as not run", len(twice), len(wrong))
	assert.Check(f.t, len(twice) == 0, "%v ran twice", twice)
	assert.Check(f.t, len(wrong) == 0, "%v ran and were refused as not run", wrong)
	assert.Check(f.t, f.Counts().KeyLeaks == 0, "a key reached a target")
	return unanswered
}

// others returns all processes except the given ones.
func (f *processFleet) others(excluded ...*process) []*process {
	return slices.DeleteFunc(slices.Clone(f.processes), func(p *process) bool { return slices.Contains(excluded, p) })
}

// partition cuts the links between two sets of VMs.
func (f *processFleet) partition(a, b []*process) {
	for _, p := range a {
		p.peerLink.SetModeFrom(standin.LinkCut, sentBy(b))
	}
	for _, p := range b {
		p.peerLink.SetModeFrom(standin.LinkCut, sentBy(a))
	}
}

// healLinks makes all links between VMs and to the configuration service work again.
func (f *processFleet) healLinks() {
	for _, p := range f.processes {
		p.platformLink.SetMode(standin.LinkOpen)
		p.peerLink.SetMode(standin.LinkOpen)
	}
}

// pauseFor stops a process and resumes it after d.
func (p *process) pauseFor(t *testing.T, d time.Duration) {
	t.Helper()
	p.signal(t, syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(t, syscall.SIGCONT)
}

var senderName = regexp.MustCompile(`vm\d+-`) // of the sender, at the start of every message except ConfigText

// sentBy returns a function that reports whether the first bytes of a connection to
// a peer address come from one of the processes. A connection that starts with a
// ConfigText call does not name its sender; it is taken to match.
func sentBy(processes []*process) func(first []byte) bool {
	var names []string
	for _, p := range processes {
		names = append(names, p.name+"-")
	}
	return func(first []byte) bool {
		_, body, _ := bytes.Cut(first, []byte("\r\n\r\n"))
		name := senderName.Find(body)
		return name == nil || slices.Contains(names, string(name))
	}
}

// probe is one query to one VM and its result.
type probe struct {
	vm           *process
	began, ended time.Time
	err          error
	verdict      load.Verdict
}

// refused returns the code and outcome of a refusal. Both are empty for an answer
// and for a lost connection.
func (p *probe) refused() (outcome.Code, outcome.Outcome) {
	var r *refusalError
	if !errors.As(p.err, &r) {
		return "", ""
	}
	var body struct {
		Code    outcome.Code    `json:"code"`
		Outcome outcome.Outcome `json:"outcome"`
	}
	if err := json.Unmarshal([]byte(r.body), &body); err != nil {
		return "", ""
	}
	return body.Code, body.Outcome
}

// prober sends queries in the background without retries until stop is called.
type prober struct {
	stopped chan struct{}
	probes  chan []probe
	running int
}

// startProbes starts the given number of callers for each process.
func (f *processFleet) startProbes(processes []*process, callers int, key string) *prober {
	pb := &prober{stopped: make(chan struct{}), probes: make(chan []probe, callers*len(processes))}
	for _, p := range processes {
		for range callers {
			pb.start(func(n int) []probe {
				return []probe{f.probe(p, key, client.Request{Service: service, Body: fmt.Appendf(nil, "probe %d", n)})}
			})
		}
	}
	return pb
}

// startDuplicates repeatedly sends the same non-idempotent request to two VMs at the
// same time.
func (f *processFleet) startDuplicates(a, b *process) *prober {
	pb := &prober{stopped: make(chan struct{}), probes: make(chan []probe, 1)}
	pb.start(func(n int) []probe {
		var random [10]byte
		rand.Read(random[:])
		r := client.Request{
			Service: service, Body: fmt.Appendf(nil, "caller %d query %d", duplicateCaller, 3*n), NonIdempotent: true,
			ID: fleet.NewRequestID(time.Now(), random).String(),
		}
		first := make(chan probe)
		go func() { first <- f.probe(a, f.Key(workspace), r) }()
		return []probe{f.probe(b, f.Key(workspace), r), <-first}
	})
	return pb
}

func (pb *prober) start(send func(n int) []probe) {
	pb.running++
	go func() {
		var all []probe
		for n := 0; ; n++ {
			select {
			case <-pb.stopped:
				pb.probes <- all
				return
			case <-time.After(queryInterval):
				all = append(all, send(n)...)
			}
		}
	}()
}

func (pb *prober) stop() []probe {
	close(pb.stopped)
	var all []probe
	for range pb.running {
		all = append(all, <-pb.probes...)
	}
	return all
}

// probe sends one query to one VM and verifies the answer.
func (f *processFleet) probe(p *process, key string, r client.Request) probe {
	pr := probe{vm: p, began: time.Now()}
	answer, err := sendQuery(f.t, "http://"+p.caller, key, r)
	pr.ended, pr.err = time.Now(), err
	if err == nil {
		pr.verdict = f.Verify(service, answer)
	}
	return pr
}

// checkVerdicts fails the test for answers that contradict the records of the
// targets.
func checkVerdicts(t *testing.T, probes []probe) {
	t.Helper()
	for _, pr := range probes {
		assert.Check(t, pr.verdict == load.Verdict{}, "%s: %+v", pr.vm.name, pr.verdict)
	}
}

// checkKeyRejected fails the test if a query that was sent at or after from, with a
// withdrawn key, got an answer.
func checkKeyRejected(t *testing.T, probes []probe, from time.Time) {
	t.Helper()
	for _, pr := range probes {
		if pr.err == nil && !pr.began.Before(from) {
			t.Fatalf("%s accepted a withdrawn key %v after the bound", pr.vm.name, pr.began.Sub(from))
		}
	}
}

// checkRate fails the test if the queries that were both sent and answered within
// any time window, and thus admitted in it, exceed rate and burst.
func checkRate(t *testing.T, probes []probe, rate, burst float64) {
	t.Helper()
	probes = slices.DeleteFunc(slices.Clone(probes), func(pr probe) bool { return pr.err != nil })
	slices.SortFunc(probes, func(a, b probe) int { return a.ended.Compare(b.ended) })
	maxExcess := -burst
	for _, from := range probes {
		n := 0
		for _, pr := range probes {
			if pr.began.Before(from.began) {
				continue
			}
			n++
			maxExcess = max(maxExcess, float64(n)-burst-rate*pr.ended.Sub(from.began).Seconds())
		}
	}
	t.Logf("%d queries admitted, at most rate*t + burst %+.1f", len(probes), maxExcess)
	assert.Check(t, maxExcess <= 0)
}

// watchRevisions polls the revisions of the processes. The returned function stops
// the polling and describes each revision that is lower than an earlier one of the
// same process, or lower than minRevision while the process serves.
func (f *processFleet) watchRevisions(processes []*process, minRevision uint64) (stop func() []string) {
	stopped, wrong := make(chan struct{}), make(chan []string, len(processes))
	for _, p := range processes {
		go func() {
			var found []string
			for newest := uint64(0); ; {
				select {
				case <-stopped:
					wrong <- found
					return
				case <-time.After(pollInterval):
				}
				s, ok := p.status()
				if ok && (s.Revision < newest || s.Serving && s.Revision < minRevision) {
					found = append(found, fmt.Sprintf("%s: revision %d after %d, serving %v", p.name, s.Revision, newest, s.Serving))
				}
				newest = max(newest, s.Revision)
			}
		}()
	}
	return func() []string {
		close(stopped)
		var all []string
		for range processes {
			all = append(all, <-wrong...)
		}
		return all
	}
}

// publishedConfig returns the current revision and document of the configuration
// service.
func (f *processFleet) publishedConfig() (uint64, []byte) {
	f.t.Helper()
	resp, err := http.Get(f.Platform.URL() + "/v1/config?after=0&wait_ms=0")
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	return f.Revision(), body
}

// dump reads the state dump of a process; ok is false if it can't be read.
func (p *process) dump() (d daemon.Dump, ok bool) {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + p.admin + "/v1/dump")
	if err != nil {
		return d, false
	}
	defer resp.Body.Close()
	return d, json.NewDecoder(resp.Body).Decode(&d) == nil
}

// sharesCovered reports whether the processes together hold every request-ID range
// and all slots of the targets of every shard.
func sharesCovered(processes []*process, slots int) bool {
	ranges, held := 0, 0
	for _, p := range processes {
		d, ok := p.dump()
		if !ok {
			return false
		}
		ranges += len(d.Control.Ranges)
		for _, s := range d.Control.ShardShares {
			held += s.Slots
		}
	}
	return ranges == fleet.RangeCount && held == fleetShards*slots
}
