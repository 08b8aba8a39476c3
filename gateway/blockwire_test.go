package gateway

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

// Guards against crashes and blocks that are lost between two VMs or become older or
// newer on the way, and against blocks of an earlier build, which tells no ages, that
// count as of now for good.
func TestBlocksBetweenVMs(t *testing.T) {
	request := &mesh.HeartbeatRequest{From: mesh.Node{ID: "vm"}, StatesEra: true,
		Crashes: []mesh.Crash{{Fingerprint: 1 << 63, Count: 2, Age: 59 * time.Second}, {Fingerprint: 5, Count: 1}},
		Blocked: []mesh.Block{{Fingerprint: 7, Age: time.Millisecond}, {Fingerprint: 1 << 63}},
	}
	encoded, err := proto.Marshal(encodeRequest(request))
	assert.NilError(t, err)
	var received peer.MeshRequest
	assert.NilError(t, proto.Unmarshal(encoded, &received))
	assert.DeepEqual(t, decodeRequest(&received), request)

	reply := &mesh.HeartbeatReply{From: mesh.Node{ID: "hub"}, StatesEra: true, Blocked: request.Blocked}
	sent, err := new(replyEncoder).encode(reply, true)
	assert.NilError(t, err)
	got, err := decodeReply(sent)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, reply)

	old, err := decodeReply(&peer.MeshReply{Blocked: []uint64{7, 8}, BlockedAgeMs: []uint32{3}})
	assert.NilError(t, err)
	assert.DeepEqual(t, old.Blocked, []mesh.Block{{Fingerprint: 7, Age: 3 * time.Millisecond}, {Fingerprint: 8, Age: -1}})
}
