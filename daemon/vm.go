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
	stopTimeout      = 2 * maxCallerTimeout   // bound on the drain of requests in flight after the address list expired
	stopMargin       = 500 * time.Millisecond // time for the state "leaving" to reach the VMs that serve address lists to callers
	stopPollInterval = 20 * time.Millisecond
	closeTimeout     = time.Second

	releaseTimeout       = 15 * time.Second // shares of a lost coordinator expire in about a third of it
	directoryPropagation = time.Second      // two heartbeat intervals: by then every VM has the new holders of the shares
)

// VM is one process of the query tier: its listening sockets and its tasks.
type VM struct {
	self    fleet.VM
	log     zerolog.Logger
	ctx     context.Context
	kill    context.CancelFunc
	control *controlTask
	ingress *ingressTask
	owner   *ownerTask
	inboxes *taskInboxes
	metrics *metrics.Registry
	keys    identities
	peers   *endpoint
	callers *endpoint
	admin   *endpoint
}

// Start opens the listening sockets and starts all tasks of a VM. On an error
// nothing is left open. The id of the VM gets a random suffix, so that each start
// of a VM is another member of the fleet.
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
		Zone: s.Zone, PeerURL: urlOrListenAddress(s.PeerURL, v.peers), CallerURL: urlOrListenAddress(s.CallerURL, v.callers), State: fleet.Starting,
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

// listen reads the keys and opens the sockets for peers, callers and operators.
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

// urlOrListenAddress returns the configured URL, or that of the listening socket
// when url is empty.
func urlOrListenAddress(url string, e *endpoint) string {
	if url != "" {
		return url
	}
	return e.url()
}

// build creates the tasks, gives each the inboxes that it sends to, and starts the
// tasks and the servers. origin is a random number of this process.
func (v *VM) build(s Settings, origin uint64) {
	dialer := newPeerDialer(v.keys.peers, v.log)
	v.keys.watch(v.ctx, v.log)
	v.control = newControlTask(v.ctx, v.self, int64(origin), v.log)
	v.ingress = newIngressTask(v.ctx, v.self.ID, v.log)
	v.ingress.metrics = v.metrics
	v.owner = newOwnerTask(v.ctx, v.self.ID, origin, v.log)
	ledger := newLedgerTask(v.ctx)
	outbox := newOutboxTask(v.ctx, v.self.ID, dialer.transport, v.log)
	heartbeats := newHeartbeatTask(v.ctx, dialer.transport())

	v.control.heartbeats = heartbeats.inbox
	v.control.subscribers = []viewSubscriber{
		{name: ingressSubscriber, views: v.ingress.views, usesShares: true}, {name: ownerSubscriber, views: v.owner.views, usesShares: true},
		{name: ledgerSubscriber, views: ledger.views, usesShares: true}, {views: outbox.views},
	}
	v.ingress.control, v.owner.control, ledger.control = v.control.inbox, v.control.inbox, v.control.inbox
	v.ingress.owner, v.ingress.ledger, v.ingress.peers = v.owner.inbox, ledger.inbox, outbox.inbox
	v.owner.ingress, v.owner.peers = v.ingress.inbox, outbox.inbox
	ledger.ingress, ledger.peers = v.ingress.inbox, outbox.inbox
	outbox.ingress = v.ingress.inbox
	heartbeats.control = v.control.inbox
	platform := newPlatformTask(v.ctx, s.PlatformURL)
	platform.control, v.control.platform = v.control.inbox, platform.inbox

	status := newStatusTask(v.ctx, dialer.transport())
	v.inboxes = &taskInboxes{control: v.control.inbox, ingress: v.ingress.inbox, owner: v.owner.inbox}
	peers := &peerServer{
		self: v.self.ID, inboxes: v.inboxes, control: v.control.inbox, ingress: v.ingress.inbox,
		owner: v.owner.inbox, ledger: ledger.inbox, peers: outbox.inbox, reachability: outbox.reachable,
	}
	callers := &callerServer{processCtx: v.ctx, ingress: v.ingress.inbox, control: v.control.inbox, countOverload: v.metrics.RecordOverload}
	operators := &adminServer{inboxes: v.inboxes, statusRequests: status.inbox, metrics: v.metrics, key: s.AdminKey}
	for _, runTask := range []func(){v.control.run, v.ingress.run, v.owner.run, ledger.run, outbox.run, heartbeats.run, platform.run, status.run} {
		go runTask()
	}
	v.peers.serve("peer", peers.handler(), v.log)
	v.callers.serve("caller", callers.handler(), v.log)
	v.admin.serve("admin", operators.handler(), v.log)
}

// ID returns the id of this VM, which is unique to this start of the process.
func (v *VM) ID() fleet.VMID { return v.self.ID }

// PeerURL returns the base URL of the interface for other VMs.
func (v *VM) PeerURL() string { return v.self.PeerURL }

// CallerURL returns the base URL of the interface for callers.
func (v *VM) CallerURL() string { return v.self.CallerURL }

// AdminURL returns the base URL of the interface for operators.
func (v *VM) AdminURL() string { return v.admin.url() }

// Kill ends all tasks and closes all sockets at once, as a crash would.
func (v *VM) Kill() {
	v.kill()
	for _, e := range []*endpoint{v.peers, v.callers, v.admin} {
		e.close()
	}
}

// Stop shuts down gracefully: the VM leaves the address list and gives back its
// shares, serves until callers have dropped its address, finishes the requests in
// flight, and then closes its sockets. Each wait has a timeout.
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

// view returns the newest view of the control task, nil when there is none or ctx
// ends first.
func (v *VM) view(ctx context.Context) *fleet.View {
	view, _ := ask(ctx, v.control.inbox, func(reply chan<- *fleet.View) controlMsg { return viewMsg{reply: reply} })
	return view
}

// waitReleased waits until other VMs hold the shares that this one gave back, and
// until the directory with the new holders has reached all VMs. It returns at once
// when there is no other VM.
func (v *VM) waitReleased(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		view := v.view(ctx)
		if view == nil || len(view.VMs) < 2 {
			return
		}
		if !view.HoldsShares(v.self.ID) {
			sleep(ctx, directoryPropagation)
			return
		}
		sleep(ctx, stopPollInterval)
	}
}

// addressTTL returns how long callers may use an address list, zero when the
// configuration is not known.
func (v *VM) addressTTL() time.Duration {
	ctx, cancel := context.WithTimeout(v.ctx, closeTimeout)
	defer cancel()
	view := v.view(ctx)
	if view == nil || view.Config == nil {
		return 0
	}
	return view.Config.Fleet.AddressTTL
}

// waitIdle waits until the ingress and owner tasks have no work in flight.
func (v *VM) waitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		ingress, owner := <-v.inboxes.askIngress(ctx), <-v.inboxes.askOwner(ctx)
		if ingress != nil && owner != nil && ingress.QueriesInFlight == 0 && owner.SubRequests == 0 {
			return
		}
		sleep(ctx, stopPollInterval)
	}
}
