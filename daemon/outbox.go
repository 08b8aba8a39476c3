package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/breaker"
	"github.com/anvilfork/anvilfork/core/fleet"
)

const (
	peersInboxSize   = 8192    // messages to all other VMs; a sender that finds no room is told so
	maxWaiting       = 16384   // messages that wait for one VM; more are dropped as not written
	maxBatch         = 256     // messages in one Deliver call
	maxBatchBytes    = 3 << 20 // a batch is closed above this; with one answer more it stays under maxPeerBody
	maxCallsInFlight = 4       // Deliver calls to one VM at a time; messages that come meanwhile share the next
	maxDeliveries    = 4       // of a message that does no harm when it arrives twice: with the pauses of the breaker, until its VM counts as gone
	deliverTimeout   = 250 * time.Millisecond
	redeliverFor     = 2 * time.Second // after the first delivery; a VM that is silent for so long counts as gone
)

// reachMsg asks whether a VM can be reached by calls.
type reachMsg struct {
	vm    fleet.VMID
	reply chan<- bool
}

// outboxTask owns the data connections to the other VMs. Messages for one VM
// that come while calls to it are under way share the next call.
type outboxTask struct {
	ctx          context.Context
	self         fleet.VMID
	log          zerolog.Logger
	requests     zerolog.Logger // lines about single requests
	newTransport func() *http.Transport
	view         *fleet.View
	links        map[fleet.VMID]*peerLink
	held         heldAnswers
	former       formerVMs
	done         chan delivered
	entry        chan<- entryMsg
	inbox        chan peerMsg
	asks         chan reachMsg
	views        chan *fleet.View
}

// peerLink is the connections and the queue to one VM. Each VM has a transport
// of its own, so that its idle connections can be dropped alone.
type peerLink struct {
	vm        fleet.VM
	transport *http.Transport
	client    *http.Client
	waiting   []outItem
	calls     int
	runsOnce  bool // the VM runs a non-idempotent sub-request once, however often it arrives
	breaker   breaker.Breaker
}

func newOutboxTask(ctx context.Context, self fleet.VMID, newTransport func() *http.Transport, log zerolog.Logger) *outboxTask {
	return &outboxTask{
		ctx: ctx, self: self, log: log, requests: limitRequestLines(log), newTransport: newTransport,
		links: make(map[fleet.VMID]*peerLink), former: make(formerVMs),
		done:  make(chan delivered, peersInboxSize),
		inbox: make(chan peerMsg, peersInboxSize),
		asks:  make(chan reachMsg),
		views: make(chan *fleet.View, 1),
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
		case d := <-t.done:
			t.ended(d)
		case msg := <-t.inbox:
			t.enqueue(msg)
		case ask := <-t.asks:
			// Work is taken again when a call is due: without any, its answer
			// would never be the call that finds the VM reachable.
			l, ok := t.links[ask.vm]
			ask.reply <- !ok || l.breaker.Due(time.Now())
		}
	}
}

// setView drops the links to VMs that left, though answers to them are still sent
// for a while, and sends what waited for new ones.
func (t *outboxTask) setView(v *fleet.View) {
	t.former.update(time.Now(), t.view, v)
	t.view = v
	for id, l := range t.links {
		if _, ok := v.VM(id); ok {
			t.flush(l) // what waits while the breaker is open
			continue
		}
		answers, work := splitAnswers(l.waiting)
		t.fail(work, notDelivered)
		l.waiting = answers
		if _, ok := t.former[id]; ok {
			t.flush(l)
			continue
		}
		l.waiting = nil
		l.transport.CloseIdleConnections()
		delete(t.links, id)
	}
	for _, item := range t.held.take(time.Now()) {
		l := t.link(item.msg)
		if l == nil {
			t.held.put(item)
			continue
		}
		l.waiting = append(l.waiting, outItem{msg: item.msg})
		t.flush(l)
	}
}

// ended starts the next call. The breaker comes first: what the entry task sends
// when it hears of a failure must find it counted.
func (t *outboxTask) ended(d delivered) {
	l := d.link
	l.calls--
	t.judge(d)
	again := t.failed(d)
	if t.links[l.vm.ID] != l {
		t.fail(again, maybeDelivered)
		l.transport.CloseIdleConnections()
		return
	}
	l.waiting = append(again, l.waiting...)
	t.flush(l)
}

// judge takes the end of a call into the breaker.
func (t *outboxTask) judge(d delivered) {
	l := d.link
	wasOpen := l.breaker.Open()
	if d.err != nil && classifySendError(d.err) != senderUnreachable {
		l.breaker.Failed(d.began, time.Now())
	} else { // a VM that refuses work for want of a way back can be reached
		l.breaker.Succeeded()
		l.runsOnce = l.runsOnce || d.ack.GetRunsOnce()
	}
	switch isOpen := l.breaker.Open(); {
	case isOpen && !wasOpen:
		t.log.Warn().Str("event", "vm_unreachable").Str("vm", string(l.vm.ID)).Err(d.err).
			Int("waiting", len(l.waiting)).Msg("calls to a VM fail, it gets no work")
	case wasOpen && !isOpen:
		t.log.Info().Str("event", "vm_reachable").Str("vm", string(l.vm.ID)).Msg("a VM answers calls again")
	}
}

// enqueue takes msg and all others that wait in the inbox before it sends, so
// that a fan-out makes one call to each VM.
func (t *outboxTask) enqueue(msg peerMsg) {
	touched := map[*peerLink]bool{}
	for {
		if l := t.put(msg); l != nil {
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

func (t *outboxTask) put(msg peerMsg) *peerLink {
	l := t.link(msg)
	if l == nil && t.held.keep(time.Now(), msg) {
		return nil
	}
	if l == nil || len(l.waiting) >= maxWaiting {
		t.fail([]outItem{{msg: msg}}, notDelivered)
		return nil
	}
	l.waiting = append(l.waiting, outItem{msg: msg})
	return l
}

// link returns the link for a message, nil when the view does not have the VM
// and the message is no answer to one that had it lately.
func (t *outboxTask) link(msg peerMsg) *peerLink {
	if t.view == nil {
		return nil
	}
	id := msg.dest()
	vm, ok := t.view.VM(id)
	if !ok && isAnswer(msg) {
		vm, ok = t.former.vm(id)
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

// flush starts the calls that may be made. While the breaker is open, the work
// that another VM can do fails at once, and the rest waits for the next call.
func (t *outboxTask) flush(l *peerLink) {
	if len(l.waiting) == 0 {
		return
	}
	now := time.Now()
	if !l.breaker.Allow(now) {
		var movable []outItem
		movable, l.waiting = splitMovable(l.waiting)
		t.fail(movable, notDelivered)
		return
	}
	for len(l.waiting) > 0 && l.calls < maxCallsInFlight {
		n := batchLength(l.waiting)
		batch, late := splitLate(l.waiting[:n], now)
		l.waiting = l.waiting[n:]
		t.fail(late, notDelivered)
		if len(batch) > 0 {
			l.calls++
			go t.deliver(l, batch, now)
		}
	}
}

// batchLength is the number of messages that fit into the next call.
func batchLength(waiting []outItem) int {
	bytes := 0
	for i, item := range waiting {
		bytes += size(item.msg)
		if i+1 == maxBatch || bytes > maxBatchBytes {
			return i + 1
		}
	}
	return len(waiting)
}
