package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/platform/platformtest"
)

// stopAnswer is what a caller got for a request that ended after SIGTERM.
type stopAnswer struct {
	id         string
	sent, took time.Duration // sent is measured from SIGTERM
	status     int           // zero if the connection ended without an answer
	retryAfter string
}

// stopCaller sends requests one after the other on a connection that it keeps, until
// gone is closed.
func stopCaller(front, name string, pause time.Duration, stopped, gone <-chan struct{}, began *time.Time) []stopAnswer {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 10 * time.Second}
	var answers []stopAnswer
	for n := 0; ; n++ {
		select {
		case <-gone:
			return answers
		default:
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+front+"/once/x", nil) //nolint:noctx // a test's own server
		if err != nil {
			panic(err)
		}
		a := stopAnswer{id: fmt.Sprintf("%s-%d", name, n)}
		req.Host = "h"
		req.Header.Set(platformtest.HeaderRequest, a.id)
		req.Header.Set("Authorization", "Token k1")
		sent := time.Now()
		if resp, err := client.Do(req); err == nil {
			if _, err := io.Copy(io.Discard, resp.Body); err == nil {
				a.status, a.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
			}
			resp.Body.Close()
		}
		select {
		case <-stopped:
			a.sent, a.took = sent.Sub(*began), time.Since(sent)
			answers = append(answers, a)
		default:
		}
		time.Sleep(pause)
	}
}

// Guards against requests that come late in the stop of a process, are sent to targets
// and are cut at its end, or that wait for a target and get no answer. Callers keep
// their connections and send on until the process is gone.
func TestFaultStopWithSlowTargets(t *testing.T) {
	const (
		callers = 30
		runTime = 900 * time.Millisecond
		grace   = 3 * time.Second // of platformtest.Settings
		timeout = 5 * time.Second // of the route
		atOnce  = 300 * time.Millisecond
		ip      = "127.8.2.1" // of this test alone
	)
	store := platformtest.NewStore()
	defer store.Close()
	runs := make(chan platformtest.Run, 1<<14)
	for i := range 3 {
		target, err := platformtest.NewTarget(fmt.Sprintf("i-%d", i), "single", "z1", runTime, runs)
		assert.NilError(t, err)
		defer target.Kill()
		store.Put(platformtest.Entry(target.ID, "single", "z1", target.Address(), false))
	}
	config := platformtest.Config{Version: 1, Shards: []string{"shard"}, Single: "single", Keys: map[string][]string{"w": {"k1"}}, Rates: map[string]float64{"w": 1000}}
	slowRoute := strings.NewReplacer(`"TimeoutMs":2000`, `"TimeoutMs":5000`, `"TargetLatencyMs":600`, `"TargetLatencyMs":4000`)
	store.Put(platformtest.ConfigKey, slowRoute.Replace(config.JSON()))
	cmd := startProcess(t, ip, store)

	var mu sync.Mutex
	var answers []stopAnswer
	var began time.Time
	stopped, gone := make(chan struct{}), make(chan struct{})
	var callersDone sync.WaitGroup
	for c := range callers {
		callersDone.Add(1)
		go func() {
			defer callersDone.Done()
			all := stopCaller(ip+":"+platformtest.FrontPort, fmt.Sprint(c), time.Duration(10+c*17)*time.Millisecond, stopped, gone, &began)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, all...)
		}()
	}
	time.Sleep(4 * time.Second)
	began = time.Now()
	close(stopped)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, cmd.Wait())
	assert.Assert(t, time.Since(began) < grace)
	close(gone)
	callersDone.Wait()
	ran := make(map[string]bool)
	for len(runs) > 0 {
		ran[(<-runs).Request] = true
	}
	served, refused := 0, 0
	for _, a := range answers {
		switch a.status {
		case http.StatusOK:
			served++
		case http.StatusGatewayTimeout: // it waited for most of the route's timeout before it was sent
			assert.Assert(t, a.took > timeout-runTime, "%+v", a)
		case http.StatusServiceUnavailable:
			assert.Assert(t, !ran[a.id], "%+v ran", a)
			assert.Assert(t, a.retryAfter != "" || a.took > timeout-atOnce, "%+v", a)
			assert.Assert(t, a.sent < grace/2 || a.took < atOnce, "%+v", a)
			refused++
		default:
			assert.Assert(t, !ran[a.id], "%+v was sent to a target", a)
			assert.Assert(t, a.took < atOnce, "%+v got no answer", a)
		}
	}
	t.Logf("%d served, %d refused", served, refused)
	assert.Assert(t, served > 5 && refused > 0, "%d served, %d refused", served, refused)
}
