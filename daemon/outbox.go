package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/breaker"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/internal/http1"
)

const (
	outboxInboxSize   = 8192    // messages to all other VMs; senders do not wait when it is full
	maxQueuedMessages = 16384   // messages that wait for one VM; more fail as not written
	maxBatch          = 256     // messages in one Deliver call
	maxBatchBytes     = 3 << 20 // a batch is closed above this; the message that exceeds it still fits into maxPeerBodyBytes
	maxCallsInFlight  = 4       // Deliver calls to one VM at a time; later messages are batched into the next call
	maxDeliveries     = 4       // of one message, if it may arrive twice; the breaker's backoff spreads them until an unresponsive VM leaves the view
	deliverTimeout    = 250 * time.Millisecond
	redeliveryWindow  = 2 * time.Second // after the first delivery; a VM that is unresponsive for as long leaves the view
)

// reachableMsg asks whether calls to a VM succeed or the next one is due.
type reachableMsg struct {
	vm    fleet.VMID
	reply chan<- bool
}

// outboxTask owns the connections for queries to the other VMs. Messages for one VM
// that arrive while calls to it are in flight are batched into the next call.
type outboxTask struct {
	ctx            context.Context
	self           fleet.VMID
	log            zerolog.Logger
	requestLog     zerolog.Logger // rate-limited, for lines about single requests
	newTransport   func() *http1.Transport
	view           *fleet.View
	links          map[fleet.VMID]*peerLink
	pendingAnswers pendingAnswers
	formerVMs      formerVMs
	results        chan deliveryResult
	ingress        chan<- ingressMsg
	inbox          chan peerMsg
	reachable      chan reachableMsg
	views          chan *fleet.View
}

// peerLink holds the connections to one VM and the queue of messages for it. Each VM
// has its own transport, so that its idle connections can be closed separately.
type peerLink struct {
	vm            fleet.VM
	transport     *http1.Transport
	client        *http.Client
	queue         []outboxItem
	callsInFlight int
	runsOnce      bool // the VM runs a non-idempotent sub-request once, however often it arrives
	breaker       breaker.Breaker
}

func newOutboxTask(ctx context.Context, self fleet.VMID, newTransport func() *http1.Transport, log zerolog.Logger) *outboxTask {
	return &outboxTask{
		ctx: ctx, self: self, log: log, requestLog: limitRequestLines(log), newTransport: newTransport,
		links: make(map[fleet.VMID]*peerLink), formerVMs: make(formerVMs),
		results:   make(chan deliveryResult, outboxInboxSize),
		inbox:     make(chan peerMsg, outboxInboxSize),
		reachable: make(chan reachableMsg),
		views:     make(chan *fleet.View, 1),
	}
}

func (t *outboxTask) run() {
	for {
		select {
		case <-t.ctx.Done():
			for _, l := range t.links {
				l.transport.CloseIdleConnections()
			}
			return
		case v := <-t.views:
			t.setView(v)
		case d := <-t.results:
			t.handleResult(d)
		case msg := <-t.inbox:
			t.enqueue(msg)
		case question := <-t.reachable:
			// Once a call is due, work from the VM is accepted again: the call
			// with its answer finds out whether the VM is reachable.
			l, ok := t.links[question.vm]
			question.reply <- !ok || l.breaker.Due(time.Now())
		}
	}
}

// setView removes the links to VMs that left the view, but keeps those to former VMs
// for answers, and sends the answers that waited for VMs which are new in the view.
func (t *outboxTask) setView(v *fleet.View) {
	t.formerVMs.update(time.Now(), t.view, v)
	t.view = v
	for id, l := range t.links {
		if _, ok := v.VM(id); ok {
			t.flush(l) // the queue may have waited for the breaker
			continue
		}
		answers, work := splitAnswers(l.queue)
		t.reportFailed(work, notDelivered)
		l.queue = answers
		if _, ok := t.formerVMs[id]; ok {
			t.flush(l)
			continue
		}
		l.queue = nil
		l.transport.CloseIdleConnections()
		delete(t.links, id)
	}
	for _, item := range t.pendingAnswers.drain(time.Now()) {
		l := t.linkTo(item.msg)
		if l == nil {
			t.pendingAnswers.restore(item)
			continue
		}
		l.queue = append(l.queue, outboxItem{msg: item.msg})
		t.flush(l)
	}
}

