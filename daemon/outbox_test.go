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

const testTimeout = 10 * time.Second // far above the usual time of what a test waits for

// recordingPeer is another VM that records the batches it receives.
type recordingPeer struct {
	runsOnce bool // what its acknowledgments say
	batches  chan *peer.Batch
	release  chan struct{} // calls return only after it is closed
	idle     atomic.Int32  // connections that became idle after a call
}

func (r *recordingPeer) Deliver(_ context.Context, b *peer.Batch) (*peer.Ack, error) {
	r.batches <- b
	<-r.release
	return &peer.Ack{RunsOnce: r.runsOnce}, nil
}

// outboxHarness is one outbox task, with another VM "b" behind a link that can fail.
type outboxHarness struct {
	outbox  *outboxTask
	ingress chan ingressMsg
	link    *standin.Link
	peer    *recordingPeer
}

func newOutboxHarness(t *testing.T) *outboxHarness {
	t.Helper()
	r := &outboxHarness{ingress: make(chan ingressMsg, 2*maxQueuedMessages), peer: &recordingPeer{batches: make(chan *peer.Batch, 1000), release: make(chan struct{})}}
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
	r.outbox.ingress = r.ingress
	r.outbox.views <- &fleet.View{VMs: []fleet.VM{{ID: "b", PeerURL: "http://" + link.Address()}}}
	go r.outbox.run()
	for len(r.outbox.views) > 0 { // the task must have the view before the first message
		time.Sleep(time.Millisecond)
	}
	return r
}

func testSub(seq uint64) scatter.SubRequest {
	return scatter.SubRequest{ID: scatter.SubID{Ingress: "a", Seq: seq}, Deadline: time.Now().Add(time.Minute), IndexVersion: 7}
}

func (r *outboxHarness) send(m peerMsg) { r.outbox.inbox <- m }

func (r *outboxHarness) batch(t *testing.T) *peer.Batch {
	t.Helper()
	select {
	case b := <-r.peer.batches:
		return b
	case <-time.After(testTimeout):
		t.Fatal("no batch arrived")
		return nil
	}
}

func (r *outboxHarness) failure(t *testing.T) ingressMsg {
	t.Helper()
	select {
	case m := <-r.ingress:
		return m
	case <-time.After(testTimeout):
		t.Fatal("no failure was reported")
		return nil
	}
}

// Guards against sub-requests that wait for a connection which no longer delivers
// anything: they must fail in time to go to another owner, and the next message must
// use a new connection.
func TestFaultSilentConnection(t *testing.T) {
	r := newOutboxHarness(t)
	close(r.peer.release)
	r.send(sendSubMsg{to: "b", sub: testSub(1)})
	assert.Equal(t, r.batch(t).Requests[0].Seq, uint64(1))

	r.link.SetMode(standin.LinkSilenceOpen)
	began := time.Now()
	r.send(sendSubMsg{to: "b", sub: testSub(2)})
	failed := r.failure(t).(subFailedMsg)
	t.Logf("a sub-request on a silent connection failed after %v", time.Since(began).Round(time.Millisecond))
	// The first one fails instead when its acknowledgment had not passed the link.
	assert.Assert(t, failed.id.Seq == 1 || failed.id.Seq == 2)
	assert.Assert(t, failed.failure == maybeDelivered, "it may have arrived")

	r.send(sendSubMsg{to: "b", sub: testSub(3)})
	for seq := uint64(0); seq != 3; { // the next call opens a new connection
		seq = r.batch(t).Requests[0].Seq
	}
}

// Guards against messages that fail one after the other, each on another idle
// connection, after all idle connections to a VM stopped delivering.
func TestFaultAllConnectionsSilent(t *testing.T) {
	r := newOutboxHarness(t)
	for seq := range uint64(maxCallsInFlight) {
		r.send(sendSubMsg{to: "b", sub: testSub(seq)})
		r.batch(t)
	}
	close(r.peer.release)
	for until := time.Now().Add(testTimeout); r.peer.idle.Load() < maxCallsInFlight; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(until), "%d idle connections", r.peer.idle.Load())
	}
	time.Sleep(50 * time.Millisecond) // until the last acknowledgments have passed the link
	r.link.SetMode(standin.LinkSilenceOpen)
	r.send(sendSubMsg{to: "b", sub: testSub(10)})
	assert.Equal(t, r.failure(t).(subFailedMsg).id.Seq, uint64(10))
	r.send(sendSubMsg{to: "b", sub: testSub(11)})
	assert.Equal(t, r.batch(t).Requests[0].Seq, uint64(11))
	assert.Equal(t, len(r.ingress), 0, "nothing else fails")
}

// Guards against a reply that is lost with a connection that stopped delivering.
func TestFaultSilentConnectionRepeats(t *testing.T) {
	r := newOutboxHarness(t)
	close(r.peer.release)
	r.send(sendSubMsg{to: "b", sub: testSub(1)})
	r.batch(t)
	r.link.SetMode(standin.LinkSilenceOpen)
	r.send(sendReplyMsg{to: "b", reply: scatter.SubReply{ID: scatter.SubID{Ingress: "b", Seq: 9}, Status: scatter.Answered}})
	assert.Equal(t, r.batch(t).Replies[0].Seq, uint64(9))
}

// Guards against a non-idempotent sub-request that fails after a slow call or on a
// connection that stopped delivering, though its owner deduplicates sub-requests and
// would accept it again.
func TestFaultUnconfirmedWorkGoesToItsHomeAgain(t *testing.T) {
	newRunsOnceHarness := func(t *testing.T) *outboxHarness {
		r := newOutboxHarness(t)
		r.peer.runsOnce = true
		close(r.peer.release)
		r.send(sendSubMsg{to: "b", sub: testSub(1)})
		for b := r.batch(t); ; b = r.batch(t) { // until an acknowledgment has reported runsOnce
			assert.Equal(t, b.To, "b")
			if r.peer.idle.Load() > 0 {
				break
			}
			r.send(sendSubMsg{to: "b", sub: testSub(1)})
		}
		time.Sleep(50 * time.Millisecond) // until the last acknowledgment has passed the link
		return r
	}
	t.Run("a connection that stops delivering", func(t *testing.T) {
		r := newRunsOnceHarness(t)
		r.link.SetMode(standin.LinkSilenceOpen)
		r.send(sendSubMsg{to: "b", sub: testSub(2)})
		again := r.batch(t).Requests[0]
		assert.Equal(t, again.Seq, uint64(2))
		assert.Assert(t, again.Redelivered)
		assert.Equal(t, len(r.ingress), 0, "nothing fails")
	})
	t.Run("idempotent", func(t *testing.T) {
		r := newRunsOnceHarness(t)
		r.link.SetMode(standin.LinkSilenceOpen)
		sub := testSub(2)
		sub.Idempotent = true
		began := time.Now()
		r.send(sendSubMsg{to: "b", sub: sub})
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == maybeDelivered)
		assert.Assert(t, time.Since(began) < 2*deliverTimeout, "another owner can run it at once")
	})
	t.Run("a VM that is gone", func(t *testing.T) {
		r := newRunsOnceHarness(t)
		r.link.SetMode(standin.LinkSilenceOpen)
		r.send(sendSubMsg{to: "b", sub: testSub(2)})
		time.Sleep(deliverTimeout / 2)
		r.link.Close()
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == maybeDelivered, "the first call may have arrived")
	})
	t.Run("a VM that stays unresponsive", func(t *testing.T) {
		r := newRunsOnceHarness(t)
		r.link.SetMode(standin.LinkBlackhole)
		began := time.Now()
		r.send(sendSubMsg{to: "b", sub: testSub(2)})
		view := &fleet.View{VMs: []fleet.VM{{ID: "b", PeerURL: "http://" + r.link.Address()}}}
		for len(r.ingress) == 0 && time.Since(began) < testTimeout {
			r.outbox.views <- view
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == maybeDelivered)
		assert.Assert(t, time.Since(began) < redeliveryWindow+2*time.Second)
	})
	t.Run("deadline", func(t *testing.T) {
		r := newRunsOnceHarness(t)
		r.link.SetMode(standin.LinkBlackhole)
		sub := testSub(2)
		sub.Deadline = time.Now().Add(deliverTimeout / 2)
		r.send(sendSubMsg{to: "b", sub: sub})
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == maybeDelivered)
	})
}

