package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/anvilfork/anvilfork/core/serve"
	"github.com/anvilfork/anvilfork/internal/http1"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

const (
	// relayGrace is how much longer than the time left of its work a relay may
	// take: the VM that runs the work replies at the deadline, and the reply takes
	// time to arrive.
	relayGrace = 100 * time.Millisecond
	// maxIdleRelayConnsPerVM is the number of idle connections to a VM that are kept
	// for relays. More are opened while more relays run.
	maxIdleRelayConnsPerVM = 4
	// replyRetention is how long the last reply waits to be fetched. The other VM
	// asks for the next reply as soon as it has the previous one.
	replyRetention = time.Second
	// nextCallTimeout is the time from a reply until the call for the next one, after
	// which the other VM does not need the work any more: its query ended between two
	// calls, or it is lost. With the time that attempts may then go on, the work ends
	// within half a second.
	nextCallTimeout = 300 * time.Millisecond
)

// relayClient sends parts of queries to other VMs, which run them.
type relayClient struct {
	http  *http.Client
	codec CallerCodec
}

func newRelayClient(codec CallerCodec) *relayClient {
	dialer := &net.Dialer{Timeout: peerConnectTimeout}
	return &relayClient{codec: codec, http: &http.Client{Transport: http1.NewTransport(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleRelayConnsPerVM, IdleConnTimeout: peerIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: http1.MaxHeadBytes,
	})}}
}

// run makes one relay and reports its replies until the last one, or its failure.
// Cancelling ctx cancels the work at the other VM.
func (c *relayClient) run(ctx context.Context, a serve.StartRelay, report func(serve.Event)) {
	client := peer.NewRelayProtobufClient("http://"+a.Peer, c.http)
	reply, err := client.Start(ctx, encodeWork(a.Work, c.codec.Pack(a.Work.Request)))
	notRun := isConnRefused(err) // a later call that is refused does not tell whether the work ran
	for ; err == nil; reply, err = client.Rest(ctx, &peer.RelayRest{Id: reply.GetId()}) {
		decoded, decodeErr := decodeRelayReply(reply, len(a.Work.Shards))
		if decodeErr != nil {
			err = decodeErr
			break
		}
		report(serve.RelayReplied{Relay: a.Relay, Reply: decoded})
		if !decoded.More {
			return
		}
	}
	if ctx.Err() == nil { // otherwise the query has ended
		report(serve.RelayFailed{Relay: a.Relay, Refused: notRun, Cause: err.Error()})
	}
}

// startRelay starts the goroutine of one relay.
func (t *engineTask) startRelay(a serve.StartRelay) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Work.TimeLeft+relayGrace)
	t.outgoingRelays[a.Relay] = cancel
	go t.relayClient.run(ctx, a, func(ev serve.Event) {
		select {
		case t.inbox <- engineMsg{event: ev}:
		case <-ctx.Done(): // the query has ended
		}
	})
}

// releaseFinishedRelay releases a relay with its last reply or its failure.
func (t *engineTask) releaseFinishedRelay(ev serve.Event) {
	switch ev := ev.(type) {
	case serve.RelayReplied:
		if !ev.Reply.More {
			t.endRelay(ev.Relay)
		}
	case serve.RelayFailed:
		t.endRelay(ev.Relay)
	}
}

// endRelay cancels a relay if it still runs, and releases it.
func (t *engineTask) endRelay(id serve.RelayID) {
	if cancel := t.outgoingRelays[id]; cancel != nil {
		cancel()
		delete(t.outgoingRelays, id)
	}
}

// relayedRun is work that this VM runs for another VM. The engine task owns all
// fields but the work.
type relayedRun struct {
	work   *serve.RelayedWork
	id     serve.RequestID
	waiter chan<- *peer.RelayReply // of the call that waits for a reply; has room for one
	queued []*peer.RelayReply      // replies that no call has fetched yet
	calls  int                     // calls for further replies
	ended  bool                    // the last reply is in queued, or was fetched
}

// relayMsg is a message about work for another VM; one of its fields is set.
type relayMsg struct {
	start     *relayedRun
	next      *nextReplyCall
	abandoned *relayedRun     // its first call was cancelled before the reply
	expired   serve.RequestID // a run whose replies are no longer fetched
	awaited   *awaitedCall    // a call for the next reply is overdue unless it has come
}

// awaitedCall is the call for the next reply of a run that had so many calls before.
type awaitedCall struct {
	run   *relayedRun
	calls int
}

