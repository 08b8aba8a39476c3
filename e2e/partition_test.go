package e2e

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/client"
	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/localfleet"
	"github.com/anvilfork/anvilfork/standin"
)

// Bounds that the design guarantees.
const (
	fencingBound = 2 * time.Second // an isolated VM fences itself after 1.5 s
	shareTTL     = 5 * time.Second
	// A VM counts as lost after 2 s, votes can change after 3.08 s, and shares
	// expire 5.1 s later.
	shareMoveBound = 10200 * time.Millisecond
	withdrawnKey   = standin.KeyMarker + "old"
)

// addWithdrawnKey adds the key that a test later withdraws.
func addWithdrawnKey(e *localfleet.Editor) {
	e.SetKeys(workspace, config.HashKey(standin.KeyMarker+workspace).String(), config.HashKey(withdrawnKey).String())
}

func withdrawKey(e *localfleet.Editor) {
	e.SetKeys(workspace, config.HashKey(standin.KeyMarker+workspace).String())
}

// Guards against an isolated VM that keeps serving with an outdated configuration
// and expired shares, and against an isolated VM that stops the whole fleet.
func TestFaultVMIsolated(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name              string
		index             int
		platformReachable bool          // only the links to other VMs are cut
		frozen            time.Duration // how long the isolated VM is paused while it is cut off
	}{
		{"coordinator", 0, false, 0},
		{"other VM", 2, false, 0},
		{"frozen meanwhile", 1, false, 1500 * time.Millisecond},
		{"coordinator, from VMs only", 0, true, shareTTL},
		{"other VM, from VMs only", 3, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := startParallel(t, addWithdrawnKey)
			runs, tr := f.countRuns(), f.startTraffic()
			p := f.processes[tc.index]
			probes := f.startProbes([]*process{p}, 1, withdrawnKey)
			if !tc.platformReachable {
				p.platformLink.SetMode(standin.LinkCut)
			}
			f.partition([]*process{p}, f.others(p))
			cutAt := time.Now()
			assert.NilError(t, f.Edit(withdrawKey))
			time.Sleep(fencingBound + time.Second)
			if tc.frozen > 0 {
				p.pauseFor(t, tc.frozen)
			}
			time.Sleep(time.Second)
			if !tc.platformReachable {
				resp, err := http.Get("http://" + p.caller + "/v1/addresses")
				assert.NilError(t, err)
				resp.Body.Close()
				assert.Check(t, resp.StatusCode == http.StatusServiceUnavailable, "a fenced VM serves its address list")
			}
			healedAt := time.Now()
			f.healLinks()
			f.waitRevision(healedAt, f.processes...)
			f.eventually(startTimeout, "VM does not serve again", func() bool {
				return f.send(p, client.Request{Service: service, Body: []byte("healed")}) == nil
			})
			t.Logf("serves again %v after healing", time.Since(healedAt))
			all := probes.stop()
			f.stopAndCheck(tr, runs)
			checkVerdicts(t, all)
			checkKeyRejected(t, all, cutAt.Add(fencingBound))
			fenced := 0
			for _, pr := range all {
				if tc.platformReachable || pr.began.Before(cutAt.Add(fencingBound)) || !pr.ended.Before(healedAt) {
					continue
				}
				code, o := pr.refused()
				assert.Check(t, code == outcome.CodeFenced && o == outcome.NotRun, "%v after the cut: %v", pr.began.Sub(cutAt), pr.err)
				fenced++
			}
			assert.Check(t, tc.platformReachable || fenced > 0)
		})
	}
}

// waitRevision fails the test if a VM does not apply the current revision within
// configRolloutBound of since.
func (f *processFleet) waitRevision(since time.Time, processes ...*process) {
	f.t.Helper()
	for _, p := range processes {
		f.eventually(configRolloutBound-time.Since(since), "VM "+p.name+" has an outdated configuration", func() bool {
			s, ok := p.status()
			return ok && s.Revision == f.Revision()
		})
	}
}

