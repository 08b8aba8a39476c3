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
	beatTimeout   = 400 * time.Millisecond // below the heartbeat interval
	textTimeout   = 800 * time.Millisecond // below the time after which control asks another VM
	beatQueueSize = 256                    // calls; a heartbeat without room is dropped and comes again
)

// beatMsg is a message to the heartbeat task.
type beatMsg interface{ beatMsg() }

type sendBeatMsg struct {
	call      uint64
	to        fleet.VM
	heartbeat control.Heartbeat
}
type fetchTextMsg struct {
	from     fleet.VM
	revision uint64
}

func (sendBeatMsg) beatMsg()  {}
func (fetchTextMsg) beatMsg() {}

// beatTask owns the client of the control protocol. Each call runs in a
// goroutine of its own, so that one silent VM does not delay the others.
type beatTask struct {
	ctx     context.Context
	client  *http.Client
	control chan<- controlMsg
	inbox   chan beatMsg
}

func newBeatTask(ctx context.Context, transport http.RoundTripper) *beatTask {
	return &beatTask{
		ctx:    ctx,
		client: &http.Client{Transport: &limitedTransport{next: transport, limit: maxControlMessageBytes}},
		inbox:  make(chan beatMsg, beatQueueSize),
	}
}

func (t *beatTask) run() {
	defer t.client.CloseIdleConnections()
	eachCall(t.ctx, t.inbox, t.call)
}

func (t *beatTask) call(msg beatMsg) {
	var ev control.Event
	switch msg := msg.(type) {
	case sendBeatMsg:
		ev = t.beat(msg)
	case fetchTextMsg:
		ev = t.fetch(msg)
	}
	send(t.ctx, t.control, controlMsg(eventMsg{event: ev}))
}

func (t *beatTask) beat(msg sendBeatMsg) control.Event {
	ctx, cancel := context.WithTimeout(t.ctx, beatTimeout)
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

func (t *beatTask) fetch(msg fetchTextMsg) control.Event {
	ctx, cancel := context.WithTimeout(t.ctx, textTimeout)
	defer cancel()
	c := peer.NewControlProtobufClient(msg.from.PeerURL, t.client)
	reply, err := c.ConfigText(ctx, &peer.ConfigTextRequest{Revision: msg.revision})
	if err != nil {
		return control.FetchFailed{From: msg.from.ID}
	}
	text, err := documentFromWire(reply)
	if err != nil {
		return control.FetchFailed{From: msg.from.ID}
	}
	return control.DocumentFetched{From: msg.from.ID, Document: text}
}

// limitedTransport bounds the bodies of answers.
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
