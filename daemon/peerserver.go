package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/scatter"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

// maxPeerBody bounds one call of another VM. Senders close a batch far below it.
const maxPeerBody = 8 << 20

// peerServer translates calls of other VMs into messages to the tasks.
type peerServer struct {
	self    fleet.VMID
	tasks   *taskInboxes
	control chan<- controlMsg
	entry   chan<- ingressMsg
	home    chan<- ownerMsg
	once    chan<- ledgerMsg
	peers   chan<- peerMsg
	reaches chan<- reachableMsg
}

func (s *peerServer) handler() http.Handler {
	mux := http.NewServeMux()
	c := peer.NewControlServer(s)
	d := peer.NewSearchServer(s)
	mux.Handle(c.PathPrefix(), c)
	mux.Handle(d.PathPrefix(), d)
	r := peer.NewStatusServer(s)
	mux.Handle(r.PathPrefix(), r)
	return http.MaxBytesHandler(mux, maxPeerBody)
}

// Heartbeat implements peer.Control.
func (s *peerServer) Heartbeat(ctx context.Context, req *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	h, err := heartbeatFromWire(req)
	if err != nil {
		return nil, twirp.InvalidArgumentError("heartbeat", err.Error())
	}
	reply := make(chan control.HeartbeatReply, 1)
	if !trySend(s.control, controlMsg(heartbeatMsg{heartbeat: h, reply: reply})) {
		return nil, twirp.NewError(twirp.ResourceExhausted, "the control task is busy")
	}
	select {
	case r := <-reply:
		return replyToWire(&r), nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, "the caller went away")
	}
}

// ConfigText implements peer.Control.
func (s *peerServer) ConfigText(ctx context.Context, _ *peer.ConfigTextRequest) (*peer.ConfigTextReply, error) {
	reply := make(chan []byte, 1)
	send(ctx, s.control, controlMsg(documentMsg{reply: reply}))
	select {
	case text := <-reply:
		return textToWire(text), nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, "the caller went away")
	}
}

// Read implements peer.Status.
func (s *peerServer) Read(ctx context.Context, _ *peer.StatusRequest) (*peer.StatusReply, error) {
	vm, report := s.tasks.report(ctx)
	return vmReportToWire(vm, report), nil
}

// Deliver implements peer.Search. Sub-requests go first: a home must not wait
// for room in the entry task's inbox.
func (s *peerServer) Deliver(ctx context.Context, p *peer.Batch) (*peer.Ack, error) {
	b, err := batchFromWire(s.self, p, time.Now())
	if err != nil {
		return nil, twirp.InvalidArgumentError("batch", err.Error())
	}
	if len(b.requests)+len(b.claims) > 0 && !s.reachable(ctx, b.from) {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition, "VM %s cannot reach VM %s with the answers", s.self, b.from)
	}
	for i := range b.requests {
		s.submit(b.from, b.requests[i])
	}
	for _, id := range b.cancels {
		trySend(s.home, ownerMsg(cancelMsg{id: id}))
	}
	for i := range b.replies {
		send(ctx, s.entry, ingressMsg(subReplyMsg{reply: b.replies[i]}))
	}
	for _, a := range b.claimAnswers {
		send(ctx, s.entry, ingressMsg(a))
	}
	for _, c := range b.claims {
		send(ctx, s.once, ledgerMsg(c))
	}
	for _, c := range b.settles {
		send(ctx, s.once, ledgerMsg(c))
	}
	return &peer.Ack{RunsOnce: true}, nil
}

// reachable reports whether answers can be sent to a VM. A VM that reaches this
// one but cannot be reached would wait for them until its deadlines.
func (s *peerServer) reachable(ctx context.Context, vm fleet.VMID) bool {
	reply := make(chan bool, 1)
	send(ctx, s.reaches, reachableMsg{vm: vm, reply: reply})
	select {
	case ok := <-reply:
		return ok
	case <-ctx.Done():
		return false
	}
}

// submit answers a sub-request that finds no room, so that its entry VM need
// not wait for the deadline.
func (s *peerServer) submit(from fleet.VMID, sub scatter.SubRequest) {
	if trySend(s.home, ownerMsg(submitMsg{sub: sub})) {
		return
	}
	refusal := sub.Refuse(outcome.CodeOverloaded, "the home task of VM %s is busy", s.self)
	reply := scatter.SubReply{ID: sub.ID, Shard: sub.Shard, Status: scatter.Refused, Refusal: refusal}
	trySend(s.peers, peerMsg(sendReplyMsg{to: from, reply: reply}))
}
