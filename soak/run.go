package main

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"syscall"
	"time"

	"github.com/anvilfork/anvilfork/platform/platformtest"
)

const (
	callersPerVM        = 2
	callInterval        = 40 * time.Millisecond
	limitedCallInterval = 10 * time.Millisecond // of the workspace that sends more than its rate
	poisonInterval      = 150 * time.Millisecond
	minRereadDelay      = 300 * time.Millisecond // shorter than the time between two reads of the store in quick succession
	rewriteDelay        = time.Second            // from the return of the store to the writes that it lost; targets write every 1.2 s
	recoveryTime        = 7 * time.Second        // after the fault injection; the fleet must serve normally at its end
	finalCalls          = 40
	stopTimeout         = 4 * time.Second // the stop grace period of the settings plus 1 s
)

// result holds what a run of one seed observed.
type result struct {
	seed       int64
	answered   int // calls with status 200
	calls      int
	violations []string
	timeline   []string // the faults that were injected
	logs       string   // directory of the VMs' logs
}

// trafficEvent is a request that is about to be sent, or its answer.
type trafficEvent struct {
	answer   *platformtest.Exchange
	recorded chan struct{} // closed once the checker has registered the request; nil for an answer
}

// runSeed starts a fleet, injects the faults of a seed and returns the violations.
// Its error is about the test setup only.
func runSeed(ctx context.Context, bin, dir string, seed int64, duration time.Duration) (*result, error) {
	f, err := newFleet(bin, filepath.Join(dir, fmt.Sprint(seed)), seed)
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &result{seed: seed, logs: f.dir}
	c := newChecker(shardNames, singleService, map[string]string{"key-a1": "a", "key-a2": "a", "key-l": limitedWorkspace})
	for _, v := range f.vms {
		if !v.waitReady(ctx) {
			r.violations = append(r.violations, v.name+" was not ready in time")
			return r, nil
		}
	}
	p := &player{fleet: f, checker: c, result: r, startedAt: time.Now(), traffic: make(chan trafficEvent, 4096), deferred: make(chan func(), 256)}
	trafficCtx, stop := context.WithCancel(ctx)
	p.startTraffic(trafficCtx)
	p.play(trafficCtx, schedule(seed, duration), duration)
	stop()
	p.checkRecovery(ctx)
	r.violations = append(r.violations, c.violations...)
	r.answered = c.answered
	return r, nil
}

// player executes a schedule of faults. The fleet and the checker are used only in
// the goroutine that calls play.
type player struct {
	fleet     *fleet
	checker   *checker
	result    *result
	startedAt time.Time
	traffic   chan trafficEvent
	deferred  chan func() // callbacks that end faults, run by play
}

// startTraffic starts the callers of all VMs, including one of the limited workspace
// for each VM.
func (p *player) startTraffic(ctx context.Context) {
	for _, v := range p.fleet.vms {
		for c := range callersPerVM {
			key := "key-a1"
			if c == 1 {
				key = "key-a2"
			}
			go p.sendRequests(ctx, v.frontAddress(), requestPrefix(v)+fmt.Sprint(c), key, callInterval)
		}
		go p.sendRequests(ctx, v.frontAddress(), requestPrefix(v)+"l", "key-l", limitedCallInterval*vmCount)
	}
}

// requestPrefix begins the ids of the requests that are sent to a VM.
func requestPrefix(v *vm) string { return v.name + "-" }

// sendPoison sends the request that crashes targets to the VMs in turn until ctx ends.
func (p *player) sendPoison(ctx context.Context) {
	client := &http.Client{Timeout: 3 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		v := p.fleet.vms[i%len(p.fleet.vms)]
		request := fmt.Sprintf("%spoison-%d", requestPrefix(v), i)
		recorded := make(chan struct{})
		p.traffic <- trafficEvent{answer: &platformtest.Exchange{Sent: time.Now(), RequestID: request, NonIdempotent: true, Key: "key-a1"}, recorded: recorded}
		select {
		case <-recorded:
		case <-ctx.Done():
			return
		}
		platformtest.CallPoison(ctx, client, v.frontAddress(), request, "key-a1") // a refusal or a lost answer, which both are right
		select {
		case <-ctx.Done():
		case <-time.After(poisonInterval):
		}
	}
}

