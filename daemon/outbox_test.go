package daemon

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
	"github.com/anvilfork/anvilfork/rpc/peer"
	"github.com/anvilfork/anvilfork/standin"
)

const testWait = 10 * time.Second // for something that must happen, far above its usual time

// recorder is another VM that keeps the batches it gets.
type recorder struct {
	runsOnce bool // what it says of itself
	batches  chan *peer.Batch
	hold     chan struct{} // calls end only after it is closed
	idle     atomic.Int32  // connections whose call was answered
}

func (r *recorder) Deliver(_ context.Context, b *peer.Batch) (*peer.Ack, error) {
	r.batches <- b
	<-r.hold
	return &peer.Ack{RunsOnce: r.runsOnce}, nil
}

// outboxRig is one outbox task with another VM behind a link.
type outboxRig struct {
	outbox *outboxTask
	entry  chan entryMsg
	link   *standin.Link
	peer   *recorder
}

func newOutboxRig(t *testing.T) *outboxRig {
	t.Helper()
	r := &outboxRig{entry: make(chan entryMsg, 2*maxWaiting), peer: &recorder{batches: make(chan *peer.Batch, 1000), hold: make(chan struct{})}}
	server := httptest.NewUnstartedServer(http.MaxBytesHandler(peer.NewSearchServer(r.peer), maxPeerBodyBytes))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateIdle {
			r.peer.idle.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	link, err := standin.NewLink(strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	r.link = link
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	r.outbox = newOutboxTask(ctx, "a", newPeerDialer(nil, zerolog.Nop()).transport, zerolog.Nop())
	r.outbox.entry = r.entry
	r.outbox.views <- &fleet.View{VMs: []fleet.VM{{ID: "b", PeerURL: "http://" + link.Address()}}}
	go r.outbox.run()
	for len(r.outbox.views) > 0 { // the view must come before the first message
		time.Sleep(time.Millisecond)
	}
	return r
}

func testSub(seq uint64) scatter.SubRequest {
	return scatter.SubRequest{ID: scatter.SubID{Ingress: "a", Seq: seq}, Deadline: time.Now().Add(time.Minute), IndexVersion: 7}
}

func (r *outboxRig) send(m peerMsg) { r.outbox.inbox <- m }

func (r *outboxRig) batch(t *testing.T) *peer.Batch {
	t.Helper()
	select {
	case b := <-r.peer.batches:
		return b
	case <-time.After(testWait):
		t.Fatal("no batch arrived")
		return nil
	}
}

func (r *outboxRig) failure(t *testing.T) entryMsg {
	t.Helper()
	select {
	case m := <-r.entry:
		return m
	case <-time.After(testWait):
		t.Fatal("no failure was reported")
		return nil
	}
}

// Guards against sub-requests that wait on a connection that went silent: they
// fail in time to be moved, and the next message uses a new connection.
func TestFaultSilentConnection(t *testing.T) {
	r := newOutboxRig(t)
	close(r.peer.hold)
	r.send(sendSubMsg{to: "b", sub: testSub(1)})
	assert.Equal(t, r.batch(t).Requests[0].Seq, uint64(1))

	r.link.SetMode(standin.LinkSilent)
	began := time.Now()
	r.send(sendSubMsg{to: "b", sub: testSub(2)})
	failed := r.failure(t).(subFailedMsg)
	t.Logf("a sub-request on a silent connection failed after %v", time.Since(began).Round(time.Millisecond))
	// The first one fails where its acknowledgment was still on the way.
	assert.Assert(t, failed.id.Seq == 1 || failed.id.Seq == 2)
	assert.Assert(t, failed.failure == maybeDelivered, "it may have arrived")

	r.send(sendSubMsg{to: "b", sub: testSub(3)})
	for seq := uint64(0); seq != 3; { // a new connection works
		seq = r.batch(t).Requests[0].Seq
	}
}

// Guards against messages that fail one after the other on the idle connections
// to a VM, after all of them went silent.
func TestFaultAllConnectionsSilent(t *testing.T) {
	r := newOutboxRig(t)
	for seq := range uint64(maxCallsInFlight) {
		r.send(sendSubMsg{to: "b", sub: testSub(seq)})
		r.batch(t)
	}
	close(r.peer.hold)
	for until := time.Now().Add(testWait); r.peer.idle.Load() < maxCallsInFlight; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "%d idle connections", r.peer.idle.Load())
	}
	time.Sleep(50 * time.Millisecond) // the last acknowledgments pass the link
	r.link.SetMode(standin.LinkSilent)
	r.send(sendSubMsg{to: "b", sub: testSub(10)})
	assert.Equal(t, r.failure(t).(subFailedMsg).id.Seq, uint64(10))
	r.send(sendSubMsg{to: "b", sub: testSub(11)})
	assert.Equal(t, r.batch(t).Requests[0].Seq, uint64(11))
	assert.Equal(t, len(r.entry), 0, "nothing else fails")
}

