package main

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anvilfork/anvilfork/platform/platformtest"
)

// Guarantees towards the production platform (package platform) that the checker
// verifies.
const (
	maxRevocationDelay = 5 * time.Second
	maxDrainDelay      = 3 * time.Second
	maxPoisonRetries   = 3               // of the request that crashes targets, sent by VMs in touch later than reconnectTime after its third crash
	reconnectTime      = 4 * time.Second // undisturbed time after which VMs count as reachable, as maxDrainDelay requires
	quotaWindow        = 5 * time.Second
	quotaTolerance     = 1.25 // factor on the requests that rate and burst allow
	quotaAllowance     = 20   // requests beyond that
	limitedRate        = 20.0 // requests per second of the workspace that sends more than its rate
	minServedRatio     = 0.95 // of the calls that follow the faults
	limitedWorkspace   = "limited"
)

// checker compares what callers and targets observe with the guarantees and
// collects the violations. It is not safe for concurrent use.
type checker struct {
	shards          []string
	singleService   string
	workspaceByKey  map[string]string
	requests        map[string]*platformtest.Exchange // by request; what callers sent, without the results
	runCounts       map[string]int                    // executions by request, of requests that may run only once
	refused         map[string]bool                   // requests whose refusal says that they did not run
	withdrawnAt     map[string]time.Time              // by key
	drainingSince   map[string]time.Time              // by target ID
	disturbedUntil  map[string]time.Time              // by VM name
	crashes         int                               // of targets, by the poison request
	thirdCrash      time.Time                         // time of the third one
	poisonRetries   int                               // that count against maxPoisonRetries
	lastDisturbance time.Time                         // in the future while the disturbance lasts
	limitedRuns     []time.Time                       // first executions of the limited workspace's requests within quotaWindow
	counted         map[string]bool                   // requests already added to limitedRuns
	answered        int
	violations      []string
}

