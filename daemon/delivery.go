package daemon

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

// outboxItem is a message with the state of its deliveries.
type outboxItem struct {
	msg           peerMsg
	deliveries    int
	firstDelivery time.Time // zero before it
	maybeArrived  bool      // a failed delivery may have arrived
}

// deliveryResult is the end of a Deliver call, sent to the outbox task itself.
type deliveryResult struct {
	link  *peerLink
	batch []outboxItem
	began time.Time
	ack   *peer.Ack
	err   error
}

// deliver makes one call, in a goroutine of its own.
func (t *outboxTask) deliver(l *peerLink, batch []outboxItem, now time.Time) {
	d := deliveryResult{link: l, batch: batch, began: now}
	d.ack, d.err = peer.NewSearchProtobufClient(l.vm.PeerURL, l.client).Deliver(t.ctx, t.newBatch(l.vm.ID, batch, now))
	send(t.ctx, t.results, d)
}

// handleFailure reports the messages that a failed call lost, and returns those that
// are to be delivered again.
func (t *outboxTask) handleFailure(d deliveryResult) []outboxItem {
	if d.err == nil {
		return nil
	}
	failure := classifySendError(d.err)
	t.log.Debug().Str("event", "deliver_failed").Str("vm", string(d.link.vm.ID)).Err(d.err).
		Int("messages", len(d.batch)).Int64("took_ms", time.Since(d.began).Milliseconds()).Msg("delivery of messages to a VM failed")
	redeliver, lost := splitRedeliverable(d.batch, failure, d.link.runsOnce)
	t.reportFailed(lost, failure)
	if failure != senderUnreachable {
		// What made one connection unresponsive may affect all idle ones; a new
		// connection often works.
		d.link.transport.CloseIdleConnections()
	}
	return redeliver
}

// splitExpired separates the sub-requests whose deadline passed in the queue, and
// those whose first delivery is longer ago than redeliveryWindow.
func splitExpired(batch []outboxItem, now time.Time) (kept, expired []outboxItem) {
	kept = make([]outboxItem, 0, len(batch))
	for _, item := range batch {
		if item.firstDelivery.IsZero() {
			item.firstDelivery = now
		}
		if m, ok := item.msg.(sendSubMsg); ok && (!now.Before(m.sub.Deadline) || now.Sub(item.firstDelivery) > redeliveryWindow) {
			expired = append(expired, item)
			continue
		}
		kept = append(kept, item)
	}
	return kept, expired
}

// splitRedeliverable separates the messages of a failed call that may be delivered
// again, up to maxDeliveries in all.
func splitRedeliverable(batch []outboxItem, failure sendFailure, runsOnce bool) (redeliverable, lost []outboxItem) {
	for _, item := range batch {
		item.deliveries++
		item.maybeArrived = item.maybeArrived || failure == maybeDelivered
		if item.deliveries >= maxDeliveries || !item.isRedeliverable(failure, runsOnce) {
			lost = append(lost, item)
			continue
		}
		redeliverable = append(redeliverable, item)
	}
	return redeliverable, lost
}

// isRedeliverable reports whether a message can arrive twice without harm and the
// same VM is the best place for it. A sub-request that another owner can run fails
// instead and is sent there. One that may have arrived and must not run twice can
// only go to the same owner again, which must be known to deduplicate (runsOnce).
func (i outboxItem) isRedeliverable(failure sendFailure, runsOnce bool) bool {
	m, ok := i.msg.(sendSubMsg)
	return !ok || runsOnce && failure == maybeDelivered && !m.sub.Idempotent
}

// splitReroutable separates claims and the sub-requests that have certainly not
// arrived: their senders are notified and can use another VM.
func splitReroutable(queue []outboxItem) (reroutable, rest []outboxItem) {
	for _, item := range queue {
		_, isSub := item.msg.(sendSubMsg)
		_, isClaim := item.msg.(sendClaimMsg)
		if isClaim || isSub && !item.maybeArrived {
			reroutable = append(reroutable, item)
			continue
		}
		rest = append(rest, item)
	}
	return reroutable, rest
}

// newBatch encodes messages; sub-requests that may have arrived are marked as
// redelivered.
func (t *outboxTask) newBatch(to fleet.VMID, items []outboxItem, now time.Time) *peer.Batch {
	b := &peer.Batch{From: string(t.self), To: string(to)}
	for _, item := range items {
		if m, ok := item.msg.(sendSubMsg); ok && item.maybeArrived {
			m.sub.Redelivered = true
			item.msg = m
		}
		item.msg.addTo(b, now)
	}
	return b
}

// reportSubFailed reports a failed sub-request to the ingress task. Once a delivery
// may have arrived, the sub-request counts as maybe written, whatever failed last.
func (t *outboxTask) reportSubFailed(msg sendSubMsg, item outboxItem, failure sendFailure) {
	if item.maybeArrived {
		failure = maybeDelivered
	}
	if failure == maybeDelivered {
		t.requestLog.Info().Str("event", "sub_request_lost").Stringer("request_id", msg.sub.RequestID).Str("vm", string(msg.to)).
			Int("deliveries", item.deliveries).Msg("an owner did not confirm a sub-request that it may have run")
	}
	send(t.ctx, t.ingress, ingressMsg(subFailedMsg{id: msg.sub.ID, failure: failure}))
}

// reportFailed reports failed sub-requests and claims to the ingress task. Other
// messages are dropped, nobody waits for them here.
func (t *outboxTask) reportFailed(items []outboxItem, failure sendFailure) {
	for _, item := range items {
		switch msg := item.msg.(type) {
		case sendSubMsg:
			t.reportSubFailed(msg, item, failure)
		case sendClaimMsg:
			refusal := outcome.New(outcome.CodeConnectionLost, outcome.NotRun, "the holder of the request id did not answer")
			send(t.ctx, t.ingress, ingressMsg(claimedMsg{id: msg.query, refusal: refusal, unanswerable: failure == senderUnreachable}))
		}
	}
}