// Guards against a reply or a settlement that is lost with a silent connection.
func TestFaultSilentConnectionRepeats(t *testing.T) {
	r := newOutboxRig(t)
	close(r.peer.hold)
	r.send(sendSubMsg{to: "b", sub: testSub(1)})
	r.batch(t)
	r.link.SetMode(standin.LinkSilent)
	r.send(sendReplyMsg{to: "b", reply: scatter.SubReply{ID: scatter.SubID{Ingress: "b", Seq: 9}, Status: scatter.Answered}})
	assert.Equal(t, r.batch(t).Replies[0].Seq, uint64(9))
}

// Guards against a request that must not run twice and is given up, though its
// home would take it again: once a call to it was slow, or a connection silent.
func TestFaultUnconfirmedWorkGoesToItsHomeAgain(t *testing.T) {
	learned := func(t *testing.T) *outboxRig {
		r := newOutboxRig(t)
		r.peer.runsOnce = true
		close(r.peer.hold)
		r.send(sendSubMsg{to: "b", sub: testSub(1)})
		for b := r.batch(t); ; b = r.batch(t) { // until the acknowledgment is seen
			assert.Equal(t, b.To, "b")
			if r.peer.idle.Load() > 0 {
				break
			}
			r.send(sendSubMsg{to: "b", sub: testSub(1)})
		}
		time.Sleep(50 * time.Millisecond) // the last acknowledgment passes the link
		return r
	}
	t.Run("a connection that went silent", func(t *testing.T) {
		r := learned(t)
		r.link.SetMode(standin.LinkSilent)
		r.send(sendSubMsg{to: "b", sub: testSub(2)})
		again := r.batch(t).Requests[0]
		assert.Equal(t, again.Seq, uint64(2))
		assert.Assert(t, again.Redelivered)
		assert.Equal(t, len(r.entry), 0, "nothing fails")
	})
	t.Run("idempotent", func(t *testing.T) {
		r := learned(t)
		r.link.SetMode(standin.LinkSilent)
		sub := testSub(2)
		sub.Idempotent = true
		began := time.Now()
		r.send(sendSubMsg{to: "b", sub: sub})
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == maybeDelivered)
		assert.Assert(t, time.Since(began) < 2*deliverTimeout, "another home can run it at once")
	})
	t.Run("a VM that is gone", func(t *testing.T) {
		r := learned(t)
		r.link.SetMode(standin.LinkSilent)
		r.send(sendSubMsg{to: "b", sub: testSub(2)})
		time.Sleep(deliverTimeout / 2)
		r.link.Close()
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == maybeDelivered, "the first call may have arrived")
	})
	t.Run("a VM that is silent for long", func(t *testing.T) {
		r := learned(t)
		r.link.SetMode(standin.LinkHold)
		began := time.Now()
		r.send(sendSubMsg{to: "b", sub: testSub(2)})
		view := &fleet.View{VMs: []fleet.VM{{ID: "b", PeerURL: "http://" + r.link.Address()}}}
		for len(r.entry) == 0 && time.Since(began) < testWait {
			r.outbox.views <- view
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == maybeDelivered)
		assert.Assert(t, time.Since(began) < redeliverFor+2*time.Second)
	})
	t.Run("deadline", func(t *testing.T) {
		r := learned(t)
		r.link.SetMode(standin.LinkHold)
		sub := testSub(2)
		sub.Deadline = time.Now().Add(deliverTimeout / 2)
		r.send(sendSubMsg{to: "b", sub: sub})
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == maybeDelivered)
	})
}

// Guards against a sub-request that comes again and is run again, and against
// "not run" for one that may run already.
func TestFaultWorkThatComesAgain(t *testing.T) {
	now := time.Now()
	refused := func(msg entryMsg) outcome.Outcome { return msg.(subReplyMsg).reply.Refusal.Outcome }
	t.Run("taken once", func(t *testing.T) {
		h := newHomeTask(context.Background(), "a", 1, zerolog.Nop())
		entry := make(chan entryMsg, 10)
		h.entry = entry
		id := fleet.ShardID{Service: "stock", Shard: "g00"}
		v := &fleet.View{
			Config:      &config.Config{Services: []config.Service{{Name: "stock", Shards: []config.Shard{{Name: "g00"}}}}},
			ShardShares: []fleet.ShardShare{{Shard: id, Owners: 1, Slots: 4, Connections: 4, Expires: now.Add(time.Minute)}},
		}
		h.setView(now, v)
		sub := testSub(1)
		sub.Shard = id
		h.handle(now, submitMsg{sub: sub})
		waiting := h.dump().Groups[0].SubRequests + len(entry)
		h.handle(now, submitMsg{sub: sub})
		assert.Equal(t, waiting, 1)
		assert.Equal(t, h.dump().Groups[0].SubRequests+len(entry), 1)
	})
	t.Run("no room", func(t *testing.T) {
		full := make(chan homeMsg)
		peers := make(chan peerMsg, 2)
		s := &peerServer{self: "b", owner: full, peers: peers}
		sub := testSub(1)
		s.submit("a", sub)
		sub.Redelivered = true
		s.submit("a", sub)
		for _, want := range []outcome.Outcome{outcome.NotRun, outcome.Unknown} {
			assert.Equal(t, refused(subReplyMsg{reply: (<-peers).(sendReplyMsg).reply}), want)
		}
	})
}

// Guards against "may have run" for what certainly was not sent, and the other
// way round.
func TestFaultNotWritten(t *testing.T) {
	t.Run("connection refused", func(t *testing.T) {
		r := newOutboxRig(t)
		r.link.Close()
		r.send(sendSubMsg{to: "b", sub: testSub(1)})
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == notDelivered)
	})
	t.Run("connection breaks", func(t *testing.T) {
		r := newOutboxRig(t)
		r.link.SetMode(standin.LinkCut)
		r.send(sendSubMsg{to: "b", sub: testSub(1)})
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == maybeDelivered)
	})
	t.Run("VM is not in the view", func(t *testing.T) {
		r := newOutboxRig(t)
		r.send(sendSubMsg{to: "c", sub: testSub(1)})
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == notDelivered)
	})
	t.Run("deadline passed in the queue", func(t *testing.T) {
		r := newOutboxRig(t)
		late := testSub(1)
		late.Deadline = time.Now()
		r.send(sendSubMsg{to: "b", sub: late})
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == notDelivered)
		assert.Equal(t, len(r.peer.batches), 0)
	})
	t.Run("batch refused as a whole", func(t *testing.T) {
		r := newOutboxRig(t)
		big := testSub(1)
		big.Body = make([]byte, maxPeerBodyBytes+1)
		r.send(sendSubMsg{to: "b", sub: big})
		r.failure(t)
		assert.Equal(t, len(r.peer.batches), 0)
	})
	t.Run("claim", func(t *testing.T) {
		r := newOutboxRig(t)
		r.link.Close()
		r.send(sendClaimMsg{to: "b", query: 5})
		m := r.failure(t).(claimedMsg)
		assert.Equal(t, m.refusal.Code, outcome.CodeConnectionLost)
		assert.Equal(t, m.refusal.Outcome, outcome.NotRun)
	})
}

// Guards against an answer that is dropped because its receiver was not heard of
// for a moment, and against work for a VM that may be gone.
func TestFaultVMLeavesTheView(t *testing.T) {
	r := newOutboxRig(t)
	close(r.peer.hold)
	r.outbox.views <- &fleet.View{}
	for len(r.outbox.views) > 0 {
		time.Sleep(time.Millisecond)
	}
	r.send(sendReplyMsg{to: "b", reply: scatter.SubReply{ID: scatter.SubID{Ingress: "b", Seq: 3}}})
	assert.Equal(t, len(r.batch(t).Replies), 1)
	r.send(sendSubMsg{to: "b", sub: testSub(1)})
	assert.Assert(t, r.failure(t).(subFailedMsg).failure == notDelivered)
}

// Guards against a queue to a silent VM that grows without bound.
func TestQueueIsBounded(t *testing.T) {
	r := newOutboxRig(t)
	r.link.SetMode(standin.LinkHold)
	const more = 100
	sent := maxWaiting + maxCallsInFlight*maxBatch + more
	for i := range sent {
		r.send(sendSubMsg{to: "b", sub: testSub(uint64(i))})
	}
	assert.Assert(t, r.failure(t).(subFailedMsg).failure == notDelivered, "the ones without room are dropped at once")
}

// Guards against work that waits for calls to a VM that cannot be reached, and
// against work that is too late for a call and counts as one that went well.
func TestFaultUnreachableVMGetsNoCalls(t *testing.T) {
	r := newOutboxRig(t)
	r.link.SetMode(standin.LinkHold)
	for seq := range uint64(2) {
		r.send(sendSubMsg{to: "b", sub: testSub(seq)})
		assert.Equal(t, r.failure(t).(subFailedMsg).failure, maybeDelivered)
	}
	time.Sleep(600 * time.Millisecond) // the next call is allowed
	late := testSub(2)
	late.Deadline = time.Now().Add(-time.Second)
	for seq, sub := range []scatter.SubRequest{late, testSub(3)} {
		began := time.Now()
		r.send(sendSubMsg{to: "b", sub: sub})
		assert.Equal(t, r.failure(t).(subFailedMsg).failure, notDelivered, "sub-request %d", seq)
		assert.Assert(t, time.Since(began) < deliverTimeout/2)
	}
}

// Guards against a VM whose work is refused for good after calls to it failed:
// without work for it, no call would find out that it can be reached again.
func TestFaultUnreachableVMIsServedAgain(t *testing.T) {
	r := newOutboxRig(t)
	close(r.peer.hold)
	r.link.SetMode(standin.LinkHold)
	for seq := range uint64(2) {
		r.send(sendSubMsg{to: "b", sub: testSub(seq)})
		r.failure(t)
	}
	reaches := func() bool {
		reply := make(chan bool, 1)
		r.outbox.asks <- reachMsg{vm: "b", reply: reply}
		return <-reply
	}
	assert.Assert(t, !reaches(), "the failed calls do not count")
	r.link.SetMode(standin.LinkOpen)
	for end := time.Now().Add(2 * time.Second); !reaches(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "work of the VM is refused for good")
	}
	r.send(sendReplyMsg{to: "b", reply: scatter.SubReply{ID: scatter.SubID{Ingress: "b", Seq: 9}, Status: scatter.Answered}})
	for len(r.batch(t).Replies) == 0 {
	}
	for end := time.Now().Add(2 * time.Second); !reaches(); time.Sleep(time.Millisecond) { // until the call has ended
		assert.Assert(t, time.Now().Before(end), "the answered call does not count")
	}
}

// Guards against a batch that the other side refuses because of its size.
func TestBatchesFit(t *testing.T) {
	r := newOutboxRig(t)
	close(r.peer.hold)
	const answers = 12
	for i := range answers {
		r.send(sendReplyMsg{to: "b", reply: scatter.SubReply{
			ID: scatter.SubID{Ingress: "b", Seq: uint64(i)}, Status: scatter.Answered, Body: make([]byte, maxAnswerBytes/4),
		}})
	}
	for got := 0; got < answers; {
		got += len(r.batch(t).Replies)
	}
	// The largest batch: just below the limit, then an answer of the largest size.
	largest := []outItem{
		{msg: sendReplyMsg{reply: scatter.SubReply{Body: make([]byte, maxBatchBytes-2*messageBytes)}}},
		{msg: sendReplyMsg{reply: scatter.SubReply{Body: make([]byte, maxAnswerBytes)}}},
		{msg: sendReplyMsg{}},
	}
	n := batchLength(largest)
	assert.Equal(t, n, 2)
	bytes := 0
	for _, item := range largest[:n] {
		bytes += size(item.msg)
	}
	assert.Assert(t, bytes < maxPeerBodyBytes, "%d bytes", bytes)
}

// Guards against answers to a fresh VM that are lost because the view of the VM
// that answers does not have it yet.
func TestAnswersWaitForFreshVM(t *testing.T) {
	r := newOutboxRig(t)
	close(r.peer.hold)
	r.send(sendReplyMsg{to: "c", reply: scatter.SubReply{ID: scatter.SubID{Ingress: "c", Seq: 5}, Status: scatter.Answered}})
	r.send(sendClaimAnswerMsg{to: "c", query: 6})
	r.send(sendSubMsg{to: "c", sub: testSub(7)})
	r.failure(t) // of the sub-request: the answers were taken before it
	old := r.outbox.view
	for _, id := range []fleet.VMID{"d", "c"} { // the first view still lacks the VM
		r.outbox.views <- &fleet.View{VMs: []fleet.VM{old.VMs[0], {ID: id, PeerURL: old.VMs[0].PeerURL}}}
	}
	replies, claims := 0, 0
	for replies+claims < 2 {
		b := r.batch(t)
		replies, claims = replies+len(b.Replies), claims+len(b.ClaimAnswers)
	}
	assert.Equal(t, replies, 1)
}