// handleResult starts the next call after one ended. The breaker is updated first:
// what the ingress task sends on a reported failure must find the failure counted.
func (t *outboxTask) handleResult(d deliveryResult) {
	l := d.link
	l.callsInFlight--
	t.updateBreaker(d)
	redeliver := t.handleFailure(d)
	if t.links[l.vm.ID] != l {
		t.reportFailed(redeliver, maybeDelivered)
		l.transport.CloseIdleConnections()
		return
	}
	l.queue = append(redeliver, l.queue...)
	t.flush(l)
}

// updateBreaker counts the result of a call in the breaker and logs when it opens or
// closes.
func (t *outboxTask) updateBreaker(d deliveryResult) {
	l := d.link
	wasOpen := l.breaker.Open()
	if d.err != nil && classifySendError(d.err) != senderUnreachable {
		l.breaker.Failed(d.began, time.Now())
	} else { // a VM that refuses work because it cannot send answers back is reachable itself
		l.breaker.Succeeded()
		l.runsOnce = l.runsOnce || d.ack.GetRunsOnce()
	}
	switch isOpen := l.breaker.Open(); {
	case isOpen && !wasOpen:
		t.log.Warn().Str("event", "vm_unreachable").Str("vm", string(l.vm.ID)).Err(d.err).
			Int("waiting", len(l.queue)).Msg("calls to a VM fail, no work is sent to it")
	case wasOpen && !isOpen:
		t.log.Info().Str("event", "vm_reachable").Str("vm", string(l.vm.ID)).Msg("a VM answers calls again")
	}
}

// enqueue queues msg and all others that wait in the inbox before it starts calls,
// so that a fan-out makes one call to each VM.
func (t *outboxTask) enqueue(msg peerMsg) {
	touched := map[*peerLink]bool{}
	for {
		if l := t.enqueueOne(msg); l != nil {
			touched[l] = true
		}
		select {
		case msg = <-t.inbox:
			continue
		default:
		}
		break
	}
	for l := range touched {
		t.flush(l)
	}
}

// enqueueOne returns the link whose queue took msg, nil when msg failed or is kept
// for a VM that the view does not have yet.
func (t *outboxTask) enqueueOne(msg peerMsg) *peerLink {
	l := t.linkTo(msg)
	if l == nil && t.pendingAnswers.add(time.Now(), msg) {
		return nil
	}
	if l == nil || len(l.queue) >= maxQueuedMessages {
		t.reportFailed([]outboxItem{{msg: msg}}, notDelivered)
		return nil
	}
	l.queue = append(l.queue, outboxItem{msg: msg})
	return l
}

// linkTo returns the link for a message and creates it if needed. It returns nil
// when the VM is not in the view, unless msg is an answer to a former VM.
func (t *outboxTask) linkTo(msg peerMsg) *peerLink {
	if t.view == nil {
		return nil
	}
	id := msg.dest()
	vm, ok := t.view.VM(id)
	if !ok && isAnswer(msg) {
		vm, ok = t.formerVMs.vm(id)
	}
	if !ok {
		return nil
	}
	if l, ok := t.links[id]; ok {
		return l
	}
	transport := t.newTransport()
	l := &peerLink{vm: vm, transport: transport, client: &http.Client{Timeout: deliverTimeout, Transport: transport}}
	t.links[id] = l
	return l
}

// flush starts as many calls as are allowed. While the breaker is open, work that
// another VM can do fails at once, and the rest waits for the next call.
func (t *outboxTask) flush(l *peerLink) {
	if len(l.queue) == 0 {
		return
	}
	now := time.Now()
	if !l.breaker.Allow(now) {
		var reroutable []outboxItem
		reroutable, l.queue = splitReroutable(l.queue)
		t.reportFailed(reroutable, notDelivered)
		return
	}
	for len(l.queue) > 0 && l.callsInFlight < maxCallsInFlight {
		n := batchLength(l.queue)
		batch, expired := splitExpired(l.queue[:n], now)
		l.queue = l.queue[n:]
		t.reportFailed(expired, notDelivered)
		if len(batch) > 0 {
			l.callsInFlight++
			go t.deliver(l, batch, now)
		}
	}
}

// batchLength returns the number of messages of the queue that fit into one call.
func batchLength(queue []outboxItem) int {
	bytes := 0
	for i, item := range queue {
		bytes += wireSize(item.msg)
		if i+1 == maxBatch || bytes > maxBatchBytes {
			return i + 1
		}
	}
	return len(queue)
}
