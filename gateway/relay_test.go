package gateway

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/serve"
	"github.com/anvilfork/anvilfork/metrics"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

// fakeCodec stands in for the platform's codec. It can only pack and unpack.
type fakeCodec struct{ CallerCodec }

func (fakeCodec) Pack(*serve.Request) []byte { return []byte("packed") }

func (fakeCodec) Unpack(p []byte) (any, error) { return string(p), nil }

// fakeRelayServer stands in for another VM and gives the replies of a test.
type fakeRelayServer struct {
	start, rest func() (*peer.RelayReply, error)
}

func (v *fakeRelayServer) Start(context.Context, *peer.RelayRequest) (*peer.RelayReply, error) {
	return v.start()
}

func (v *fakeRelayServer) Rest(context.Context, *peer.RelayRest) (*peer.RelayReply, error) {
	return v.rest()
}

// Guards against a relay failure that is reported as not run although the work may
// have run: the other VM accepted the work, and then its process ended.
func TestFaultRelayCalls(t *testing.T) {
	first := &peer.RelayReply{Id: 7, Parts: []*peer.RelayedPart{{Shard: 0, Seal: "s", Attempts: 1}}, Body: []byte("records"), Rest: true}
	last := &peer.RelayReply{Id: 7, Failed: []*peer.RelayedFailure{{Shard: 1, Attempts: 1, Ran: 1}}}
	for name, c := range map[string]struct {
		start, rest *peer.RelayReply // nil for an error
		processEnds string           // when the process of the VM ends; empty for never
		replies     int
		failed      bool
		notRun      bool
	}{
		"two replies":          {start: first, rest: last, replies: 2},
		"ended before":         {processEnds: "before", failed: true, notRun: true},
		"ended after a reply":  {start: first, processEnds: "after", replies: 1, failed: true},
		"refuses the work":     {failed: true},
		"forgot the work":      {start: first, replies: 1, failed: true},
		"names another shard":  {start: &peer.RelayReply{Parts: []*peer.RelayedPart{{Shard: 2}}}, failed: true},
		"another shard failed": {start: &peer.RelayReply{Failed: []*peer.RelayedFailure{{Shard: 2}}}, failed: true},
	} {
		t.Run(name, func(t *testing.T) {
			var server *httptest.Server
			answer := func(r *peer.RelayReply) func() (*peer.RelayReply, error) {
				return func() (*peer.RelayReply, error) {
					if r == nil {
						return nil, twirp.NotFoundError("nothing")
					}
					if c.processEnds == "after" {
						assert.NilError(t, server.Listener.Close())
						server.Config.SetKeepAlivesEnabled(false)
					}
					return r, nil
				}
			}
			server = httptest.NewServer(peer.NewRelayServer(&fakeRelayServer{start: answer(c.start), rest: answer(c.rest)}))
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			if c.processEnds == "before" {
				server.Close()
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			var replies []serve.RelayReplied
			var failures []serve.RelayFailed
			work := &serve.RelayedWork{Shards: []string{"a", "b"}, Request: &serve.Request{}}
			newRelayClient(fakeCodec{}).run(ctx, serve.StartRelay{Relay: 3, Peer: address, Work: work}, func(ev serve.Event) {
				switch ev := ev.(type) {
				case serve.RelayReplied:
					replies = append(replies, ev)
				case serve.RelayFailed:
					failures = append(failures, ev)
				}
			})
			assert.Equal(t, len(replies), c.replies)
			assert.Equal(t, len(failures) > 0, c.failed)
			if c.failed {
				assert.Equal(t, failures[0].Refused, c.notRun, failures[0].Cause)
			}
			if c.replies > 0 {
				assert.DeepEqual(t, replies[0].Reply.Answers, []serve.RelayedAnswer{{Shard: 0, Signature: "s", Attempts: 1}})
			}
		})
	}
}

// Guards against bounds of a query that are lost on the way to the VM that runs it, and
// against a message that VMs of an earlier build can't read: a whole fan-out is sent in
// the same fields as the shards of another zone.
func TestRelayedWorkOnTheWire(t *testing.T) {
	work := &serve.RelayedWork{
		Route: "all", Shards: []string{"a", "b"}, TopK: 3, Request: &serve.Request{CallerRequestID: "id", Fingerprint: 7},
		Workspace: "w", Priority: 2, TimeLeft: 250 * time.Millisecond, ReplyTimeout: 20 * time.Millisecond,
	}
	encoded, err := proto.Marshal(encodeWork(work, []byte("packed")))
	assert.NilError(t, err)
	var received peer.RelayRequest
	assert.NilError(t, proto.Unmarshal(encoded, &received))
	decoded, err := decodeWork(&received, fakeCodec{})
	assert.NilError(t, err)
	work.Request.Payload = "packed"
	assert.DeepEqual(t, decoded, work)
	assert.Equal(t, received.ProtoReflect().Descriptor().Fields().Len(), 10, "optional fields must be added to this test")
}

// Guards against work that runs to its deadline for a VM whose query ended between two
// replies, or that was lost: no call is open then whose end would show it.
func TestFaultRelayedWorkWithoutACallEnds(t *testing.T) {
	for name, c := range map[string]struct{ calls, ended, runs bool }{
		"no further call":  {},
		"a further call":   {calls: true, runs: true},
		"all replies sent": {ended: true, runs: true}, // the last reply is kept for its own time
	} {
		t.Run(name, func(t *testing.T) {
			task := newEngineTask(newClock(), &Settings{}, nil, zerolog.Nop(), metrics.New(time.Now()))
			run := &relayedRun{id: 7, waiter: make(chan *peer.RelayReply, 1)}
			task.relayedRuns[7] = run
			task.deliverReply(serve.SendRelayReply{ID: 7, Reply: &serve.RelayReply{More: true}})
			if c.calls {
				task.sendNextReply(&nextReplyCall{id: 7, reply: make(chan *peer.RelayReply, 1)})
			}
			if c.ended {
				task.deliverReply(serve.SendRelayReply{ID: 7, Reply: &serve.RelayReply{}})
			}
			task.receive(<-task.inbox)
			assert.Equal(t, task.relayedRuns[7] != nil, c.runs)
		})
	}
}
