package daemon

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

// outItem is a message with what became of its deliveries.
type outItem struct {
	msg        peerMsg
	deliveries int
	since      time.Time // of the first delivery
	maybe      bool      // one of them may have arrived
}

// delivered reports the end of a Deliver call to the outbox task itself.
type delivered struct {
	link  *peerLink
	batch []outItem
	began time.Time
	ack   *peer.Ack
	err   error
}

// deliver runs in a goroutine of its own for the time of one call.
func (t *outboxTask) deliver(l *peerLink, batch []outItem, now time.Time) {
	d := delivered{link: l, batch: batch, began: now}
	d.ack, d.err = peer.NewSearchProtobufClient(l.vm.PeerURL, l.client).Deliver(t.ctx, t.batch(l.vm.ID, batch, now))
	send(t.ctx, t.done, d)
}

// failed tells what a call that failed lost, and returns what may be delivered
// once more.
func (t *outboxTask) failed(d delivered) []outItem {
	if d.err == nil {
		return nil
	}
	failure := classifySendError(d.err)
	t.log.Debug().Str("event", "deliver_failed").Str("vm", string(d.link.vm.ID)).Err(d.err).
		Int("messages", len(d.batch)).Int64("took_ms", time.Since(d.began).Milliseconds()).Msg("messages to a VM failed")
	again, lost := splitRepeatable(d.batch, failure, d.link.runsOnce)
	t.fail(lost, failure)
	if failure != senderUnreachable {
		// What silenced one connection may have silenced all, and new ones work.
		d.link.transport.CloseIdleConnections()
	}
	return again
}

// splitLate separates the sub-requests whose deadline passed while they waited,
// and those that wait too long to be delivered again.
func splitLate(batch []outItem, now time.Time) (kept, late []outItem) {
	kept = make([]outItem, 0, len(batch))
	for _, item := range batch {
		if item.since.IsZero() {
			item.since = now
		}
		if m, ok := item.msg.(sendSubMsg); ok && (!now.Before(m.sub.Deadline) || now.Sub(item.since) > redeliverFor) {
			late = append(late, item)
			continue
		}
		kept = append(kept, item)
	}
	return kept, late
}

// splitRepeatable separates the messages that may be delivered once more after a
// failed call.
func splitRepeatable(batch []outItem, failure sendFailure, runsOnce bool) (repeatable, lost []outItem) {
	for _, item := range batch {
		item.deliveries++
		item.maybe = item.maybe || failure == maybeDelivered
		if item.deliveries >= maxDeliveries || !item.repeatable(failure, runsOnce) {
			lost = append(lost, item)
			continue
		}
		repeatable = append(repeatable, item)
	}
	return repeatable, lost
}

// repeatable reports whether a message does no harm when it arrives twice, and
// nothing better can be done with it. A sub-request that another home can run
// goes there. One that may have arrived and must not run twice can only go to
// the same home again, as long as that seems to be there.
func (i outItem) repeatable(failure sendFailure, runsOnce bool) bool {
	m, ok := i.msg.(sendSubMsg)
	return !ok || runsOnce && failure == maybeDelivered && !m.sub.Idempotent
}

// splitMovable separates sub-requests and claims, which their senders are told
// of, but for those that may have arrived.
func splitMovable(waiting []outItem) (movable, rest []outItem) {
	for _, item := range waiting {
		_, isSub := item.msg.(sendSubMsg)
		_, isClaim := item.msg.(sendClaimMsg)
		if isClaim || isSub && !item.maybe {
			movable = append(movable, item)
			continue
		}
		rest = append(rest, item)
	}
	return movable, rest
}

func (t *outboxTask) batch(to fleet.VMID, items []outItem, now time.Time) *peer.Batch {
	b := &peer.Batch{From: string(t.self), To: string(to)}
	for _, item := range items {
		if m, ok := item.msg.(sendSubMsg); ok && item.maybe {
			m.sub.Redelivered = true
			item.msg = m
		}
		item.msg.addTo(b, now)
	}
	return b
}

func (t *outboxTask) failSub(msg sendSubMsg, item outItem, failure sendFailure) {
	if item.maybe {
		failure = maybeDelivered
	}
	if failure == maybeDelivered {
		t.requests.Info().Str("event", "sub_request_lost").Stringer("request_id", msg.sub.Request).Str("vm", string(msg.to)).
			Int("deliveries", item.deliveries).Msg("a home did not confirm a sub-request that it may have run")
	}
	send(t.ctx, t.entry, entryMsg(subFailedMsg{id: msg.sub.ID, failure: failure}))
}

// fail tells the entry task which of its messages did not arrive.
func (t *outboxTask) fail(items []outItem, failure sendFailure) {
	for _, item := range items {
		switch msg := item.msg.(type) {
		case sendSubMsg:
			t.failSub(msg, item, failure)
		case sendClaimMsg:
			refusal := outcome.New(outcome.CodeConnectionLost, outcome.NotRun, "the holder of the request id did not answer")
			send(t.ctx, t.entry, entryMsg(claimedMsg{id: msg.query, refusal: refusal, unanswerable: failure == senderUnreachable}))
		}
	}
}
