package daemon_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a cold start of the whole fleet that waits for earlier votes and
// shares to expire, though nobody can hold any: with all max_vms VMs present, a
// complete answer must come within one vote TTL.
func TestColdStartOfAllVMs(t *testing.T) {
	const voteTTL = 3 * time.Second
	began := time.Now()
	f := startFleet(t, 3, 5)
	f.query(t, f.client(t))
	elapsed := time.Since(began)
	t.Logf("3 of 3 VMs: first complete answer after %v", elapsed.Round(10*time.Millisecond))
	assert.Assert(t, elapsed < voteTTL)
}

// Guards against a fleet that assigns shares while a missing VM could still hold
// some, and against one that waits for longer than both TTLs.
func TestColdStartWithOneVMMissing(t *testing.T) {
	const (
		ttls  = 3080*time.Millisecond + 5100*time.Millisecond // of votes, then of shares, with max drift
		slack = 4 * 500 * time.Millisecond                    // four heartbeat intervals
	)
	began := time.Now()
	f := startFleetOf(t, 3, 4, 5)
	f.query(t, f.client(t))
	elapsed := time.Since(began)
	t.Logf("3 of 4 VMs: first complete answer after %v", elapsed.Round(10*time.Millisecond))
	assert.Assert(t, elapsed > ttls)
	assert.Assert(t, elapsed < ttls+slack)
}