// Guards against a VM that returns to an older configuration, and a new VM that
// serves with one, after the configuration service lost its latest revision.
func TestFaultServiceStaleOrReset(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		empty  bool
		frozen bool // a VM is paused while the key is withdrawn and resumes while the service is stale
		killed bool // the coordinator is killed while the service is stale or empty
	}{
		{name: "stale"},
		{name: "stale, VM frozen", frozen: true},
		{name: "empty", empty: true},
		{name: "empty, coordinator killed", empty: true, killed: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := startParallel(t, addWithdrawnKey)
			runs, tr := f.countRuns(), f.startTraffic()
			oldRevision, oldDocument := f.publishedConfig()
			frozenVM := f.processes[2]
			runningVMs := f.processes
			if tc.frozen {
				frozenVM.signal(t, syscall.SIGSTOP)
				runningVMs = f.others(frozenVM)
			}
			publishedAt := time.Now()
			assert.NilError(t, f.Edit(func(e *localfleet.Editor) {
				withdrawKey(e)
				e.SetMaxVMs(fleetVMs + 1)
			}))
			f.waitRevision(publishedAt, runningVMs...)
			acceptedAt := time.Now()
			if tc.empty {
				oldRevision, oldDocument = 0, nil
			}
			f.Platform.SetDocument(oldRevision, oldDocument)
			time.Sleep(keyRevocationBound)
			if tc.killed {
				p := f.processes[0]
				p.signal(t, syscall.SIGKILL)
				p.waitExit(t)
				f.remove(p)
			}
			newVM := f.start()
			regressions := f.watchRevisions(f.processes, 0)
			outdated := f.watchRevisions([]*process{newVM}, f.Revision())
			probes := f.startProbes(f.processes, 1, withdrawnKey)
			frozenVM.signal(t, syscall.SIGCONT)
			f.waitServing(newVM)
			time.Sleep(time.Second)
			restoredAt := time.Now()
			assert.NilError(t, f.Edit(func(e *localfleet.Editor) { e.SetAddressTTL("2s") }))
			f.waitRevision(restoredAt, f.processes...)
			f.stopAndCheck(tr, runs)
			all := probes.stop()
			checkVerdicts(t, all)
			checkKeyRejected(t, all, acceptedAt.Add(keyRevocationBound))
			assert.DeepEqual(t, regressions(), []string(nil))
			assert.DeepEqual(t, outdated(), []string(nil))
		})
	}
}

// Guards against a fleet that stops serving while the configuration service is
// down, and against shares that stay with a lost VM during that time.
func TestFaultServiceDown(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		affected int            // index of the VM that is lost while the service is down, -1 for none
		signal   syscall.Signal // sent to that VM
	}{
		{"alone", -1, 0},
		{"coordinator killed", 0, syscall.SIGKILL},
		{"VM killed", 1, syscall.SIGKILL},
		{"VM frozen", 2, syscall.SIGSTOP},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := startParallel(t, nil)
			runs, tr := f.countRuns(), f.startTraffic()
			f.Platform.SetDown(true)
			if tc.affected < 0 {
				time.Sleep(5 * time.Second)
				f.Platform.SetDown(false)
				assert.Equal(t, f.stopAndCheck(tr, runs), 0)
				return
			}
			time.Sleep(fencingBound) // without its peers, a VM would be fenced by now
			p := f.processes[tc.affected]
			p.signal(t, tc.signal)
			elapsed := f.eventually(shareMoveBound, "shares of "+p.name+" have not moved", func() bool {
				return sharesCovered(f.others(p), slotsPerTarget)
			})
			t.Logf("shares moved after %v", elapsed)
			for _, q := range f.others(p) {
				f.waitServing(q)
			}
			f.stopAndCheck(tr, runs)
		})
	}
}

