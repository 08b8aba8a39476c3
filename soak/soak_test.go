package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/platform/platformtest"
)

// seeds are run by TestSoakSeeds. A seed that once failed stays here as a
// regression test, with its cause.
var seeds = map[int64]struct {
	cause    string
	duration time.Duration
}{
	1:    {"basic mix of faults; it failed in an early version of the soak", 8 * time.Second},
	172:  {"reload, paused VM, silent connections to a target and to the store, zone out", 8 * time.Second},
	11:   {"store that returns from a copy 2 s old", 8 * time.Second},
	9310: {"request that crashes targets, VMs killed one after the other: its block ended with them", 30 * time.Second},
}

// Guards against violated guarantees while processes, connections, targets and the
// store fail. Runs the whole soak for a short time.
func TestSoakSeeds(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "anvilforkd")
	out, err := exec.Command("go", "build", "-o", bin, "../cmd/anvilforkd").CombinedOutput()
	assert.NilError(t, err, string(out))
	for seed, run := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r, err := runSeed(t.Context(), bin, t.TempDir(), seed, run.duration)
			assert.NilError(t, err)
			assert.Equal(t, len(r.violations), 0, "seed %d, %s: %v\n%v", seed, run.cause, r.violations, r.timeline)
			assert.Assert(t, r.answered > 100, "%d calls answered", r.answered)
		})
	}
}

// Guards against a checker that misses violations: each case violates one guarantee.
func TestCheckerDetectsViolations(t *testing.T) {
	now := time.Now()
	workspaceByKey := map[string]string{"k": "a", "key-l": limitedWorkspace}
	sent := func(c *checker, once bool) {
		c.recordRequest(&platformtest.Exchange{RequestID: "r", Key: "k", NonIdempotent: once, Sent: now})
	}
	run := func(c *checker) {
		c.checkRun(platformtest.Run{At: now, Target: "i", Service: "one", Request: "r", Workspace: "a"})
	}
	seal := func(s string) string { return platformtest.Signature(s, "r") }
	for name, violate := range map[string]func(c *checker){
		"ran without request": run,
		"ran twice":           func(c *checker) { sent(c, true); run(c); run(c) },
		"refused after it ran": func(c *checker) {
			sent(c, true)
			run(c)
			c.checkAnswer(&platformtest.Exchange{RequestID: "r", NonIdempotent: true, Status: 503})
		},
		"ran after its refusal": func(c *checker) {
			sent(c, true)
			c.checkAnswer(&platformtest.Exchange{RequestID: "r", NonIdempotent: true, Status: 429})
			run(c)
		},
		"other workspace": func(c *checker) {
			sent(c, false)
			c.checkRun(platformtest.Run{Request: "r", Workspace: "b"})
		},
		"key shown": func(c *checker) {
			sent(c, false)
			c.checkRun(platformtest.Run{Request: "r", Workspace: "a", KeyReceived: true})
		},
		"withdrawn key": func(c *checker) {
			c.withdrawnAt["k"] = now.Add(-maxRevocationDelay - time.Second)
			sent(c, false)
			run(c)
		},
		"poison request": func(c *checker) {
			for i := range 3 + maxPoisonRetries + 1 {
				request, at := fmt.Sprintf("vm0-poison-%d", i), now.Add(time.Duration(i)*time.Second)
				if i >= 3 {
					at = at.Add(reconnectTime)
				}
				c.recordRequest(&platformtest.Exchange{RequestID: request, Key: "k", NonIdempotent: true, Sent: at})
				c.checkRun(platformtest.Run{At: at, Target: "i", Request: request, Workspace: "a", Crashed: true})
			}
		},
		"drained": func(c *checker) { c.drainingSince["i"] = now.Add(-maxDrainDelay - time.Second); sent(c, false); run(c) },
		"foreign answer": func(c *checker) {
			c.checkAnswer(&platformtest.Exchange{RequestID: "r", NonIdempotent: true, Status: 200, Signature: "one.other", Body: platformtest.Records("one", "r")})
		},
		"false coverage": func(c *checker) {
			c.checkAnswer(&platformtest.Exchange{RequestID: "r", Status: 200, PartSignatures: []string{seal("s0"), seal("s1")}, MissingShards: 0})
		},
		"seal twice": func(c *checker) {
			c.checkAnswer(&platformtest.Exchange{RequestID: "r", Status: 200, PartSignatures: []string{seal("s0"), seal("s0"), seal("s1")}})
		},
		"other records": func(c *checker) {
			c.checkAnswer(&platformtest.Exchange{RequestID: "r", Status: 200, PartSignatures: []string{seal("s0"), seal("s1")}, MissingShards: 1, Body: []byte("x")})
		},
		"over its rate": func(c *checker) {
			for i := range 200 {
				id := string(rune('a' + i))
				c.recordRequest(&platformtest.Exchange{RequestID: id, Key: "key-l", Sent: now})
				c.checkRun(platformtest.Run{At: now, Request: id, Workspace: limitedWorkspace})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newChecker(shardNames, singleService, workspaceByKey)
			violate(c)
			assert.Assert(t, len(c.violations) > 0)
		})
	}
}

// Guards against a failed seed that cannot be reproduced.
func TestScheduleIsDeterministic(t *testing.T) {
	assert.DeepEqual(t, schedule(7, 20*time.Second), schedule(7, 20*time.Second))
	assert.Assert(t, len(schedule(7, 20*time.Second)) > 10)
}