// nextReplyCall asks for the next reply of a run. A nil reply means that there is
// none.
type nextReplyCall struct {
	id    serve.RequestID
	reply chan<- *peer.RelayReply
}

// handleRelayCall handles a message about work for another VM.
func (t *engineTask) handleRelayCall(m *relayMsg) {
	switch {
	case m.start != nil:
		t.lastID++
		m.start.id = t.lastID
		m.start.work.Request.ID = t.lastID
		t.relayedRuns[t.lastID] = m.start
		t.step(serve.RelayRequested{Work: m.start.work})
	case m.next != nil:
		t.sendNextReply(m.next)
	case m.abandoned != nil:
		t.cancelRun(m.abandoned.id)
	case m.awaited != nil:
		if run := m.awaited.run; run.calls == m.awaited.calls && !run.ended {
			t.cancelRun(run.id)
		}
	default:
		t.cancelRun(m.expired)
	}
}

// sendNextReply answers a call with the next reply of its run, or makes the call
// wait for that reply.
func (t *engineTask) sendNextReply(m *nextReplyCall) {
	run := t.relayedRuns[m.id]
	if run != nil {
		run.calls++
	}
	switch {
	case run == nil:
		m.reply <- nil
	case len(run.queued) > 0:
		reply := run.queued[0]
		run.queued = run.queued[1:]
		if !reply.GetRest() {
			delete(t.relayedRuns, m.id)
		}
		m.reply <- reply
		t.awaitCall(run)
	default:
		run.waiter = m.reply
	}
}

// awaitCall cancels a run unless a call for its next reply comes in time.
func (t *engineTask) awaitCall(run *relayedRun) {
	if run.ended {
		return
	}
	calls := run.calls
	time.AfterFunc(nextCallTimeout, func() {
		t.inbox <- engineMsg{relay: &relayMsg{awaited: &awaitedCall{run: run, calls: calls}}}
	})
}

// cancelRun cancels work that the other VM does not wait for any more.
func (t *engineTask) cancelRun(id serve.RequestID) {
	if t.relayedRuns[id] != nil {
		delete(t.relayedRuns, id)
		t.step(serve.RelayCancelled{ID: id})
	}
}

// deliverReply sends a reply to the call that waits for it, or keeps it for the
// next call.
func (t *engineTask) deliverReply(a serve.SendRelayReply) {
	run := t.relayedRuns[a.ID]
	if run == nil {
		return
	}
	reply := encodeRelayReply(a.ID, a.Reply)
	run.ended = !a.Reply.More
	if run.waiter == nil {
		run.queued = append(run.queued, reply)
		if !a.Reply.More {
			time.AfterFunc(replyRetention, func() { t.inbox <- engineMsg{relay: &relayMsg{expired: a.ID}} })
		}
		return
	}
	run.waiter <- reply
	run.waiter = nil
	t.awaitCall(run)
	if !a.Reply.More {
		delete(t.relayedRuns, a.ID)
	}
}

// relayServer passes relay calls of other VMs to the engine task.
type relayServer struct {
	engine chan<- engineMsg
	codec  CallerCodec
}

// Start implements peer.Relay. It starts the work and returns its first reply.
func (s *relayServer) Start(ctx context.Context, r *peer.RelayRequest) (*peer.RelayReply, error) {
	work, err := decodeWork(r, s.codec)
	if err != nil {
		return nil, twirp.InvalidArgumentError("payload", err.Error())
	}
	reply := make(chan *peer.RelayReply, 1)
	run := &relayedRun{work: work, waiter: reply}
	s.engine <- engineMsg{relay: &relayMsg{start: run}}
	select {
	case m := <-reply:
		return m, nil
	case <-ctx.Done():
		s.engine <- engineMsg{relay: &relayMsg{abandoned: run}}
		return nil, ctx.Err()
	}
}

// Rest implements peer.Relay. It returns the next reply of work that was started.
func (s *relayServer) Rest(ctx context.Context, r *peer.RelayRest) (*peer.RelayReply, error) {
	reply := make(chan *peer.RelayReply, 1)
	id := serve.RequestID(r.GetId())
	s.engine <- engineMsg{relay: &relayMsg{next: &nextReplyCall{id: id, reply: reply}}}
	select {
	case m := <-reply:
		if m == nil {
			return nil, twirp.NotFoundError("the work has ended")
		}
		return m, nil
	case <-ctx.Done():
		s.engine <- engineMsg{relay: &relayMsg{expired: id}}
		return nil, ctx.Err()
	}
}
