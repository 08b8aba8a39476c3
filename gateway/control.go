package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/serve"
)

const (
	controlInboxSize = 256 // events
	// storeReadGrace is how much longer than its wait a read of the store may take.
	// A store that takes longer counts as unavailable.
	storeReadGrace = 1500 * time.Millisecond
	// peerTimeout bounds a call to another VM. Hubs answer a heartbeat within
	// milliseconds; a reply with a large configuration takes longer.
	peerTimeout = 900 * time.Millisecond
)

// controlTask owns the state machine mesh.Machine, which exchanges heartbeats with
// other VMs and follows the platform's store.
type controlTask struct {
	clock        clock
	store        Store
	log          zerolog.Logger
	machine      *mesh.Machine
	builder      *catalog.Builder
	inbox        chan mesh.Event
	viewRequests chan chan<- *mesh.View
	engine       chan<- engineMsg
	limits       chan<- catalog.Limits
	peers        *peerClient
	encoder      replyEncoder
	view         *mesh.View
	isReader     bool // whether this VM reads the store, as last logged
}

func (t *controlTask) run(done <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case ev := <-t.inbox:
			t.step(ctx, ev)
		case reply := <-t.viewRequests:
			reply <- t.view
		case <-timer.C:
			t.step(ctx, mesh.Tick{})
		}
		timer.Reset(max(t.machine.Next().Sub(t.clock.now()), minControlWakeInterval))
	}
}

// minControlWakeInterval is the shortest delay of the control task's timer.
const minControlWakeInterval = 5 * time.Millisecond

// step passes an event to the state machine and executes the actions that it returns.
func (t *controlTask) step(ctx context.Context, ev mesh.Event) {
	for _, a := range t.machine.Step(t.clock.now(), ev) {
		t.execute(ctx, a)
	}
}

func (t *controlTask) execute(ctx context.Context, a mesh.Action) {
	switch a := a.(type) {
	case mesh.SendHeartbeat:
		go t.sendHeartbeat(ctx, a)
	case mesh.AnswerHeartbeat:
		t.answerHeartbeat(a)
	case mesh.ForwardDelta:
		t.forwardDelta(ctx, a)
	case mesh.ReadStore:
		go t.readStore(ctx, a)
	case mesh.EntriesChanged:
		t.applyEntries(ctx, a)
	case mesh.ViewChanged:
		t.applyView(a.View)
	case mesh.StoreLost:
		t.log.Warn().Str("event", "store_lost").Int("failures", a.Failures).Msg("the platform's store does not answer")
	case mesh.StoreRecovered:
		t.log.Info().Str("event", "store_regained").Msg("the platform's store answers again")
	case mesh.OutageEnded:
		t.log.Warn().Str("event", "store_outage_ended").Int64("copy_age_ms", a.CopyAge.Milliseconds()).
			Strs("failed_vms", vmNames(a.Failed)).Int("panel", a.Panel).
			Msg("no VM could read the platform's store; entries that are missing may have lapsed")
	case mesh.OutageRefuted:
		t.log.Warn().Str("event", "store_out_of_reach").Int64("copy_age_ms", a.CopyAge.Milliseconds()).
			Strs("failed_vms", vmNames(a.Failed)).Int("panel", a.Panel).
			Msg("some VMs could not read the platform's store, but this one could; entries that are missing were removed")
	case mesh.RequestBlocked:
		t.log.Warn().Str("event", "request_blocked").Str("fingerprint", formatFingerprint(a.Fingerprint)).
			Int("crashes", a.Crashes).Int("counters", a.Counters).Int64("age_ms", a.Age.Milliseconds()).
			Msg("requests with this fingerprint crash targets and are blocked")
	case mesh.RequestUnblocked:
		t.log.Info().Str("event", "request_unblocked").Str("fingerprint", formatFingerprint(a.Fingerprint)).
			Msg("requests with this fingerprint have crashed no target for a minute and are blocked no longer")
	case mesh.StoreRewound:
		t.logRewind(a)
	case mesh.EraIgnored:
		t.log.Warn().Str("event", "store_era_ignored").Uint64("era", a.Era).Uint64("known_era", a.Known).
			Msg("a read of the platform's store was ignored because of its era")
	case mesh.PeerLost:
		t.log.Warn().Str("event", "vm_lost").Str("vm", string(a.Node.ID)).Str("zone", a.Node.Zone).
			Int64("silent_ms", a.UnresponsiveFor.Milliseconds()).Msg("a VM is not in touch any more")
	case mesh.PeerFound:
		t.log.Info().Str("event", "vm_found").Str("vm", string(a.Node.ID)).Str("zone", a.Node.Zone).
			Int64("started_unix_ms", a.Node.StartedUnixMs).Msg("a VM is in touch")
	}
}

