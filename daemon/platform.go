package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/internal/http1"
)

const (
	platformTimeout   = 2 * time.Second // of one call; above the wait of a configuration watch
	platformInboxSize = 4               // calls; the control task has at most one of each kind in flight
	maxDocumentBytes  = 1 << 20         // the configuration service stores values of up to 1 MiB
)

// PlatformError reports an answer of the platform with an unexpected status.
type PlatformError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *PlatformError) Error() string {
	return fmt.Sprintf("platform answered %d to %s", e.Status, e.Path)
}

// platformMsg requests one call. The control task decides when and how often to call.
type platformMsg interface{ platformMsg() }

type readConfigMsg struct{ read control.ReadConfig }
type readVMListMsg struct{}

func (readConfigMsg) platformMsg() {}
func (readVMListMsg) platformMsg() {}

// platformTask owns the HTTP client of the platform. Each call runs in its own
// goroutine, because a configuration watch blocks until a change.
type platformTask struct {
	ctx     context.Context
	url     string
	client  *http.Client
	control chan<- controlMsg
	inbox   chan platformMsg
}

func newPlatformTask(ctx context.Context, url string) *platformTask {
	return &platformTask{
		ctx: ctx, url: url, inbox: make(chan platformMsg, platformInboxSize),
		client: &http.Client{Timeout: platformTimeout, Transport: http1.NewTransport(&http.Transport{})},
	}
}

func (t *platformTask) run() {
	defer t.client.CloseIdleConnections()
	callConcurrently(t.ctx, t.inbox, t.call)
}

// call sends the result to the control task as an event.
func (t *platformTask) call(msg platformMsg) {
	var ev control.Event
	switch msg := msg.(type) {
	case readConfigMsg:
		ev = t.readConfig(msg.read)
	case readVMListMsg:
		ev = t.readVMList()
	}
	send(t.ctx, t.control, controlMsg(eventMsg{event: ev}))
}

// readConfig waits up to r.Wait for a revision that differs from r.After.
func (t *platformTask) readConfig(r control.ReadConfig) control.Event {
	body, err := t.get(fmt.Sprintf("/v1/config?after=%d&wait_ms=%d", r.After, r.Wait.Milliseconds()))
	switch {
	case err != nil:
		return control.ConfigReadFailed{}
	case body == nil:
		return control.ConfigUnchanged{}
	}
	return control.ConfigRead{Document: body}
}

// vmListBody is the answer to /v1/vms.
type vmListBody struct {
	VMs []struct {
		ID     string `json:"id"`
		Zone   string `json:"zone"`
		Peer   string `json:"peer"`
		Caller string `json:"caller"`
		State  string `json:"state"`
	} `json:"vms"`
}

func (t *platformTask) readVMList() control.Event {
	body, err := t.get("/v1/vms")
	if err != nil {
		return control.VMListFailed{}
	}
	var b vmListBody
	if err := json.Unmarshal(body, &b); err != nil {
		return control.VMListFailed{}
	}
	vms := make([]fleet.VM, 0, len(b.VMs))
	for _, v := range b.VMs {
		vms = append(vms, fleet.VM{ID: fleet.VMID(v.ID), Zone: v.Zone, PeerURL: v.Peer, CallerURL: v.Caller, State: fleet.VMState(v.State)})
	}
	return control.VMListRead{VMs: vms}
}

// get returns the body of a 200 answer, and nil for a 304. The error is a
// *PlatformError for any other status.
func (t *platformTask) get(path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(t.ctx, http.MethodGet, t.url+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxDocumentBytes))
	case http.StatusNotModified:
		return nil, nil
	}
	return nil, errors.WithStack(&PlatformError{Path: path, Status: resp.StatusCode})
}

// sleep returns after d, or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
