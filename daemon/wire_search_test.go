package daemon

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

func validSubRequest() *peer.SubRequest {
	sub := testSub(1)
	sub.Shard = fleet.ShardID{Service: "stock", Shard: "g00"}
	sub.Isolated, sub.Repeat, sub.Idempotent, sub.Body = true, true, true, []byte("mat")
	return subRequestToWire(&sub, time.Now())
}

// Guards against a field of a search message that is lost or changed between two
// VMs.
func TestSearchMessagesRoundTrip(t *testing.T) {
	now := time.Now()
	sub := testSub(1 << 40)
	sub.Deadline = now.Add(1234567 * time.Microsecond)
	sub.Shard = fleet.ShardID{Service: "stock", Shard: "g00"}
	sub.RequestID, sub.Fingerprint, sub.Workspace = fleet.NewRequestID(now, [10]byte{1, 2}), fleet.Fingerprint{3}, "league"
	sub.PartitionMap, sub.IndexVersion = 4, 5
	sub.Isolated, sub.Repeat, sub.Idempotent, sub.Redelivered, sub.Body = true, true, true, true, []byte("mat")
	got, err := subRequestFromWire("a", subRequestToWire(&sub, now), now)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, sub)

	reply := scatter.SubReply{
		ID: sub.ID, Shard: sub.Shard, Status: scatter.Refused, Body: []byte("x"), IndexVersion: 5, IndexVersions: []uint64{6, 5},
		PartitionMap: 4, Refusal: outcome.New(outcome.CodeTargetCrashed, outcome.Unknown, "crash"), Attempts: 2, Crashes: 1, Repeat: true,
	}
	back, err := subReplyFromWire("a", subReplyToWire(&reply))
	assert.NilError(t, err)
	assert.DeepEqual(t, back, reply)
}

// malformedBatches returns batches that each contain one violation, most of them
// beside a valid sub-request.
func malformedBatches() map[string]*peer.Batch {
	bad := func(change func(*peer.SubRequest)) []*peer.SubRequest {
		s := validSubRequest()
		change(s)
		return []*peer.SubRequest{validSubRequest(), s}
	}
	good := []*peer.SubRequest{validSubRequest()}
	return map[string]*peer.Batch{
		"no sender":       {Requests: good},
		"another VM":      {From: "b", To: "a-before", Requests: good},
		"request id":      {From: "b", Requests: bad(func(s *peer.SubRequest) { s.RequestId = s.RequestId[1:] })},
		"fingerprint":     {From: "b", Requests: bad(func(s *peer.SubRequest) { s.Fingerprint = nil })},
		"deadline":        {From: "b", Requests: bad(func(s *peer.SubRequest) { s.RemainingUs = 1 << 62 })},
		"body":            {From: "b", Requests: bad(func(s *peer.SubRequest) { s.Body = make([]byte, maxCallerBodyBytes+1) })},
		"status":          {From: "b", Requests: good, Replies: []*peer.SubReply{{Status: 99}}},
		"crashes":         {From: "b", Requests: good, Replies: []*peer.SubReply{{Status: 1, Crashes: 1 << 31}}},
		"claimed id":      {From: "b", Requests: good, Claims: []*peer.Claim{{RequestId: []byte("x")}}},
		"settled id":      {From: "b", Requests: good, Settles: []*peer.Settle{{}}},
		"larger than all": {From: "b", Requests: good, Replies: []*peer.SubReply{{Status: 1, Body: make([]byte, maxPeerBodyBytes)}}},
	}
}

// Guards against a malformed or oversized batch that is executed in part, and
// against sub-requests that are accepted although their answers cannot be sent.
func TestFaultMalformedBatch(t *testing.T) {
	owner := make(chan ownerMsg, 10)
	ingress, claims, peers := make(chan ingressMsg, 10), make(chan ledgerMsg, 10), make(chan peerMsg, 10)
	reachability, reachable := make(chan reachableMsg), make(chan bool, 2)
	go func() {
		for ask := range reachability {
			ask.reply <- <-reachable
		}
	}()
	s := &peerServer{self: "a", owner: owner, ingress: ingress, ledger: claims, peers: peers, reachability: reachability}
	server := httptest.NewServer(s.handler())
	defer server.Close()
	c := peer.NewSearchProtobufClient(server.URL, http.DefaultClient)
	for name, b := range malformedBatches() {
		_, err := c.Deliver(context.Background(), b)
		assert.Assert(t, err != nil, name)
		assert.Assert(t, isUndelivered(err), "%s: %v", name, err)
		assert.Equal(t, len(owner)+len(ingress)+len(claims)+len(peers), 0, name)
	}
	work := &peer.Batch{From: "b", Requests: []*peer.SubRequest{validSubRequest()}}
	reachable <- false
	_, err := c.Deliver(context.Background(), work)
	assert.Equal(t, classifySendError(err), senderUnreachable, "%v", err)
	assert.Equal(t, len(owner), 0)
	reachable <- true
	_, err = c.Deliver(context.Background(), work)
	assert.NilError(t, err)
	assert.Equal(t, len(owner), 1)
}

// Guards against arbitrary bytes that make the decoder panic, and against batches
// that change when they are encoded again.
func FuzzBatch(f *testing.F) {
	for _, b := range malformedBatches() {
		if text, err := proto.Marshal(b); err == nil && len(text) < 4096 {
			f.Add(text)
		}
	}
	full := &peer.Batch{
		From: "b", Requests: []*peer.SubRequest{validSubRequest()}, Cancels: []uint64{1},
		Replies:      []*peer.SubReply{{Seq: 1, Status: 1, IndexVersions: []uint64{8, 7}}},
		ClaimAnswers: []*peer.ClaimAnswer{{Query: 1, Refusal: &peer.Refusal{Code: "overloaded", Outcome: "never", RetryAfterMs: -1}}},
	}
	text, err := proto.Marshal(full)
	assert.NilError(f, err)
	f.Add(text)
	now := time.Now()
	f.Fuzz(func(t *testing.T, text []byte) {
		var p peer.Batch
		if proto.Unmarshal(text, &p) != nil {
			return
		}
		b, err := batchFromWire("a", &p, now)
		if err != nil {
			var wire *BatchError
			assert.Assert(t, errors.As(err, &wire), "%v", err)
			return
		}
		checkBatch(t, &b, now)
	})
}

func checkBatch(t *testing.T, b *batch, now time.Time) {
	for i := range b.requests {
		again, err := subRequestFromWire(b.from, subRequestToWire(&b.requests[i], now), now)
		assert.NilError(t, err)
		assert.Assert(t, again.Deadline.Equal(b.requests[i].Deadline))
		assert.Equal(t, again.ID, b.requests[i].ID)
	}
	for i := range b.replies {
		r := &b.replies[i]
		assert.Equal(t, r.ID.Ingress, fleet.VMID("a"))
		assert.Assert(t, r.Status != scatter.Refused || r.Refusal != nil)
		assert.Assert(t, r.Refusal == nil || r.Refusal.Outcome.Valid() && r.Refusal.RetryAfter >= 0)
	}
	for _, a := range b.claimAnswers {
		assert.Assert(t, a.refusal == nil || a.refusal.Outcome.Valid() && a.refusal.RetryAfter >= 0)
	}
}