// answerHeartbeat encodes and sends the reply to a heartbeat of another VM.
func (t *controlTask) answerHeartbeat(a mesh.AnswerHeartbeat) {
	ticket := a.Ticket.(heartbeatTicket)
	reply, err := t.encoder.encode(a.Reply, ticket.readsPacked)
	if err != nil { // the other VM sees a call that times out
		t.log.Error().Err(err).Str("event", "heartbeat_not_answered").Msg("a reply to a heartbeat could not be encoded")
		return
	}
	ticket.reply <- reply
}

// forwardDelta forwards a change of the store to another VM.
func (t *controlTask) forwardDelta(ctx context.Context, a mesh.ForwardDelta) {
	update, err := t.encoder.encodeUpdate(a.Delta.Update)
	if err != nil { // the other VM learns of the change by a heartbeat
		t.log.Error().Err(err).Str("event", "news_not_sent").Uint64("after", a.Delta.After.Revision).Msg("a change of the store could not be encoded for another VM")
		return
	}
	go func() {
		err := t.peers.forward(ctx, a.To.Peer, a.Delta, update)
		if err != nil {
			t.log.Debug().Err(err).Str("event", "news_not_taken").Str("vm", string(a.To.ID)).Uint64("after", a.Delta.After.Revision).Msg("a change of the store could not be forwarded to another VM")
			t.send(ctx, mesh.ForwardFailed(a))
		}
	}()
}

// send puts an event into the task's own inbox. It is for the goroutines that the
// task started.
func (t *controlTask) send(ctx context.Context, ev mesh.Event) {
	select {
	case t.inbox <- ev:
	case <-ctx.Done():
	}
}

// sendHeartbeat makes one heartbeat call to another VM and reports its result.
func (t *controlTask) sendHeartbeat(ctx context.Context, a mesh.SendHeartbeat) {
	sent := t.clock.now()
	reply, err := t.peers.exchange(ctx, a.Peer, a.Request)
	if err != nil {
		t.log.Debug().Err(err).Str("event", "heartbeat_failed").Str("peer", a.Peer).Msg("a heartbeat was not answered")
		t.send(ctx, mesh.HeartbeatFailed{Peer: a.Peer, Refused: isConnRefused(err)})
		return
	}
	t.send(ctx, mesh.HeartbeatAnswered{Peer: a.Peer, Sent: sent, Reply: reply})
}

