package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/anvilfork/anvilfork/core/serve"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

const (
	// relaySlack is how much longer than its work a call may take: the VM that
	// runs the work replies at the deadline, and the reply has a way to go.
	relaySlack = 100 * time.Millisecond
	// relayIdlePerVM is how many connections to a VM are kept for relays. More
	// are opened while more relays run.
	relayIdlePerVM = 4
	// relayKeep is how long replies wait for the VM that asked, which asks again
	// at once.
	relayKeep = time.Second
)

// relayClient has other VMs run parts of queries.
type relayClient struct {
	http  *http.Client
	codec CallerCodec
}

func newRelayClient(codec CallerCodec) *relayClient {
	dialer := &net.Dialer{Timeout: peerConnectTimeout}
	return &relayClient{codec: codec, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: relayIdlePerVM, IdleConnTimeout: peerIdle, DisableCompression: true,
	}}}
}

// run makes one relay and reports its replies until the last one. Ending ctx
// ends the work at the other VM.
func (c *relayClient) run(ctx context.Context, a serve.StartRelay, report func(serve.Event)) {
	vm := peer.NewRelayProtobufClient("http://"+a.Peer, c.http)
	reply, err := vm.Start(ctx, encodeWork(a.Work, c.codec.Pack(a.Work.Request)))
	notRun := refused(err) // a later call that is refused says nothing of the work
	for ; err == nil; reply, err = vm.Rest(ctx, &peer.RelayRest{Id: reply.GetId()}) {
		decoded, unreadable := decodeRelayReply(reply, len(a.Work.Shards))
		if unreadable != nil {
			err = unreadable
			break
		}
		report(serve.RelayReplied{Relay: a.Relay, Reply: decoded})
		if !decoded.More {
			return
		}
	}
	if ctx.Err() == nil { // otherwise the query has ended
		report(serve.RelayFailed{Relay: a.Relay, NotRun: notRun, Cause: err.Error()})
	}
}

// startRelay starts the task of one relay.
func (t *engineTask) startRelay(a serve.StartRelay) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Work.TimeLeft+relaySlack)
	t.relays[a.Relay] = cancel
	go t.relayClient.run(ctx, a, func(ev serve.Event) {
		select {
		case t.inbox <- engineMsg{event: ev}:
		case <-ctx.Done(): // the query has ended
		}
	})
}

// relayEvent releases a relay with its last reply.
func (t *engineTask) relayEvent(ev serve.Event) {
	switch ev := ev.(type) {
	case serve.RelayReplied:
		if !ev.Reply.More {
			t.endRelay(ev.Relay)
		}
	case serve.RelayFailed:
		t.endRelay(ev.Relay)
	}
}

// endRelay releases a relay that has ended, or ends it.
func (t *engineTask) endRelay(id serve.RelayID) {
	if cancel := t.relays[id]; cancel != nil {
		cancel()
		delete(t.relays, id)
	}
}

// relayedRun is the work of another VM on its way through the engine task,
// which owns all fields but the work.
type relayedRun struct {
	work    *serve.RelayedWork
	id      serve.RequestID
	waiting chan<- *peer.RelayReply // of the call that waits for a reply; it holds one
	ready   []*peer.RelayReply      // replies without a call that waits
}

// relayMsg is a call of another VM; one of its fields is set.
type relayMsg struct {
	start *relayedRun
	rest  *relayRest
	gone  *relayedRun // whose call was given up
	lapse serve.RequestID
}

// relayRest asks for the next reply. A nil reply means that there is none.
type relayRest struct {
	id    serve.RequestID
	reply chan<- *peer.RelayReply
}

func (t *engineTask) relayCall(m *relayMsg) {
	switch {
	case m.start != nil:
		t.seq++
		m.start.id = t.seq
		m.start.work.Request.ID = t.seq
		t.runs[t.seq] = m.start
		t.step(serve.RelayRequested{Work: m.start.work})
	case m.rest != nil:
		t.relayRest(m.rest)
	case m.gone != nil:
		t.dropRun(m.gone.id)
	default:
		t.dropRun(m.lapse)
	}
}

func (t *engineTask) relayRest(m *relayRest) {
	run := t.runs[m.id]
	switch {
	case run == nil:
		m.reply <- nil
	case len(run.ready) > 0:
		reply := run.ready[0]
		run.ready = run.ready[1:]
		if !reply.GetRest() {
			delete(t.runs, m.id)
		}
		m.reply <- reply
	default:
		run.waiting = m.reply
	}
}

// dropRun ends work that the other VM does not wait for any more.
func (t *engineTask) dropRun(id serve.RequestID) {
	if t.runs[id] != nil {
		delete(t.runs, id)
		t.step(serve.RelayCancelled{ID: id})
	}
}

// replyRelayed hands a reply to the call that waits for it, or keeps it for the
// next one.
func (t *engineTask) replyRelayed(a serve.SendRelayReply) {
	run := t.runs[a.ID]
	if run == nil {
		return
	}
	reply := encodeRelayReply(a.ID, a.Reply)
	if run.waiting == nil {
		run.ready = append(run.ready, reply)
		if !a.Reply.More {
			time.AfterFunc(relayKeep, func() { t.inbox <- engineMsg{relay: &relayMsg{lapse: a.ID}} })
		}
		return
	}
	run.waiting <- reply
	run.waiting = nil
	if !a.Reply.More {
		delete(t.runs, a.ID)
	}
}

// relayServer takes the calls of other VMs.
type relayServer struct {
	engine chan<- engineMsg
	codec  CallerCodec
}

// Start implements peer.Relay.
func (s *relayServer) Start(ctx context.Context, r *peer.RelayRequest) (*peer.RelayReply, error) {
	work, err := decodeWork(r, s.codec)
	if err != nil {
		return nil, twirp.InvalidArgumentError("payload", err.Error())
	}
	reply := make(chan *peer.RelayReply, 1)
	run := &relayedRun{work: work, waiting: reply}
	s.engine <- engineMsg{relay: &relayMsg{start: run}}
	select {
	case m := <-reply:
		return m, nil
	case <-ctx.Done():
		s.engine <- engineMsg{relay: &relayMsg{gone: run}}
		return nil, ctx.Err()
	}
}

// Rest implements peer.Relay.
func (s *relayServer) Rest(ctx context.Context, r *peer.RelayRest) (*peer.RelayReply, error) {
	reply := make(chan *peer.RelayReply, 1)
	id := serve.RequestID(r.GetId())
	s.engine <- engineMsg{relay: &relayMsg{rest: &relayRest{id: id, reply: reply}}}
	select {
	case m := <-reply:
		if m == nil {
			return nil, twirp.NotFoundError("the work has ended")
		}
		return m, nil
	case <-ctx.Done():
		s.engine <- engineMsg{relay: &relayMsg{lapse: id}}
		return nil, ctx.Err()
	}
}
