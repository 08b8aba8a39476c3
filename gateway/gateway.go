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
	"github.com/anvilfork/anvilfork/core/serve"
	"github.com/anvilfork/anvilfork/metrics"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

const (
	// lameDuckPercent is the part of the stop grace for which a stopping VM still
	// accepts requests, since callers keep the directory's answers for a while.
	lameDuckPercent = 50
	// exitMargin is what is left of the stop grace when the process gives up waiting
	// for requests in flight.
	exitMargin = 300 * time.Millisecond
	// answerMargin is what is left then of the time for the requests in flight when the
	// last of them are answered: their answers have to leave.
	answerMargin = 200 * time.Millisecond
	// internalHeaderTimeout bounds reading the headers of a request to the
	// directory, readiness, peer and metrics interfaces, to which the configured
	// limits for callers do not apply.
	internalHeaderTimeout = 5 * time.Second
)

// Gateway runs the tasks and interfaces of one VM.
type Gateway struct {
	settings  Settings
	clock     clock
	log       zerolog.Logger
	control   *controlTask
	engine    chan<- engineMsg
	front     *front
	servers   []*http.Server
	done      chan struct{} // closed to end the tasks
	frontDone chan struct{} // closed when the front task has ended
}

// Start starts all tasks and interfaces of a VM. It returns a *SettingError for
// invalid settings, and another error when an address cannot be listened on.
func Start(s Settings, p Platform, log zerolog.Logger) (*Gateway, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	c := newClock()
	m := metrics.New(c.now())
	g := &Gateway{settings: s, clock: c, log: log, done: make(chan struct{}), frontDone: make(chan struct{})}
	listener, err := net.Listen("tcp4", s.FrontAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen on the address for callers")
	}
	inbox := make(chan mesh.Event, controlInboxSize)
	memory := newMemoryTask(c, s.MemoryBytes)
	engine := newEngineTask(c, &s, p.Targets, log, m)
	engine.control, engine.memory = inbox, memory.inbox
	g.engine = engine.inbox
	engine.relayClient = newRelayClient(p.Callers)
	engine.poolClient = newPeerClient(idlePoolConns)
	g.front = &front{
		clock: c, codec: p.Callers, log: log, engine: engine.inbox, memory: memory.inbox, done: g.done, listener: listener,
		limits: make(chan catalog.Limits, 1), stopping: make(chan struct{}), drain: make(chan time.Duration),
	}
	g.control = &controlTask{
		clock: c, store: p.Store, log: log, machine: mesh.New(c.now(), meshSettings(&s, p.Store)), builder: catalog.NewBuilder(),
		inbox: inbox, viewRequests: make(chan chan<- *mesh.View), engine: engine.inbox, limits: g.front.limits,
		peers: newPeerClient(1), view: &mesh.View{},
	}
	if err := g.startServers(&s, p, engine, m); err != nil {
		return nil, err
	}
	go memory.run(g.done)
	go engine.run(g.done)
	go g.control.run(g.done)
	go func() {
		defer close(g.frontDone)
		g.front.run(g.done)
	}()
	log.Info().Str("event", "started").Str("vm", string(s.ID)).Str("zone", s.Zone).Str("front", s.FrontAddress).
		Str("peer", s.PeerAddress).Strs("seeds", s.Seeds).Float64("cores", s.Cores).Msg("VM started")
	return g, nil
}

func meshSettings(s *Settings, store Store) mesh.Settings {
	return mesh.Settings{
		Self: mesh.Node{
			ID: s.ID, Peer: s.PeerAddress, Front: s.FrontAddress, Zone: s.Zone, Region: s.Region,
			StartedUnixMs: time.Now().UnixMilli(), Power: s.Cores,
		},
		Seeds: s.Seeds, Outlives: outlives(store),
	}
}

// startServers starts all interfaces but the one for callers.
func (g *Gateway) startServers(s *Settings, p Platform, engine *engineTask, m *metrics.Registry) error {
	v := viewClient{requests: g.control.viewRequests}
	peers := http.NewServeMux()
	peers.Handle(peer.MeshPathPrefix, peer.NewMeshServer(&peerServer{control: g.control.inbox, engine: engine.inbox}))
	peers.Handle(peer.RelayPathPrefix, peer.NewRelayServer(&relayServer{engine: engine.inbox, codec: p.Callers}))
	interfaces := []struct {
		name, address string
		handler       http.Handler
	}{
		{"readiness", s.ReadyAddress, readyHandler(v, p.Readiness)},
		{"directory", s.DirectoryAddress, directoryHandler(v, p.Directory, s.DirectoryTTL, g.log)},
		{"peers", s.PeerAddress, peers},
		{"metrics", s.MetricsAddress, adminHandler(v, engine.dumpRequests, m, g.log)},
	}
	for _, i := range interfaces {
		l, err := net.Listen("tcp4", i.address)
		if err != nil {
			return errors.Wrapf(err, "listen on the address for %s", i.name)
		}
		server := &http.Server{Handler: i.handler, ReadHeaderTimeout: internalHeaderTimeout}
		g.servers = append(g.servers, server)
		go func() {
			if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
				g.log.Error().Err(err).Str("event", "interface_ended").Str("interface", i.name).Msg("an interface stopped serving")
			}
		}()
	}
	return nil
}

// Reload applies the settings that can change while the VM runs, which are the
// seeds only. It ignores changes of all others. The error is a *SettingError; no
// setting changes then.
func (g *Gateway) Reload(s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	changed := !slices.Equal(s.Seeds, g.settings.Seeds)
	g.settings.Seeds = s.Seeds
	g.control.inbox <- mesh.SetSeeds{Seeds: s.Seeds}
	g.log.Info().Str("event", "reloaded").Bool("seeds_changed", changed).Strs("seeds", s.Seeds).Msg("settings were read again")
	return nil
}

// Stop makes the VM leave the fleet. Callers are sent to other VMs while this one
// still accepts connections for lameDuckPercent of the grace; then Stop waits for the
// requests in flight and ends the tasks. From its start requests are refused that can't
// be expected to be served in the grace, and all others are answered within it.
func (g *Gateway) Stop() {
	start := time.Now()
	g.engine <- engineMsg{event: serve.Stopping{AnswerBy: g.clock.now().Add(g.settings.StopGrace - exitMargin - answerMargin)}}
	g.log.Info().Str("event", "stopping").Int64("grace_ms", g.settings.StopGrace.Milliseconds()).Msg("VM is stopping")
	g.control.inbox <- mesh.Stopping{}
	close(g.front.stopping)
	time.Sleep(g.settings.StopGrace * lameDuckPercent / 100)
	if err := g.front.listener.Close(); err != nil {
		g.log.Warn().Err(err).Str("event", "close_failed").Msg("the address for callers could not be closed")
	}
	g.front.drain <- g.settings.StopGrace - time.Since(start) - exitMargin
	<-g.frontDone
	close(g.done)
	for _, s := range g.servers {
		ctx, cancel := context.WithTimeout(context.Background(), exitMargin/10)
		_ = s.Shutdown(ctx) // what still runs then ends with the process
		cancel()
	}
	g.log.Info().Str("event", "stopped").Int64("took_ms", time.Since(start).Milliseconds()).Msg("VM stopped")
}