// readStore makes one read of the store and reports its result.
func (t *controlTask) readStore(ctx context.Context, a mesh.ReadStore) {
	callCtx, cancel := context.WithTimeout(ctx, a.Wait+storeReadGrace)
	defer cancel()
	sent := t.clock.now()
	u, err := t.store.Read(callCtx, a.After, a.Wait)
	var badEra *EraError
	if u != nil && errors.As(err, &badEra) {
		t.log.Warn().Err(err).Str("event", "store_era_unreadable").Uint64("after", a.After).Msg("an answer of the platform's store counts as of era 0")
		err = nil
	}
	if err != nil {
		var historyGone *HistoryGoneError
		var stated interface{ StoreEra() uint64 }
		failed := mesh.StoreFailed{HistoryGone: errors.As(err, &historyGone)}
		if errors.As(err, &stated) {
			failed.Era = stated.StoreEra()
		}
		t.log.Warn().Err(err).Str("event", "store_read_failed").Uint64("after", a.After).
			Int64("took_ms", t.clock.now().Sub(sent).Milliseconds()).Msg("a read of the platform's store failed")
		t.send(ctx, failed)
		return
	}
	wait := a.Wait
	if a.After == 0 {
		wait = 0
	}
	t.send(ctx, mesh.StoreRead{Sent: sent, Wait: wait, Update: u})
}

// applyEntries decodes the changed entries of the store, and sends the resulting
// catalog to the engine task and the limits for callers to the front task. An entry
// that can't be decoded is logged.
func (t *controlTask) applyEntries(ctx context.Context, changed mesh.EntriesChanged) {
	for _, e := range changed.Entries {
		change, err := t.store.Decode(e)
		if err != nil {
			t.log.Warn().Err(err).Str("event", "entry_unreadable").Str("key", e.Key).Uint64("revision", e.Revision).
				Msg("an entry of the platform's store can't be read")
		}
		if change != nil {
			t.builder.Apply(change, changed.LapseEndOf(&e))
			t.logChange(change, e.Revision)
		}
	}
	snapshot := t.builder.Snapshot()
	t.engine <- engineMsg{event: serve.CatalogChanged{Config: snapshot.Config, Targets: snapshot.Targets, Lapsed: snapshot.Lapsed, ZonesOut: snapshot.ZonesOut}}
	if snapshot.Config != nil {
		t.limits <- snapshot.Config.Limits
		t.step(ctx, mesh.SetMaxActive{VMs: mesh.MaxActiveFor(snapshot.Config.MinShardConnections())})
	}
}

// logRewind logs that the store returned from an older copy.
func (t *controlTask) logRewind(a mesh.StoreRewound) {
	kept, total := zerolog.Dict(), 0
	for reason, n := range a.Kept {
		kept, total = kept.Int(string(reason), n), total+n
	}
	t.log.Warn().Str("event", "store_rewound").Uint64("era", a.To.Era).Uint64("revision", a.To.Revision).
		Uint64("earlier_era", a.From.Era).Uint64("earlier_revision", a.From.Revision).Int("kept_entries", total).Dict("kept", kept).
		Msg("the platform's store returned from an older copy")
}

// logChange logs a new configuration, and a zone that goes out of or into service.
func (t *controlTask) logChange(c catalog.Change, revision uint64) {
	switch c := c.(type) {
	case catalog.ConfigUpdated:
		t.log.Info().Str("event", "config_read").Uint64("config_version", c.Config.Version).Uint64("revision", revision).
			Int("routes", len(c.Config.Routes())).Int("workspaces", len(c.Config.Workspaces())).Msg("a configuration was read")
	case catalog.ZoneOut:
		t.log.Warn().Str("event", "zone_out").Str("zone", c.Zone).Uint64("revision", revision).Msg("an availability zone is taken out of service")
	case catalog.ZoneIn:
		t.log.Info().Str("event", "zone_in").Str("zone", c.Zone).Uint64("revision", revision).Msg("an availability zone is in service")
	}
}

// applyView makes v the current view and sends it to the engine task.
func (t *controlTask) applyView(v *mesh.View) {
	if v.Reader != t.isReader {
		t.isReader = v.Reader
		t.log.Info().Str("event", "reader_changed").Bool("reader", v.Reader).Strs("hubs", vmNames(v.Hubs)).Msg("the hubs that read the store changed")
	}
	t.view = v
	t.engine <- engineMsg{event: serve.FleetChanged{View: v}}
}

func vmNames(ids []fleet.VMID) []string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	return names
}

func formatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }
