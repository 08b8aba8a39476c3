package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/mirror"
	"github.com/anvilfork/anvilfork/core/serve"
	"github.com/anvilfork/anvilfork/internal/http1"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

const (
	peerConnectTimeout = 400 * time.Millisecond
	idlePoolConns      = 2                // to the reader, for requests of its pools
	peerIdleTimeout    = 30 * time.Second // far above the interval of heartbeats
)

// peerClient sends heartbeats and store changes to other VMs.
type peerClient struct {
	http *http.Client
}

// newPeerClient returns a client that keeps so many idle connections to each VM.
func newPeerClient(idleConns int) *peerClient {
	dialer := &net.Dialer{Timeout: peerConnectTimeout}
	return &peerClient{http: &http.Client{Transport: http1.NewTransport(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: peerIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: http1.MaxHeadBytes,
	})}}
}

// exchange makes one heartbeat call. A call that times out closes its connection,
// so that an unresponsive connection isn't used again.
func (c *peerClient) exchange(ctx context.Context, address string, r *mesh.HeartbeatRequest) (*mesh.HeartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := encodeRequest(r)
	if r.Past != nil {
		var e replyEncoder
		past, err := e.deflate(encodePast(r.Past))
		if err != nil {
			return nil, err
		}
		request.Past = past
	}
	reply, err := peer.NewMeshProtobufClient("http://"+address, c.http).Exchange(ctx, request)
	if err != nil {
		return nil, err
	}
	return decodeReply(reply)
}

// forward makes one call with a change of the store, whose update is encoded.
func (c *peerClient) forward(ctx context.Context, address string, d mesh.Delta, update []byte) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_, err := peer.NewMeshProtobufClient("http://"+address, c.http).Tell(ctx, &peer.MeshNews{After: d.After.Revision, AfterEra: d.After.Era, Update: update, RegainedAgeUs: encodeAge(d.RegainedAge)})
	return err
}

// isConnRefused reports whether a call failed because no process listens.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// peerServer passes heartbeats and store changes of other VMs to the control task.
type peerServer struct {
	control chan<- mesh.Event
	engine  chan<- engineMsg
}

// Exchange implements peer.Mesh. It answers a heartbeat.
func (s *peerServer) Exchange(ctx context.Context, r *peer.MeshRequest) (*peer.MeshReply, error) {
	answer := make(chan *peer.MeshReply, 1)
	ticket := heartbeatTicket{readsPacked: r.GetReadsPacked(), reply: answer}
	request := decodeRequest(r)
	var err error
	if request.Past, err = decodePast(r.GetPast(), request.PastKnown); err != nil {
		return nil, twirp.InvalidArgumentError("past", err.Error())
	}
	select {
	case s.control <- mesh.Heartbeat{Request: request, Ticket: ticket}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Tell implements peer.Mesh. It accepts a forwarded change of the store.
func (s *peerServer) Tell(ctx context.Context, n *peer.MeshNews) (*peer.MeshNewsTaken, error) {
	u, err := decodeUpdate(n.GetUpdate())
	if err != nil {
		return nil, twirp.InvalidArgumentError("update", err.Error())
	}
	select {
	case s.control <- mesh.Delta{After: mirror.Version{Era: n.GetAfterEra(), Revision: n.GetAfter()}, Update: u, RegainedAge: decodeAge(n.GetRegainedAgeUs())}:
		return &peer.MeshNewsTaken{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Take implements peer.Mesh. It takes a request from this VM's pool of a workspace.
func (s *peerServer) Take(ctx context.Context, r *peer.MeshTake) (*peer.MeshTaken, error) {
	answer := make(chan *peer.MeshTaken, 1)
	select {
	case s.engine <- engineMsg{event: serve.PoolRequested{Workspace: r.GetWorkspace(), Ticket: poolTicket{answer}}}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case taken := <-answer:
		return taken, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// poolTicket is where the engine task sends the answer of a pool.
type poolTicket struct {
	answer chan<- *peer.MeshTaken // has room for one
}

// take asks another VM for a request of a workspace.
func (c *peerClient) take(ctx context.Context, a serve.AskPool) serve.PoolReplied {
	ctx, cancel := context.WithTimeout(ctx, poolCallTimeout)
	defer cancel()
	taken, err := peer.NewMeshProtobufClient("http://"+a.Peer, c.http).Take(ctx, &peer.MeshTake{Workspace: a.Workspace})
	if err != nil {
		return serve.PoolReplied{ID: a.ID, Failed: true}
	}
	return serve.PoolReplied{ID: a.ID, Granted: taken.GetGranted(), Wait: time.Duration(taken.GetWaitUs()) * time.Microsecond}
}

// poolCallTimeout bounds a call for a request of the pool. The engine gives the
// request up before.
const poolCallTimeout = 200 * time.Millisecond

// heartbeatTicket tells the control task how to encode the reply to a heartbeat
// and where to send it.
type heartbeatTicket struct {
	readsPacked bool                   // whether the sender can decode packed members
	reply       chan<- *peer.MeshReply // has room for one
}
