package daemon

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

const (
	heartbeatTimeout   = 400 * time.Millisecond // below the heartbeat interval, so that calls to one VM do not pile up
	documentTimeout    = 800 * time.Millisecond // below the time after which the control state machine fetches from another VM
	heartbeatQueueSize = 256                    // calls; a heartbeat beyond it is dropped, the next one replaces it
)

// heartbeatTaskMsg is a message to the heartbeat task.
type heartbeatTaskMsg interface{ heartbeatTaskMsg() }

type sendHeartbeatMsg struct {
	call      uint64
	to        fleet.VM
	heartbeat control.Heartbeat
}
type fetchDocumentMsg struct {
	from     fleet.VM
	revision uint64
}

func (sendHeartbeatMsg) heartbeatTaskMsg() {}
func (fetchDocumentMsg) heartbeatTaskMsg() {}

// heartbeatTask owns the client of the control protocol: it sends heartbeats to
// other VMs and fetches configuration documents from them. Each call runs in a
// goroutine of its own, so that one unresponsive VM does not delay the others.
type heartbeatTask struct {
	ctx     context.Context
	client  *http.Client
	control chan<- controlMsg
	inbox   chan heartbeatTaskMsg
}

func newHeartbeatTask(ctx context.Context, transport http.RoundTripper) *heartbeatTask {
	return &heartbeatTask{
		ctx:    ctx,
		client: &http.Client{Transport: &limitedTransport{next: transport, limit: maxControlMessageBytes}},
		inbox:  make(chan heartbeatTaskMsg, heartbeatQueueSize),
	}
}

func (t *heartbeatTask) run() {
	defer t.client.CloseIdleConnections()
	callConcurrently(t.ctx, t.inbox, t.call)
}

func (t *heartbeatTask) call(msg heartbeatTaskMsg) {
	var ev control.Event
	switch msg := msg.(type) {
	case sendHeartbeatMsg:
		ev = t.sendHeartbeat(msg)
	case fetchDocumentMsg:
		ev = t.fetchDocument(msg)
	}
	send(t.ctx, t.control, controlMsg(eventMsg{event: ev}))
}

func (t *heartbeatTask) sendHeartbeat(msg sendHeartbeatMsg) control.Event {
	ctx, cancel := context.WithTimeout(t.ctx, heartbeatTimeout)
	defer cancel()
	c := peer.NewControlProtobufClient(msg.to.PeerURL, t.client)
	p, err := c.Heartbeat(ctx, heartbeatToWire(&msg.heartbeat))
	if err != nil {
		return control.HeartbeatFailed{Call: msg.call}
	}
	reply, err := replyFromWire(p)
	if err != nil {
		return control.HeartbeatFailed{Call: msg.call}
	}
	return control.HeartbeatAnswered{Call: msg.call, Reply: reply}
}

func (t *heartbeatTask) fetchDocument(msg fetchDocumentMsg) control.Event {
	ctx, cancel := context.WithTimeout(t.ctx, documentTimeout)
	defer cancel()
	c := peer.NewControlProtobufClient(msg.from.PeerURL, t.client)
	reply, err := c.ConfigText(ctx, &peer.ConfigTextRequest{Revision: msg.revision})
	if err != nil {
		return control.FetchFailed{From: msg.from.ID}
	}
	document, err := documentFromWire(reply)
	if err != nil {
		return control.FetchFailed{From: msg.from.ID}
	}
	return control.DocumentFetched{From: msg.from.ID, Document: document}
}

// limitedTransport truncates response bodies after limit bytes.
type limitedTransport struct {
	next  http.RoundTripper
	limit int64
}

// RoundTrip implements http.RoundTripper.
func (t *limitedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err == nil {
		resp.Body = &limitedBody{Reader: io.LimitReader(resp.Body, t.limit), Closer: resp.Body}
	}
	return resp, err
}

type limitedBody struct {
	io.Reader
	io.Closer
}