// Guards against a redelivered sub-request that runs twice, and against the outcome
// "not run" for a redelivered one whose first delivery may be running.
func TestFaultWorkThatComesAgain(t *testing.T) {
	now := time.Now()
	refused := func(msg ingressMsg) outcome.Outcome { return msg.(subReplyMsg).reply.Refusal.Outcome }
	t.Run("accepted once", func(t *testing.T) {
		owner := newOwnerTask(context.Background(), "a", 1, zerolog.Nop())
		ingress := make(chan ingressMsg, 10)
		owner.ingress = ingress
		id := fleet.ShardID{Service: "stock", Shard: "g00"}
		v := &fleet.View{
			Config:      &config.Config{Services: []config.Service{{Name: "stock", Shards: []config.Shard{{Name: "g00"}}}}},
			ShardShares: []fleet.ShardShare{{Shard: id, OwnerCount: 1, Slots: 4, Connections: 4, Expires: now.Add(time.Minute)}},
		}
		owner.setView(now, v)
		sub := testSub(1)
		sub.Shard = id
		owner.handle(now, submitMsg{sub: sub})
		waiting := owner.dump().Shards[0].SubRequests + len(ingress)
		owner.handle(now, submitMsg{sub: sub})
		assert.Equal(t, waiting, 1)
		assert.Equal(t, owner.dump().Shards[0].SubRequests+len(ingress), 1)
	})
	t.Run("no room", func(t *testing.T) {
		full := make(chan ownerMsg)
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

// Guards against "maybe written" for messages that were certainly not sent, and
// against "not written" for those that may have been.
func TestFaultNotWritten(t *testing.T) {
	t.Run("connection refused", func(t *testing.T) {
		r := newOutboxHarness(t)
		r.link.Close()
		r.send(sendSubMsg{to: "b", sub: testSub(1)})
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == notDelivered)
	})
	t.Run("connection breaks", func(t *testing.T) {
		r := newOutboxHarness(t)
		r.link.SetMode(standin.LinkCut)
		r.send(sendSubMsg{to: "b", sub: testSub(1)})
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == maybeDelivered)
	})
	t.Run("VM is not in the view", func(t *testing.T) {
		r := newOutboxHarness(t)
		r.send(sendSubMsg{to: "c", sub: testSub(1)})
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == notDelivered)
	})
	t.Run("deadline passed in the queue", func(t *testing.T) {
		r := newOutboxHarness(t)
		late := testSub(1)
		late.Deadline = time.Now()
		r.send(sendSubMsg{to: "b", sub: late})
		assert.Assert(t, r.failure(t).(subFailedMsg).failure == notDelivered)
		assert.Equal(t, len(r.peer.batches), 0)
	})
	t.Run("batch refused as a whole", func(t *testing.T) {
		r := newOutboxHarness(t)
		big := testSub(1)
		big.Body = make([]byte, maxPeerBodyBytes+1)
		r.send(sendSubMsg{to: "b", sub: big})
		r.failure(t)
		assert.Equal(t, len(r.peer.batches), 0)
	})
	t.Run("claim", func(t *testing.T) {
		r := newOutboxHarness(t)
		r.link.Close()
		r.send(sendClaimMsg{to: "b", query: 5})
		m := r.failure(t).(claimedMsg)
		assert.Equal(t, m.refusal.Code, outcome.CodeConnectionLost)
		assert.Equal(t, m.refusal.Outcome, outcome.NotRun)
	})
}

// Guards against an answer that is dropped because its receiver left the view for a
// moment, and against new work sent to such a VM.
func TestFaultVMLeavesTheView(t *testing.T) {
	r := newOutboxHarness(t)
	close(r.peer.release)
	r.outbox.views <- &fleet.View{}
	for len(r.outbox.views) > 0 {
		time.Sleep(time.Millisecond)
	}
	r.send(sendReplyMsg{to: "b", reply: scatter.SubReply{ID: scatter.SubID{Ingress: "b", Seq: 3}}})
	assert.Equal(t, len(r.batch(t).Replies), 1)
	r.send(sendSubMsg{to: "b", sub: testSub(1)})
	assert.Assert(t, r.failure(t).(subFailedMsg).failure == notDelivered)
}

// Guards against an unbounded queue of messages for an unresponsive VM.
func TestQueueIsBounded(t *testing.T) {
	r := newOutboxHarness(t)
	r.link.SetMode(standin.LinkBlackhole)
	const excess = 100
	sent := maxQueuedMessages + maxCallsInFlight*maxBatch + excess
	for i := range sent {
		r.send(sendSubMsg{to: "b", sub: testSub(uint64(i))})
	}
	assert.Assert(t, r.failure(t).(subFailedMsg).failure == notDelivered, "messages beyond the limit fail at once")
}