func newChecker(shards []string, singleService string, workspaceByKey map[string]string) *checker {
	return &checker{
		shards: shards, singleService: singleService, workspaceByKey: workspaceByKey, requests: make(map[string]*platformtest.Exchange), runCounts: make(map[string]int),
		refused: make(map[string]bool), withdrawnAt: make(map[string]time.Time), drainingSince: make(map[string]time.Time), counted: make(map[string]bool), disturbedUntil: make(map[string]time.Time),
	}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// disturb records that a VM is disturbed until a time.
func (c *checker) disturb(vm string, until time.Time) {
	if until.After(c.disturbedUntil[vm]) {
		c.disturbedUntil[vm] = until
	}
}

// inTouch reports whether the VM that a request was sent to was undisturbed for
// reconnectTime at a time.
func (c *checker) inTouch(request string, at time.Time) bool {
	vm, _, _ := strings.Cut(request, "-")
	return at.Sub(c.disturbedUntil[vm]) > reconnectTime
}

// checkCrash checks an execution that crashed its target.
func (c *checker) checkCrash(r platformtest.Run, sent time.Time) {
	if c.crashes++; c.crashes == 3 {
		c.thirdCrash = r.At
	}
	if c.crashes > 3 && sent.Sub(c.thirdCrash) > reconnectTime && c.inTouch(r.Request, sent) {
		if c.poisonRetries++; c.poisonRetries > maxPoisonRetries {
			c.addViolation("retry %d of the request that crashes targets reached target %s %v after the third crash", c.poisonRetries, r.Target, r.At.Sub(c.thirdCrash))
		}
	}
}

// recordRequest registers a request. It must be called before the request is sent.
func (c *checker) recordRequest(a *platformtest.Exchange) { c.requests[a.RequestID] = a }

// checkRun checks one execution that a target reports.
func (c *checker) checkRun(r platformtest.Run) {
	a := c.requests[r.Request]
	if a == nil {
		c.addViolation("target %s ran %q, which no caller sent", r.Target, r.Request)
		return
	}
	if r.KeyReceived || r.Workspace != c.workspaceByKey[a.Key] {
		c.addViolation("request %s of workspace %q ran for %q, key shown: %v", r.Request, c.workspaceByKey[a.Key], r.Workspace, r.KeyReceived)
	}
	if a.NonIdempotent {
		c.runCounts[r.Request]++
		if c.runCounts[r.Request] > 1 {
			c.addViolation("request %s, which may run once, ran %d times", r.Request, c.runCounts[r.Request])
		}
		if c.refused[r.Request] {
			c.addViolation("request %s ran although its refusal said that it had not", r.Request)
		}
	}
	if at, ok := c.withdrawnAt[a.Key]; ok && a.Sent.Sub(at) > maxRevocationDelay {
		c.addViolation("request %s ran, sent %v after its key was withdrawn", r.Request, a.Sent.Sub(at))
	}
	if r.Crashed {
		c.checkCrash(r, a.Sent)
	}
	if at, ok := c.drainingSince[r.Target]; ok && r.At.Sub(at) > maxDrainDelay && at.Sub(c.lastDisturbance) > reconnectTime && c.inTouch(r.Request, r.At) {
		c.addViolation("request %s reached target %s %v after it began to drain", r.Request, r.Target, r.At.Sub(at))
	}
	c.checkQuota(a, r.At)
}

// checkQuota checks that the limited workspace stays within its rate and burst in
// every quotaWindow. Only the first execution of a request counts.
func (c *checker) checkQuota(a *platformtest.Exchange, at time.Time) {
	if c.workspaceByKey[a.Key] != limitedWorkspace || c.counted[a.RequestID] {
		return
	}
	c.counted[a.RequestID] = true
	c.limitedRuns = append(c.limitedRuns, at)
	c.limitedRuns = slices.DeleteFunc(c.limitedRuns, func(t time.Time) bool { return at.Sub(t) > quotaWindow })
	maxRuns := (limitedRate*quotaWindow.Seconds()+limitedRate)*quotaTolerance + quotaAllowance
	if float64(len(c.limitedRuns)) > maxRuns {
		c.addViolation("workspace %s ran %d requests in %v, %v are allowed", limitedWorkspace, len(c.limitedRuns), quotaWindow, maxRuns)
	}
}

// checkAnswer checks the answer or the refusal that a caller received.
func (c *checker) checkAnswer(a *platformtest.Exchange) {
	switch {
	case a.Status == 200 && a.NonIdempotent:
		c.answered++
		if a.Signature != platformtest.Signature(c.singleService, a.RequestID) || !bytes.Equal(a.Body, platformtest.Records(c.singleService, a.RequestID)) {
			c.addViolation("request %s got an answer that isn't its own: seal %q", a.RequestID, a.Signature)
		}
	case a.Status == 200:
		c.answered++
		c.checkMergedAnswer(a)
	case a.NotRun() && a.NonIdempotent:
		c.refused[a.RequestID] = true
		if c.runCounts[a.RequestID] > 0 {
			c.addViolation("request %s was refused with %d and had run", a.RequestID, a.Status)
		}
	}
}

// checkMergedAnswer checks the coverage and the records of an answer that is
// merged from several shards.
func (c *checker) checkMergedAnswer(a *platformtest.Exchange) {
	var records [][]byte
	seen := make(map[string]bool)
	for _, seal := range a.PartSignatures {
		i := slices.IndexFunc(c.shards, func(s string) bool { return platformtest.Signature(s, a.RequestID) == seal })
		if i < 0 || seen[seal] {
			c.addViolation("request %s got the seal %q", a.RequestID, seal)
			return
		}
		seen[seal] = true
		for r := platformtest.Records(c.shards[i], a.RequestID); len(r) > 0; r = r[platformtest.RecordBytes:] {
			records = append(records, r[:platformtest.RecordBytes])
		}
	}
	if len(a.PartSignatures)+a.MissingShards != len(c.shards) || 2*len(a.PartSignatures) < len(c.shards) {
		c.addViolation("request %s has %d parts, says that %d are missing, of %d", a.RequestID, len(a.PartSignatures), a.MissingShards, len(c.shards))
	}
	slices.SortFunc(records, func(x, y []byte) int { return bytes.Compare(y, x) })
	if want := bytes.Join(records[:min(4, len(records))], nil); !bytes.Equal(a.Body, want) {
		c.addViolation("request %s got other records than the greatest of its parts", a.RequestID)
	}
}
