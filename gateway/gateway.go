package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/metrics"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

const (
	// servePercent is the part of the grace for which a VM that is to stop goes
	// on serving: callers keep the directory's answers for a while.
	servePercent = 50
	// endMargin is left of the grace when the process gives up waiting.
	endMargin = 300 * time.Millisecond
	// helperHeaderTimeout bounds the headers of the directory, readiness, peer
	// and metrics interfaces; no caller's limits apply there.
	helperHeaderTimeout = 5 * time.Second
)

// Gateway is a running VM.
type Gateway struct {
	settings Settings
	log      zerolog.Logger
	control  *controlTask
	front    *front
	servers  []*http.Server
	done     chan struct{} // ends the tasks
	fronted  chan struct{} // closed when the front task has ended
}

// Start starts all tasks of a VM.
func Start(s Settings, p Platform, log zerolog.Logger) (*Gateway, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	c := newClock()
	m := metrics.New(c.now())
	g := &Gateway{settings: s, log: log, done: make(chan struct{}), fronted: make(chan struct{})}
	listener, err := net.Listen("tcp4", s.FrontAddress)
	if err != nil {
		return nil, errors.Wrap(err, "address for callers")
	}
	inbox := make(chan mesh.Event, controlInbox)
	engine := newEngineTask(c, &s, p.Targets, log, m)
	engine.control = inbox
	engine.relayClient = newRelayClient(p.Callers)
	g.front = &front{
		codec: p.Callers, log: log, engine: engine.inbox, listener: listener,
		limits: make(chan catalog.Limits, 1), stopping: make(chan struct{}), drain: make(chan time.Duration),
	}
	g.control = &controlTask{
		clock: c, store: p.Store, log: log, machine: mesh.New(c.now(), meshSettings(c, &s)), builder: catalog.NewBuilder(),
		inbox: inbox, views: make(chan chan<- *mesh.View), engine: engine.inbox, limits: g.front.limits,
		peers: newPeerClient(), view: &mesh.View{},
	}
	if err := g.startServers(&s, p, engine, m); err != nil {
		return nil, err
	}
	go engine.run(g.done)
	go g.control.run(g.done)
	go func() {
		defer close(g.fronted)
		g.front.run(g.done)
	}()
	log.Info().Str("event", "started").Str("vm", string(s.ID)).Str("zone", s.Zone).Str("front", s.FrontAddress).
		Str("peer", s.PeerAddress).Strs("seeds", s.Seeds).Float64("cores", s.Cores).Msg("VM started")
	return g, nil
}

func meshSettings(c clock, s *Settings) mesh.Settings {
	return mesh.Settings{
		Self: mesh.Node{
			ID: s.ID, Peer: s.PeerAddress, Front: s.FrontAddress, Zone: s.Zone, Region: s.Region,
			StartedUnixMs: time.Now().UnixMilli(), Power: s.Cores,
		},
		Seeds: s.Seeds,
	}
}

// startServers opens the interfaces besides the one for callers.
func (g *Gateway) startServers(s *Settings, p Platform, engine *engineTask, m *metrics.Registry) error {
	v := viewer{views: g.control.views}
	peers := http.NewServeMux()
	peers.Handle(peer.MeshPathPrefix, peer.NewMeshServer(&peerServer{control: g.control.inbox}))
	peers.Handle(peer.RelayPathPrefix, peer.NewRelayServer(&relayServer{engine: engine.inbox, codec: p.Callers}))
	interfaces := []struct {
		name, address string
		handler       http.Handler
	}{
		{"readiness", s.ReadyAddress, readyHandler(v, p.Readiness)},
		{"directory", s.DirectoryAddress, directoryHandler(v, p.Directory, s.DirectoryTTL, g.log)},
		{"peers", s.PeerAddress, peers},
		{"metrics", s.MetricsAddress, adminHandler(v, engine.dumps, m, g.log)},
	}
	for _, i := range interfaces {
		l, err := net.Listen("tcp4", i.address)
		if err != nil {
			return errors.Wrapf(err, "address for %s", i.name)
		}
		server := &http.Server{Handler: i.handler, ReadHeaderTimeout: helperHeaderTimeout}
		g.servers = append(g.servers, server)
		go func() {
			if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
				g.log.Error().Err(err).Str("event", "interface_ended").Str("interface", i.name).Msg("an interface ended")
			}
		}()
	}
	return nil
}

// Reload takes over settings that changed and can change while the VM runs:
// the addresses of other VMs to begin with.
func (g *Gateway) Reload(s Settings) error {
	if err := s.Check(); err != nil {
		return err
	}
	changed := !slices.Equal(s.Seeds, g.settings.Seeds)
	g.settings.Seeds = s.Seeds
	g.control.inbox <- mesh.SetSeeds{Seeds: s.Seeds}
	g.log.Info().Str("event", "reloaded").Bool("seeds_changed", changed).Strs("seeds", s.Seeds).Msg("settings were read again")
	return nil
}

// Stop leaves the fleet: callers are sent elsewhere while requests are still
// served, then what is in flight ends.
func (g *Gateway) Stop() {
	began := time.Now()
	g.log.Info().Str("event", "stopping").Int64("grace_ms", g.settings.StopGrace.Milliseconds()).Msg("VM stops")
	g.control.inbox <- mesh.Stopping{}
	close(g.front.stopping)
	time.Sleep(g.settings.StopGrace * servePercent / 100)
	if err := g.front.listener.Close(); err != nil {
		g.log.Warn().Err(err).Str("event", "close_failed").Msg("the address for callers could not be closed")
	}
	g.front.drain <- g.settings.StopGrace - time.Since(began) - endMargin
	<-g.fronted
	close(g.done)
	for _, s := range g.servers {
		ctx, cancel := context.WithTimeout(context.Background(), endMargin/10)
		_ = s.Shutdown(ctx) // what is not done by then ends with the process
		cancel()
	}
	g.log.Info().Str("event", "stopped").Int64("took_ms", time.Since(began).Milliseconds()).Msg("VM stopped")
}