// Guards against work that waits for calls to an unreachable VM, and against an
// expired sub-request, for which no call is made, that counts as a successful call.
func TestFaultUnreachableVMGetsNoCalls(t *testing.T) {
	r := newOutboxHarness(t)
	r.link.SetMode(standin.LinkBlackhole)
	for seq := range uint64(2) {
		r.send(sendSubMsg{to: "b", sub: testSub(seq)})
		assert.Equal(t, r.failure(t).(subFailedMsg).failure, maybeDelivered)
	}
	time.Sleep(600 * time.Millisecond) // until the breaker allows the next call
	late := testSub(2)
	late.Deadline = time.Now().Add(-time.Second)
	for seq, sub := range []scatter.SubRequest{late, testSub(3)} {
		began := time.Now()
		r.send(sendSubMsg{to: "b", sub: sub})
		assert.Equal(t, r.failure(t).(subFailedMsg).failure, notDelivered, "sub-request %d", seq)
		assert.Assert(t, time.Since(began) < deliverTimeout/2)
	}
}

// Guards against a VM whose work is refused for ever after calls to it failed: its
// work must be accepted again, as only the answer to it makes a call that finds the
// VM reachable.
func TestFaultUnreachableVMIsServedAgain(t *testing.T) {
	r := newOutboxHarness(t)
	close(r.peer.release)
	r.link.SetMode(standin.LinkBlackhole)
	for seq := range uint64(2) {
		r.send(sendSubMsg{to: "b", sub: testSub(seq)})
		r.failure(t)
	}
	isReachable := func() bool {
		reply := make(chan bool, 1)
		r.outbox.reachable <- reachableMsg{vm: "b", reply: reply}
		return <-reply
	}
	assert.Assert(t, !isReachable(), "the VM is reported reachable after failed calls")
	r.link.SetMode(standin.LinkOpen)
	for end := time.Now().Add(2 * time.Second); !isReachable(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the VM is still reported unreachable")
	}
	r.send(sendReplyMsg{to: "b", reply: scatter.SubReply{ID: scatter.SubID{Ingress: "b", Seq: 9}, Status: scatter.Answered}})
	for len(r.batch(t).Replies) == 0 {
	}
	for end := time.Now().Add(2 * time.Second); !isReachable(); time.Sleep(time.Millisecond) { // until the call has ended
		assert.Assert(t, time.Now().Before(end), "the VM is reported unreachable after a successful call")
	}
}

// Guards against a batch that exceeds the receiver's limit on bodies.
func TestBatchesFit(t *testing.T) {
	r := newOutboxHarness(t)
	close(r.peer.release)
	const answers = 12
	for i := range answers {
		r.send(sendReplyMsg{to: "b", reply: scatter.SubReply{
			ID: scatter.SubID{Ingress: "b", Seq: uint64(i)}, Status: scatter.Answered, Body: make([]byte, maxAnswerBytes/4),
		}})
	}
	for got := 0; got < answers; {
		got += len(r.batch(t).Replies)
	}
	// The largest batch: just below the limit, then one answer of the maximum size.
	largest := []outboxItem{
		{msg: sendReplyMsg{reply: scatter.SubReply{Body: make([]byte, maxBatchBytes-2*baseMessageBytes)}}},
		{msg: sendReplyMsg{reply: scatter.SubReply{Body: make([]byte, maxAnswerBytes)}}},
		{msg: sendReplyMsg{}},
	}
	n := batchLength(largest)
	assert.Equal(t, n, 2)
	bytes := 0
	for _, item := range largest[:n] {
		bytes += wireSize(item.msg)
	}
	assert.Assert(t, bytes < maxPeerBodyBytes, "%d bytes", bytes)
}

// Guards against answers to a new VM that are lost because the view of the answering
// VM does not have it yet.
func TestAnswersWaitForNewVM(t *testing.T) {
	r := newOutboxHarness(t)
	close(r.peer.release)
	r.send(sendReplyMsg{to: "c", reply: scatter.SubReply{ID: scatter.SubID{Ingress: "c", Seq: 5}, Status: scatter.Answered}})
	r.send(sendClaimAnswerMsg{to: "c", query: 6})
	r.send(sendSubMsg{to: "c", sub: testSub(7)})
	r.failure(t) // of the sub-request; the answers were buffered before it
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
