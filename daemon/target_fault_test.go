package daemon_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/client"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/daemon"
	"github.com/anvilfork/anvilfork/standin"
)

const (
	faultQueries = 100
	pollTimeout  = 10 * time.Second
)

// queryOnce sends one query; n makes its body unique.
func (f *testFleet) queryOnce(c *client.Client, n int, nonIdempotent bool) (*client.Answer, error) {
	return c.Query(context.Background(), client.Request{
		Service: "stock", Body: fmt.Appendf(nil, "mat %d", n), LeastCoverage: 1, NonIdempotent: nonIdempotent,
	})
}

// startWarmFleet returns a fleet of one VM and one shard that has answered
// faultQueries queries.
func startWarmFleet(t *testing.T) (*testFleet, *client.Client) {
	t.Helper()
	f := startFleet(t, 1, 1)
	c := f.client(t)
	f.query(t, c)
	for n := range faultQueries {
		_, err := f.queryOnce(c, n, false)
		assert.NilError(t, err)
	}
	return f, c
}

// awaitClaims waits until non-idempotent requests are accepted: request ids that
// were created before the holder of their range became its holder are refused.
func (f *testFleet) awaitClaims(t *testing.T, c *client.Client) {
	t.Helper()
	eventually(t, "no claim is granted", func() bool {
		_, err := f.queryOnce(c, 0, true)
		return err == nil
	})
}

// eventually fails the test when condition does not hold within pollTimeout.
func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(pollTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), failure)
	}
}

// checkTargetLimits checks that no target got more requests or connections at once
// than its limits, nor a caller's key.
func (f *testFleet) checkTargetLimits(t *testing.T) {
	t.Helper()
	for _, target := range f.targets {
		counts := target.Counts()
		assert.Assert(t, counts.MaxRunning <= 2, "%d requests at once", counts.MaxRunning)
		assert.Assert(t, counts.MaxConns <= 25, "%d connections", counts.MaxConns)
		assert.Equal(t, counts.KeyLeaks, 0)
	}
}

// Guards against callers that wait for target connections which stay open but no
// longer deliver anything.
func TestFaultConnectionsSilent(t *testing.T) {
	f, c := startWarmFleet(t)
	f.targets[0].SilenceOpenConnections()
	opened, ran := f.targets[0].Counts().Opened, f.targets[0].Counts().Ran
	for n := range faultQueries {
		began := time.Now()
		_, err := f.queryOnce(c, n, false)
		assert.NilError(t, err)
		assert.Assert(t, time.Since(began) < time.Second, "%v", time.Since(began))
	}
	eventually(t, "the target is not used again", func() bool {
		_, err := f.queryOnce(c, 0, false)
		return err == nil && f.targets[0].Counts().Ran > ran
	})
	assert.Assert(t, f.targets[0].Counts().Opened-opened <= 10, "%d connections opened", f.targets[0].Counts().Opened-opened)
	f.checkTargetLimits(t)
}

// everyTenth returns a fault function that injects fault into every tenth request.
func everyTenth(fault standin.Fault) func([]byte) standin.Fault {
	n := 0
	return func([]byte) standin.Fault {
		if n++; n%10 == 0 {
			return fault
		}
		return standin.NoFault
	}
}

