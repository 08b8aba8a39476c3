package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/mirror"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

const newsWait = 5 * time.Second

func nextEvent(t *testing.T, inbox <-chan mesh.Event) mesh.Event {
	t.Helper()
	select {
	case ev := <-inbox:
		return ev
	case <-time.After(newsWait):
		t.Fatal("no event")
		return nil
	}
}

// Guards against news that is changed on its way, or lost without a word when
// the other VM does not take it.
func TestNewsToAnotherVM(t *testing.T) {
	other := make(chan mesh.Event, 1)
	mux := http.NewServeMux()
	mux.Handle(peer.MeshPathPrefix, peer.NewMeshServer(&peerServer{control: other}))
	server := httptest.NewServer(mux)
	inbox := make(chan mesh.Event, 1)
	task := &controlTask{clock: newClock(), log: zerolog.Nop(), inbox: inbox, peers: newPeerClient()}
	sent := mesh.PassOn{
		To: mesh.Node{ID: "b", Peer: strings.TrimPrefix(server.URL, "http://")},
		News: mesh.News{After: 7, Update: &mirror.Update{AsOf: 9, Entries: []mirror.Entry{
			{Key: "x", Value: []byte("1"), Revision: 8}, {Key: "y", Revision: 9, Deleted: true},
		}}},
	}
	ctx := context.Background()
	task.do(ctx, sent)
	assert.DeepEqual(t, nextEvent(t, other), sent.News)

	server.Close()
	task.do(ctx, sent)
	assert.DeepEqual(t, nextEvent(t, inbox), mesh.Untold(sent))
}

// Guards against a VM that takes news it cannot read for a change.
func TestUnreadableNewsIsRefused(t *testing.T) {
	s := &peerServer{control: make(chan mesh.Event)}
	_, err := s.Tell(context.Background(), &peer.MeshNews{After: 7, Update: []byte("no update")})
	assert.ErrorContains(t, err, "update")
}