// sendRequests sends one request at a time over keep-alive connections until ctx
// ends. Every second request may run only once.
func (p *player) sendRequests(ctx context.Context, frontAddress, name, key string, pause time.Duration) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for i := 0; ctx.Err() == nil; i++ {
		once := i%2 == 1
		request := fmt.Sprintf("%s-%d", name, i)
		recorded := make(chan struct{})
		p.traffic <- trafficEvent{answer: &platformtest.Exchange{Sent: time.Now(), RequestID: request, NonIdempotent: once, Key: key}, recorded: recorded}
		select {
		case <-recorded: // the checker must know a request before its execution
		case <-ctx.Done():
			return
		}
		p.traffic <- trafficEvent{answer: platformtest.Call(ctx, client, frontAddress, request, key, once)}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// play applies the steps at their times and passes what callers and targets
// observe to the checker.
func (p *player) play(ctx context.Context, steps []step, duration time.Duration) {
	end := time.After(duration + recoveryTime)
	for {
		next := time.After(time.Hour)
		if len(steps) > 0 {
			next = time.After(time.Until(p.startedAt.Add(steps[0].At)))
		}
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case <-next:
			p.result.timeline = append(p.result.timeline, steps[0].String())
			p.apply(ctx, steps[0])
			steps = steps[1:]
		case fn := <-p.deferred:
			fn()
		case ev := <-p.traffic:
			p.handleTraffic(ev)
		case run := <-p.fleet.runs:
			p.handleRun(run)
		case exit := <-p.fleet.exits:
			p.handleExit(exit)
		}
	}
}

func (p *player) handleTraffic(ev trafficEvent) {
	if ev.recorded != nil {
		p.checker.recordRequest(ev.answer)
		close(ev.recorded)
		return
	}
	p.result.calls++
	p.drainRuns() // targets report an execution before they answer
	p.checker.checkAnswer(ev.answer)
}

// drainRuns checks all executions that have been reported so far.
func (p *player) drainRuns() {
	for {
		select {
		case run := <-p.fleet.runs:
			p.handleRun(run)
		default:
			return
		}
	}
}

// handleRun checks an execution. A target that has crashed refuses connections, and
// another one replaces it.
func (p *player) handleRun(run platformtest.Run) {
	p.checker.checkRun(run)
	if !run.Crashed {
		return
	}
	for _, t := range p.fleet.targets {
		if t.ID == run.Target {
			t.proxy.close()
			p.runAfter(restartDelay, func() {
				p.fleet.remove(platformtest.TargetKey(t.ID))
				p.replaceTarget(t)
			})
			return
		}
	}
}

// handleExit records a violation if a process exited without being signaled.
func (p *player) handleExit(exit string) {
	for _, v := range p.fleet.vms {
		if len(exit) > len(v.name) && exit[:len(v.name)+1] == v.name+":" && !v.expectedExit {
			p.checker.addViolation("process ended by itself: %s", exit)
		}
	}
}

// runAfter calls fn in the goroutine of play once d has passed.
func (p *player) runAfter(d time.Duration, fn func()) {
	time.AfterFunc(d, func() { p.deferred <- fn })
}

// apply starts a fault and schedules its end.
func (p *player) apply(ctx context.Context, s step) {
	f := p.fleet
	v, t := f.vms[s.Index%len(f.vms)], f.targets[s.Index%len(f.targets)]
	switch s.Kind {
	case killVM, stopVM, pauseVM, reloadVM:
		p.applyToVM(s, v)
	case storeRefuses:
		p.checker.lastDisturbance = time.Now().Add(s.Duration)
		f.store.SetStatus(http.StatusServiceUnavailable)
		p.runAfter(s.Duration, func() { f.store.SetStatus(0) })
	case storeResets:
		p.checker.lastDisturbance = time.Now()
		for _, v := range f.vms {
			v.storeProxy.resetAll()
		}
	case storeSilent:
		p.checker.lastDisturbance = time.Now()
		for _, v := range f.vms {
			v.storeProxy.silenceOpen()
		}
	case storeRewound:
		away := s.Duration / 4
		p.checker.lastDisturbance = time.Now().Add(away + rewriteDelay)
		f.store.Drill(0, away, s.Duration)
		p.runAfter(away+rewriteDelay, f.writeAgain)
	case storeForgets:
		f.store.DropHistory()
	case storeCut:
		p.cutOffStore(s, t)
	case poisoned:
		go p.sendPoison(ctx)
	case targetKilled:
		t.Kill()
		f.remove(platformtest.TargetKey(t.ID))
		p.replaceTarget(t)
	case targetDrains:
		f.put(platformtest.Entry(t.ID, t.Service, t.Zone, t.proxy.address(), true))
		p.checker.drainingSince[t.ID] = time.Now()
		p.replaceTarget(t)
	case targetDelayed, targetOneWay:
		injected := delayChunks
		if s.Kind == targetOneWay {
			injected = dropToServer
		}
		t.proxy.setFault(injected)
		p.runAfter(s.Duration, func() { t.proxy.setFault(noFault) })
	case targetResets:
		t.proxy.resetAll()
	case targetSilent:
		t.proxy.silenceOpen()
	case keyWithdrawn:
		if _, done := p.checker.withdrawnAt["key-a2"]; done {
			return
		}
		f.config.Keys["a"] = []string{"key-a1"}
		f.publishConfig()
		p.checker.withdrawnAt["key-a2"] = time.Now()
	case configChanged:
		f.publishConfig()
	case zoneOut:
		zone := platformtest.ZoneOutKey(zones[s.Index%len(zones)])
		f.put(zone, "{}")
		p.runAfter(s.Duration, func() { f.remove(zone) })
	}
}