// Guards against the two halves of a partitioned fleet admitting more than the rate
// and burst of a workspace together, or running the same request once each, and
// against halves that stop serving. Of two VMs that receive the same request ID at
// the same time, at most one runs the request.
func TestFaultPartitionHalf(t *testing.T) {
	t.Parallel()
	const rate, burst = 200.0, 100.0
	for _, tc := range []struct {
		name   string
		signal syscall.Signal // sent to the last VM during the partition
	}{
		{"all alive", 0},
		{"VM frozen", syscall.SIGSTOP},
		{"VM killed", syscall.SIGKILL},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := startParallel(t, func(e *localfleet.Editor) { e.SetRate(workspace, rate, burst) })
			runs := f.countRuns()
			time.Sleep(time.Second)
			a, b := f.processes[:2], f.processes[2:]
			probes, duplicates := f.startProbes(f.processes, 6, f.Key(workspace)), f.startDuplicates(a[0], b[0])
			time.Sleep(time.Second)
			f.partition(a, b)
			began := time.Now()
			last := f.processes[fleetVMs-1]
			if tc.signal != 0 {
				time.Sleep(shareTTL)
				last.signal(t, tc.signal)
				time.Sleep(shareTTL)
			} else {
				time.Sleep(shareMoveBound + 2*time.Second)
			}
			healedAt := time.Now()
			f.healLinks()
			if tc.signal == syscall.SIGSTOP {
				last.signal(t, syscall.SIGCONT)
			}
			time.Sleep(3 * time.Second)
			pairs := duplicates.stop()
			assert.Check(t, answeredBy(pairs, f.processes, time.Time{}, healedAt) > 0)
			all := append(probes.stop(), pairs...)
			f.stopAndCheck(nil, runs)
			checkVerdicts(t, all)
			checkRate(t, all, rate, burst)
			if tc.signal != 0 {
				return
			}
			for name, half := range map[string][]*process{"first": a, "second": b} {
				n, window := answeredBy(all, half, began.Add(shareMoveBound), healedAt), healedAt.Sub(began.Add(shareMoveBound))
				t.Logf("the %s half answered %d queries in %v", name, n, window)
				// Without a coordinator, a VM has only its floor: a quarter of an equal share.
				floorTotal := rate / 4 / fleetVMs * 2 * window.Seconds()
				assert.Check(t, float64(n) > floorTotal, "the half answered no more than its floors of %.0f queries", floorTotal)
			}
		})
	}
}

// answeredBy counts the queries that the VMs received and answered within a time
// window.
func answeredBy(probes []probe, vms []*process, from, to time.Time) int {
	n := 0
	for _, pr := range probes {
		for _, p := range vms {
			if pr.vm == p && pr.err == nil && pr.began.After(from) && pr.ended.Before(to) {
				n++
			}
		}
	}
	return n
}

// Guards against queries that hang because an open connection between two VMs
// silently drops all data.
func TestFaultLinkSilent(t *testing.T) {
	t.Parallel()
	silenceOpen := func(_ *processFleet, p *process) { p.peerLink.SetMode(standin.LinkSilenceOpen) }
	holdInbound := func(_ *processFleet, p *process) { p.peerLink.SetMode(standin.LinkBlackhole) }
	for _, tc := range []struct {
		name    string
		silence func(f *processFleet, p *process)
		signal  syscall.Signal // sent to another VM while the link is silent
	}{
		{"open connections", silenceOpen, 0},
		{"open connections, VM frozen", silenceOpen, syscall.SIGSTOP},
		{"towards a VM", holdInbound, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			checkSilentLink(t, tc.silence, tc.signal)
		})
	}
}

// Guards against queries that hang because the links between two VMs silently drop
// all data in both directions while the other VMs still reach both.
func TestFaultPairSilent(t *testing.T) {
	checkSilentLink(t, func(f *processFleet, p *process) {
		q := f.others(p)[0]
		p.peerLink.SetModeFrom(standin.LinkBlackhole, sentBy([]*process{q}))
		q.peerLink.SetModeFrom(standin.LinkBlackhole, sentBy([]*process{p}))
	}, 0)
}