// Guards against mismatched, truncated or failed answers that reach callers, and
// against a refusal with a wrong outcome.
func TestFaultAnswers(t *testing.T) {
	cases := []struct {
		name  string
		fault standin.Fault
		want  outcome.Outcome // of a non-idempotent request
	}{
		{"crossed", standin.WrongAttemptFault, outcome.Unknown},
		{"cut", standin.AnswerCutFault, outcome.RanAnswerLost},
		{"dropped", standin.DropFault, outcome.Unknown},
		{"failed", standin.FailFault, outcome.Unknown},
	}
	f, c := startWarmFleet(t)
	f.awaitClaims(t, c)
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			for _, target := range f.targets {
				target.SetFault(everyTenth(k.fault))
				defer target.SetFault(nil)
			}
			refused := 0
			for n := 0; refused < 3; n++ {
				assert.Assert(t, n < 5*faultQueries, "no request met the fault")
				answer, err := f.queryOnce(c, n, false)
				assert.NilError(t, err)
				assert.Equal(t, answer.Coverage.Answered, 1)
				var refusal *outcome.Refusal
				if _, err := f.queryOnce(c, n, true); errors.As(err, &refusal) {
					refused++
					assert.Equal(t, refusal.Outcome, k.want, "%v", err)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	f.checkTargetLimits(t)
}

// Guards against a request written to a connection that the target had closed
// while it was idle: a non-idempotent one would be lost.
func TestFaultIdleConnectionsClosed(t *testing.T) {
	f, c := startWarmFleet(t)
	f.awaitClaims(t, c)
	for n := range 10 {
		for _, target := range f.targets {
			target.BreakConnections()
		}
		time.Sleep(20 * time.Millisecond) // far above the time in which a loopback peer sees the close
		_, err := f.queryOnce(c, n, true)
		assert.NilError(t, err)
	}
	f.checkTargetLimits(t)
}

// Guards against a cancellation that waits behind a hung status read.
func TestFaultStatusHung(t *testing.T) {
	f, c := startWarmFleet(t)
	for _, target := range f.targets {
		target.SetStatusDelay(time.Hour)
		target.SetDelay(func(int) time.Duration { return time.Hour })
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Query(ctx, client.Request{Service: "stock", Body: []byte("mat")})
	assert.Assert(t, err != nil)
	eventually(t, "a target still runs", func() bool {
		for _, shard := range f.dump(t).Owner.Shards {
			for _, target := range shard.Targets {
				if target.InFlight > 0 {
					return false
				}
			}
		}
		return true
	})
}

// Guards against an attempt that occupies its target after the query's deadline, and
// against its late answer being taken for the answer to another query.
func TestFaultAnswerLate(t *testing.T) {
	f, c := startWarmFleet(t)
	for _, target := range f.targets {
		target.SetFault(func(body []byte) standin.Fault {
			if strings.HasPrefix(string(body), "late") {
				return standin.LateFault
			}
			return standin.NoFault
		})
		target.SetDelay(func(int) time.Duration { return 200 * time.Millisecond })
	}
	for n := range 3 {
		_, err := c.Query(context.Background(), client.Request{
			Service: "stock", Body: fmt.Appendf(nil, "late %d", n), Deadline: 100 * time.Millisecond,
		})
		assert.Assert(t, err != nil)
	}
	for _, target := range f.targets {
		target.SetDelay(nil)
	}
	for n := range faultQueries {
		answer, err := f.queryOnce(c, n, false)
		assert.NilError(t, err)
		assert.Equal(t, len(answer.Parts), 1)
	}
	f.checkTargetLimits(t)
}

// Guards against a target crash that the owner does not detect, a poison request that
// crashes more targets than allowed, and a restarted target that stays unused.
func TestFaultRequestCrashesTargets(t *testing.T) {
	f, c := startWarmFleet(t)
	for _, target := range f.targets {
		target.SetFault(func(body []byte) standin.Fault {
			if string(body) == "poison" {
				return standin.CrashFault
			}
			return standin.NoFault
		})
	}
	for range 5 {
		_, err := c.Query(context.Background(), client.Request{Service: "stock", Body: []byte("poison"), Deadline: time.Second})
		assert.Assert(t, err != nil)
	}
	crashes := 0
	for _, target := range f.targets {
		crashes += target.Counts().Crashes
	}
	// The first attempt, its hedge, which may start before the crash is known, and
	// one isolated run.
	assert.Assert(t, crashes >= 2 && crashes <= 3, "%d crashes, %+v", crashes, f.dump(t).Owner.Shards[0].Stats)
	eventually(t, "the targets are not in use again", func() bool {
		for _, target := range f.dump(t).Owner.Shards[0].Targets {
			if !target.Usable || target.Ready == 0 {
				return false
			}
		}
		return true
	})
	for n := range faultQueries {
		_, err := f.queryOnce(c, n, false)
		assert.NilError(t, err)
	}
}

func (f *testFleet) dump(t *testing.T) daemon.Dump {
	t.Helper()
	resp, err := http.Get(f.vms[0].AdminURL() + "/v1/dump")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var d daemon.Dump
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&d))
	return d
}
