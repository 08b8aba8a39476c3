package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/metrics"
)

const (
	stopTimeout  = 2 * maxCallerTimeout   // longest time that requests in flight may take after the address list expired
	stopMargin   = 500 * time.Millisecond // time for the leaving state to reach the VMs that callers ask
	stopPoll     = 20 * time.Millisecond
	closeTimeout = time.Second

	releaseTimeout  = 15 * time.Second // shares of a lost coordinator expire in about a third of it
	directorySpread = time.Second      // two heartbeats: the time in which every VM learns who holds what
)

// VM is one process of the query tier.
type VM struct {
	self     fleet.VM
	log      zerolog.Logger
	ctx      context.Context
	kill     context.CancelFunc
	control  *controlTask
	entry    *entryTask
	home     *homeTask
	readable *tasks
	metrics  *metrics.Registry
	keys     identities
	peers    *endpoint
	callers  *endpoint
	admin    *endpoint
}

// Start opens the listening sockets and starts all tasks of a VM.
func Start(s Settings, log zerolog.Logger) (*VM, error) {
	ctx, kill := context.WithCancel(context.Background())
	v := &VM{ctx: ctx, kill: kill, metrics: metrics.New(time.Now())}
	if err := v.listen(s); err != nil {
		v.Kill()
		return nil, err
	}
	var random [16]byte
	rand.Read(random[:])
	v.self = fleet.VM{
		ID:   fleet.VMID(s.VM + "-" + hex.EncodeToString(random[:4])),
		Zone: s.Zone, PeerURL: urlOr(s.PeerURL, v.peers), CallerURL: urlOr(s.CallerURL, v.callers), State: fleet.Starting,
	}
	v.log = log.With().Str("vm", string(v.self.ID)).Logger()
	v.build(s, binary.BigEndian.Uint64(random[4:12]))
	v.log.Info().Str("event", "started").Str("zone", s.Zone).Str("peer_url", v.self.PeerURL).
		Str("caller_url", v.self.CallerURL).Str("admin_url", v.admin.url()).Msg("VM started")
	return v, nil
}

// ListenError reports an address on which the process cannot listen.
type ListenError struct {
	Address string
	Reason  string
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Reason }

