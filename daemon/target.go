package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/route"
	"github.com/anvilfork/anvilfork/internal/http1"
)

const (
	probeInterval   = 500 * time.Millisecond
	probeTimeout    = 300 * time.Millisecond
	cancelTimeout   = 300 * time.Millisecond
	cancelQueueSize = 64 // when it is full, a cancellation is dropped and the shard's state machine closes the attempt's connection
	maxStatusBytes  = 64 << 10
)

// targetHandle is how the owner task controls the probe task and the cancel task of
// a target.
type targetHandle struct {
	probes  chan struct{}
	cancels chan route.AttemptID
	stop    context.CancelFunc
}

func (h *targetHandle) cancelAttempt(id route.AttemptID) { trySend(h.cancels, id) }

// probeNow requests a status read that begins after this call; calls before it
// begins are merged into one read.
func (h *targetHandle) probeNow() { trySend(h.probes, struct{}{}) }

// startTarget starts the probe task and the cancel task of one target. Each owns one
// connection: a status read that hangs must not delay cancellations.
func startTarget(ctx context.Context, shard fleet.ShardID, address string, owner chan<- ownerMsg) *targetHandle {
	ctx, stop := context.WithCancel(ctx)
	h := &targetHandle{
		probes: make(chan struct{}, 1), cancels: make(chan route.AttemptID, cancelQueueSize), stop: stop,
	}
	p := &probeTask{shard: shard, address: address, client: newSingleConnClient(probeTimeout), probes: h.probes, owner: owner}
	c := &cancelTask{address: address, client: newSingleConnClient(cancelTimeout), cancels: h.cancels}
	go p.run(ctx)
	go c.run(ctx)
	return h
}

// newSingleConnClient returns a client that keeps at most one connection.
func newSingleConnClient(timeout time.Duration) *http.Client {
	return &http.Client{Transport: http1.NewTransport(&http.Transport{MaxConnsPerHost: 1}), Timeout: timeout}
}

// probeTask reads the status of one target, every probeInterval and on request.
type probeTask struct {
	shard   fleet.ShardID
	address string
	client  *http.Client
	probes  <-chan struct{}
	owner   chan<- ownerMsg
}

func (t *probeTask) run(ctx context.Context) {
	defer t.client.CloseIdleConnections()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	t.probe(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.probe(ctx)
		case <-t.probes:
			t.probe(ctx)
		}
	}
}

// probe reads the status once and reports it to the shard's state machine.
func (t *probeTask) probe(ctx context.Context) {
	began := time.Now()
	status, err := t.readStatus(ctx)
	ev := route.ProbeResult{
		Target: t.address, Status: status, Began: began,
		Failed: err != nil, Refused: errors.Is(err, syscall.ECONNREFUSED),
	}
	send(ctx, t.owner, ownerMsg(shardMsg{shard: t.shard, event: ev}))
}

// statusBody is the body of a target's answer to GET /v1/status.
type statusBody struct {
	State         string   `json:"state"`
	Boot          string   `json:"boot"`
	Load          float64  `json:"load"`
	IndexVersions []uint64 `json:"index_versions"`
	PartitionMap  uint64   `json:"partition_map"`
	Group         string   `json:"group"`
}

// StatusError is a status read that a target answered with an HTTP status other
// than 200.
type StatusError struct {
	Target string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return "target " + e.Target + " answered a status read with " + http.StatusText(e.Status)
}

func (t *probeTask) readStatus(ctx context.Context) (route.TargetStatus, error) {
	var s route.TargetStatus
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.address+"/v1/status", nil)
	if err != nil {
		return s, err
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, errors.WithStack(&StatusError{Target: t.address, Status: resp.StatusCode})
	}
	var b statusBody
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxStatusBytes)).Decode(&b); err != nil {
		return s, err
	}
	return route.TargetStatus{
		State: route.TargetState(b.State), BootID: b.Boot, Load: b.Load,
		IndexVersions: b.IndexVersions, PartitionMap: b.PartitionMap, Shard: b.Group,
	}, nil
}

// cancelTask sends cancellations to one target. A failed one is not repeated.
type cancelTask struct {
	address string
	client  *http.Client
	cancels <-chan route.AttemptID
}

func (t *cancelTask) run(ctx context.Context) {
	defer t.client.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-t.cancels:
			t.cancel(ctx, id)
		}
	}
}

func (t *cancelTask) cancel(ctx context.Context, id route.AttemptID) {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+t.address+"/v1/attempts/"+id.String(), nil)
	if err != nil {
		return
	}
	if resp, err := t.client.Do(req); err == nil {
		resp.Body.Close()
	}
}