// cutOffStore removes the entry of a target, which goes on serving, when the store has
// just been read, and cuts one or two VMs off from the store before they read again.
func (p *player) cutOffStore(s step, leaving *proxiedTarget) {
	p.replaceTarget(leaving)
	p.runAfter(10*time.Millisecond, func() {
		p.fleet.remove(platformtest.TargetKey(leaving.ID))
		p.checker.drainingSince[leaving.ID] = time.Now()
	})
	vms := p.fleet.vms
	for i := range 1 + s.Index/len(vms)%2 {
		v := vms[(s.Index+i)%len(vms)]
		p.runAfter(minRereadDelay, func() {
			p.checker.disturb(v.name, time.Now().Add(s.Duration))
			v.storeProxy.setFault(resetConns)
			v.storeProxy.resetAll()
		})
		p.runAfter(minRereadDelay+s.Duration, func() { v.storeProxy.setFault(noFault) })
	}
}

// replaceTarget starts a new target of the same service and removes the old one
// from the list of targets.
func (p *player) replaceTarget(t *proxiedTarget) {
	if err := p.fleet.addTarget(t.Service); err != nil {
		p.checker.addViolation("a target could not be started: %v", err)
		return
	}
	for i, o := range p.fleet.targets {
		if o == t {
			p.fleet.targets = append(p.fleet.targets[:i:i], p.fleet.targets[i+1:]...)
			return
		}
	}
}

func (p *player) applyToVM(s step, v *vm) {
	if v.expectedExit {
		return // the process is already stopped
	}
	p.checker.lastDisturbance = time.Now().Add(s.Duration)
	p.checker.disturb(v.name, time.Now().Add(s.Duration))
	switch s.Kind {
	case pauseVM:
		p.signal(v, syscall.SIGSTOP)
		p.runAfter(s.Duration, func() { p.signal(v, syscall.SIGCONT) })
	case reloadVM:
		p.signal(v, syscall.SIGHUP)
	case killVM:
		if err := v.terminate(syscall.SIGKILL, stopTimeout); err != nil {
			p.checker.addViolation("%v", err)
		}
		p.restart(v)
	case stopVM:
		v.expectedExit = true
		p.signal(v, syscall.SIGCONT) // it may be paused
		p.signal(v, syscall.SIGTERM)
		cmd, exited := v.cmd, v.exited
		go func() {
			select {
			case <-exited:
			case <-time.After(stopTimeout):
				_ = cmd.Process.Kill() // the grace period has passed
				p.deferred <- func() { p.checker.addViolation("%s did not end within %v of SIGTERM", v.name, stopTimeout) }
				<-exited
			}
			p.deferred <- func() { p.restart(v) }
		}()
	}
}

func (p *player) signal(v *vm, s syscall.Signal) {
	if err := v.cmd.Process.Signal(s); err != nil && !v.expectedExit {
		p.checker.addViolation("%s could not get %v: %v", v.name, s, err)
	}
}

func (p *player) restart(v *vm) {
	p.runAfter(restartDelay, func() {
		if err := p.fleet.start(v); err != nil {
			p.checker.addViolation("%s could not be started: %v", v.name, err)
		}
	})
}

// checkRecovery sends finalCalls requests to the VMs in turn after the faults. At
// least minServedRatio of them must succeed.
func (p *player) checkRecovery(ctx context.Context) {
	client := &http.Client{Timeout: 3 * time.Second}
	served := 0
	for i := range finalCalls {
		v := p.fleet.vms[i%len(p.fleet.vms)]
		request := fmt.Sprintf("last-%d", i)
		p.checker.recordRequest(&platformtest.Exchange{Sent: time.Now(), RequestID: request, NonIdempotent: i%2 == 1, Key: "key-a1"})
		a := platformtest.Call(ctx, client, v.frontAddress(), request, "key-a1", i%2 == 1)
		p.drainRuns()
		p.checker.checkAnswer(a)
		if a.Status == http.StatusOK {
			served++
		}
	}
	if float64(served) < minServedRatio*finalCalls {
		p.checker.addViolation("%d of %d calls were served %v after the faults", served, finalCalls, recoveryTime)
	}
}