func (v *VM) listen(s Settings) error {
	var err error
	if v.keys, err = readIdentities(&s); err != nil {
		return err
	}
	for _, e := range []struct {
		to      **endpoint
		address string
		keys    *keyStore
		limits  endpointLimits
	}{
		{&v.peers, s.PeerListen, v.keys.peers, endpointLimits{}},
		{&v.callers, s.CallerListen, v.keys.callers, callerLimits},
		{&v.admin, s.AdminListen, v.keys.admin, adminLimits},
	} {
		if *e.to, err = listen(e.address, e.keys, e.limits); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// urlOr returns the configured URL, or that of the listening socket.
func urlOr(url string, e *endpoint) string {
	if url != "" {
		return url
	}
	return e.url()
}

// build makes the tasks, joins their inboxes and starts them.
func (v *VM) build(s Settings, origin uint64) {
	dialer := newPeerDialer(v.keys.peers, v.log)
	v.keys.watch(v.ctx, v.log)
	v.control = newControlTask(v.ctx, v.self, int64(origin), v.log)
	v.entry = newEntryTask(v.ctx, v.self.ID, v.log)
	v.entry.metrics = v.metrics
	v.home = newHomeTask(v.ctx, v.self.ID, origin, v.log)
	once := newOnceTask(v.ctx)
	outbox := newOutboxTask(v.ctx, v.self.ID, dialer.transport, v.log)
	beats := newBeatTask(v.ctx, dialer.transport())

	v.control.beats = beats.inbox
	v.control.viewers = []viewer{
		{name: entryViewer, views: v.entry.views, shares: true}, {name: homeViewer, views: v.home.views, shares: true},
		{name: onceViewer, views: once.views, shares: true}, {views: outbox.views},
	}
	v.entry.control, v.home.control, once.control = v.control.inbox, v.control.inbox, v.control.inbox
	v.entry.home, v.entry.once, v.entry.peers = v.home.inbox, once.inbox, outbox.inbox
	v.home.entry, v.home.peers = v.entry.inbox, outbox.inbox
	once.entry, once.peers = v.entry.inbox, outbox.inbox
	outbox.entry = v.entry.inbox
	beats.control = v.control.inbox
	platform := newPlatformTask(v.ctx, s.PlatformURL)
	platform.control, v.control.service = v.control.inbox, platform.inbox

	status := newStatusTask(v.ctx, dialer.transport())
	v.readable = &tasks{control: v.control.inbox, entry: v.entry.inbox, home: v.home.inbox}
	peers := &peerServer{
		self: v.self.ID, tasks: v.readable, control: v.control.inbox, ingress: v.entry.inbox,
		owner: v.home.inbox, claims: once.inbox, peers: outbox.inbox, reachability: outbox.asks,
	}
	callers := &callerServer{processCtx: v.ctx, ingress: v.entry.inbox, control: v.control.inbox, countOverload: v.metrics.Overloaded}
	operators := &adminServer{tasks: v.readable, statusRequests: status.inbox, metrics: v.metrics, key: s.AdminKey}
	for _, run := range []func(){v.control.run, v.entry.run, v.home.run, once.run, outbox.run, beats.run, platform.run, status.run} {
		go run()
	}
	v.peers.serve("peer", peers.handler(), v.log)
	v.callers.serve("caller", callers.handler(), v.log)
	v.admin.serve("admin", operators.handler(), v.log)
}

// ID returns the id of this incarnation of the VM.
func (v *VM) ID() fleet.VMID { return v.self.ID }

// PeerURL returns the base URL for other VMs.
func (v *VM) PeerURL() string { return v.self.PeerURL }

// CallerURL returns the base URL for callers.
func (v *VM) CallerURL() string { return v.self.CallerURL }

// AdminURL returns the base URL for operators.
func (v *VM) AdminURL() string { return v.admin.url() }

// Kill ends the process's tasks and sockets at once, as a crash would.
func (v *VM) Kill() {
	v.kill()
	for _, e := range []*endpoint{v.peers, v.callers, v.admin} {
		e.close()
	}
}

// Stop leaves the fleet without cutting a request: it leaves the address list
// and gives back its shares, serves on until callers have dropped its address,
// finishes what is in flight here, and then closes its sockets.
func (v *VM) Stop() {
	v.log.Info().Str("event", "stopping").Msg("VM is leaving the fleet")
	send(v.ctx, v.control.inbox, controlMsg(eventMsg{event: control.Leave{}}))
	sleep(v.ctx, v.addressTTL()+stopMargin)
	ctx, cancel := context.WithTimeout(v.ctx, stopTimeout)
	defer cancel()
	v.callers.drain(ctx)
	v.waitReleased(ctx)
	v.waitIdle(ctx)
	v.Kill()
	v.log.Info().Str("event", "stopped").Msg("VM stopped")
}

func (v *VM) view(ctx context.Context) *fleet.View {
	view, _ := ask(ctx, v.control.inbox, func(reply chan<- *fleet.View) controlMsg { return viewMsg{reply: reply} })
	return view
}

// waitReleased waits until other VMs hold what this one gave back, and until
// they have learned of it. Without other VMs there is nobody to wait for.
func (v *VM) waitReleased(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		view := v.view(ctx)
		if view == nil || len(view.VMs) < 2 {
			return
		}
		if !view.Holds(v.self.ID) {
			sleep(ctx, directorySpread)
			return
		}
		sleep(ctx, stopPoll)
	}
}

func (v *VM) addressTTL() time.Duration {
	ctx, cancel := context.WithTimeout(v.ctx, closeTimeout)
	defer cancel()
	view := v.view(ctx)
	if view == nil || view.Config == nil {
		return 0
	}
	return view.Config.Fleet.AddressTTL
}

// waitIdle waits until the entry and home tasks have no work in flight.
func (v *VM) waitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		e, h := <-v.readable.askEntry(ctx), <-v.readable.askHome(ctx)
		if e != nil && h != nil && e.QueriesInFlight == 0 && h.SubRequests == 0 {
			return
		}
		sleep(ctx, stopPoll)
	}
}