// checkSilentLink fails the test if an idempotent query gets no complete answer,
// through the client library or from a VM that is neither silenced nor signaled.
func checkSilentLink(t *testing.T, silence func(f *processFleet, p *process), signal syscall.Signal) {
	t.Helper()
	f := startParallel(t, nil)
	runs, tr := f.countRuns(), f.startTraffic()
	p, frozen := f.processes[1], f.processes[2]
	probedVMs := f.others(p)
	if signal != 0 {
		probedVMs = f.others(p, frozen)
	}
	probes := f.startProbes(probedVMs, 1, f.Key(workspace))
	silence(f, p)
	time.Sleep(2 * time.Second)
	if signal != 0 {
		frozen.signal(t, signal)
	}
	time.Sleep(4 * time.Second)
	all := probes.stop()
	f.stopAndCheck(tr, runs)
	checkVerdicts(t, all)
	for _, pr := range all {
		assert.Check(t, pr.err == nil, "%s: no answer after %v: %v", pr.vm.name, pr.ended.Sub(pr.began), pr.err)
	}
}

// Guards against lost queries when a VM in the zone of the callers reaches the
// others but cannot be reached by them. Such a VM remains an owner of shards and
// stays in the address lists.
func TestFaultVMUnreachable(t *testing.T) {
	f := startParallel(t, nil)
	runs, tr := f.countRuns(), f.startTraffic()
	f.processes[3].peerLink.SetMode(standin.LinkBlackhole)
	time.Sleep(15 * time.Second)
	f.stopAndCheck(tr, runs)
}

// Guards against a VM that keeps accepting a withdrawn key because it reaches other
// VMs but not the configuration service.
func TestFaultKeyWithdrawnWhileCut(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name     string
		mode     standin.LinkMode
		affected int            // index of the VM that is lost at the same time, -1 for none
		signal   syscall.Signal // sent to that VM
	}{
		{"cut", standin.LinkCut, -1, 0},
		{"silent", standin.LinkBlackhole, -1, 0},
		{"coordinator killed", standin.LinkCut, 0, syscall.SIGKILL},
		{"VM frozen", standin.LinkCut, 1, syscall.SIGSTOP},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := startParallel(t, addWithdrawnKey)
			runs, tr := f.countRuns(), f.startTraffic()
			probes := f.startProbes(f.processes, 1, withdrawnKey)
			p := f.processes[3]
			p.platformLink.SetMode(tc.mode)
			time.Sleep(fencingBound)
			if tc.affected >= 0 {
				f.processes[tc.affected].signal(t, tc.signal)
			}
			publishedAt := time.Now()
			assert.NilError(t, f.Edit(withdrawKey))
			f.eventually(configRolloutBound, "no VM accepts the new configuration", func() bool {
				s, ok := f.processes[2].status()
				return ok && s.Revision == f.Revision()
			})
			acceptedAt := time.Now()
			f.waitRevision(publishedAt, p)
			time.Sleep(keyRevocationBound + time.Second)
			if tc.signal == syscall.SIGSTOP {
				f.processes[tc.affected].signal(t, syscall.SIGCONT)
				time.Sleep(time.Second)
			}
			all := probes.stop()
			f.stopAndCheck(tr, runs)
			checkVerdicts(t, all)
			checkKeyRejected(t, all, acceptedAt.Add(keyRevocationBound))
			for _, q := range f.processes {
				assert.Check(t, acceptedKey(all, q, publishedAt), "%s never accepted the key before its withdrawal", q.name)
			}
		})
	}
}

// acceptedKey reports whether a VM answered a probe before the given time.
func acceptedKey(probes []probe, p *process, before time.Time) bool {
	return answeredBy(probes, []*process{p}, time.Time{}, before) > 0
}
