package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/mirror"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

// Guards against eras, and entries that are kept past a rewind, that are lost or altered
// between two VMs, and against messages of an older build that count as of era 0.
func TestErasBetweenVMs(t *testing.T) {
	known := mirror.Known{{Era: 1, Revision: 40}, {Era: 3, Revision: 20}}
	past := &mirror.Past{Known: known, Entries: []mirror.Entry{
		{Key: "a", Value: []byte("1"), Era: 1, Revision: 39}, {Key: "b", Era: 3, Revision: 20, Deleted: true},
	}}
	request := &mesh.HeartbeatRequest{From: mesh.Node{ID: "vm"}, StoreRevision: 7, StatesEra: true, StoreEra: 4, PastKnown: known, Past: past}
	reply := &mesh.HeartbeatReply{From: mesh.Node{ID: "hub"}, StatesEra: true, PastKnown: known, Past: past, Update: &mirror.Update{
		Full: true, Era: 4, Revision: 9, EraStart: 6, Entries: []mirror.Entry{{Key: "c", Value: []byte("2"), Era: 4, Revision: 8}},
	}}
	control := make(chan mesh.Event)
	mux := http.NewServeMux()
	mux.Handle(peer.MeshPathPrefix, peer.NewMeshServer(&peerServer{control: control}))
	server := httptest.NewServer(mux)
	defer server.Close()
	for _, statedEra := range []uint64{0, 4} {
		reply.StoreEra = statedEra
		received := make(chan *mesh.HeartbeatRequest, 1)
		go func() {
			h := (<-control).(mesh.Heartbeat)
			received <- h.Request
			encoded, _ := new(replyEncoder).encode(reply, true)
			h.Ticket.(heartbeatTicket).reply <- encoded
		}()
		got, err := newPeerClient(1).exchange(context.Background(), strings.TrimPrefix(server.URL, "http://"), request)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, reply)
		assert.DeepEqual(t, <-received, request)
	}

	old := &peer.MeshReply{Update: mustDeflate(t, &peer.MeshUpdate{AsOf: 9, Entries: []*peer.MeshEntry{{Key: "c", Revision: 8}}})}
	decoded, err := decodeReply(old)
	assert.NilError(t, err)
	assert.Assert(t, !decoded.StatesEra && !decodeRequest(&peer.MeshRequest{AsOf: 7}).StatesEra)
	assert.DeepEqual(t, decoded.Update, &mirror.Update{Revision: 9, Entries: []mirror.Entry{{Key: "c", Revision: 8}}})
	_, err = new(peerServer).Exchange(context.Background(), &peer.MeshRequest{Past: []byte("no entries")})
	assert.ErrorContains(t, err, "past")
}

func mustDeflate(t *testing.T, m proto.Message) []byte {
	encoded, err := new(replyEncoder).deflate(m)
	assert.NilError(t, err)
	return encoded
}
