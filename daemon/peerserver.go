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

// maxPeerBodyBytes limits the request body of a call from another VM. Senders
// close a batch far below it.
const maxPeerBodyBytes = 8 << 20

// peerServer is the RPC interface for other VMs. It translates calls into
// messages to the tasks.
type peerServer struct {
	self         fleet.VMID
	inboxes      *taskInboxes
	control      chan<- controlMsg
	ingress      chan<- ingressMsg
	owner        chan<- ownerMsg
	ledger       chan<- ledgerMsg
	peers        chan<- peerMsg
	reachability chan<- reachableMsg
}

func (s *peerServer) handler() http.Handler {
	mux := http.NewServeMux()
	controlServer := peer.NewControlServer(s)
	searchServer := peer.NewSearchServer(s)
	mux.Handle(controlServer.PathPrefix(), controlServer)
	mux.Handle(searchServer.PathPrefix(), searchServer)
	statusServer := peer.NewStatusServer(s)
	mux.Handle(statusServer.PathPrefix(), statusServer)
	return http.MaxBytesHandler(mux, maxPeerBodyBytes)
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
	case document := <-reply:
		return documentToWire(document), nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, "the caller went away")
	}
}

// Read implements peer.Status.
func (s *peerServer) Read(ctx context.Context, _ *peer.StatusRequest) (*peer.StatusReply, error) {
	vm, report := s.inboxes.report(ctx)
	return vmReportToWire(vm, report), nil
}

// Deliver implements peer.Search. Sub-requests go first, so that they never wait
// for space in the inbox of the ingress task. It refuses sub-requests and claims
// from a VM to which the answers could not be sent.
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
		trySend(s.owner, ownerMsg(cancelMsg{id: id}))
	}
	for i := range b.replies {
		send(ctx, s.ingress, ingressMsg(subReplyMsg{reply: b.replies[i]}))
	}
	for _, a := range b.claimAnswers {
		send(ctx, s.ingress, ingressMsg(a))
	}
	for _, c := range b.claims {
		send(ctx, s.ledger, ledgerMsg(c))
	}
	for _, c := range b.settles {
		send(ctx, s.ledger, ledgerMsg(c))
	}
	return &peer.Ack{RunsOnce: true}, nil
}

// reachable reports whether answers can be sent to a VM. If the connection works
// only in the other direction, the sender would wait until its deadlines.
func (s *peerServer) reachable(ctx context.Context, vm fleet.VMID) bool {
	reply := make(chan bool, 1)
	send(ctx, s.reachability, reachableMsg{vm: vm, reply: reply})
	select {
	case ok := <-reply:
		return ok
	case <-ctx.Done():
		return false
	}
}

// submit passes a sub-request to the owner task. If that task's inbox is full, it
// sends a refusal at once, so that the ingress does not wait for the deadline.
func (s *peerServer) submit(from fleet.VMID, sub scatter.SubRequest) {
	if trySend(s.owner, ownerMsg(submitMsg{sub: sub})) {
		return
	}
	refusal := sub.Refuse(outcome.CodeOverloaded, "the home task of VM %s is busy", s.self)
	reply := scatter.SubReply{ID: sub.ID, Shard: sub.Shard, Status: scatter.Refused, Refusal: refusal}
	trySend(s.peers, peerMsg(sendReplyMsg{to: from, reply: reply}))
}
