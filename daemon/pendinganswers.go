package daemon

import "time"

const (
	pendingAnswerTTL      = 2 * time.Second // four heartbeat intervals: by then all VMs know a new one
	maxPendingAnswerBytes = 16 << 20        // sum of wireSize; further answers are dropped
)

// pendingAnswers buffers answers to VMs that this VM's view does not have yet. A new
// VM serves, and sends work to owners and to holders of request ids, up to a
// heartbeat interval before all of them know its address. If the answer were
// dropped, a non-idempotent query would end with an unknown outcome.
type pendingAnswers struct {
	items []pendingAnswer // oldest first
	bytes int
}

type pendingAnswer struct {
	msg     peerMsg
	addedAt time.Time
}

// add buffers an answer. It reports false when there is no room, and for any other
// message, which its sender can send to another VM at once.
func (p *pendingAnswers) add(now time.Time, msg peerMsg) bool {
	if !isAnswer(msg) || p.bytes+wireSize(msg) > maxPendingAnswerBytes {
		return false
	}
	p.items = append(p.items, pendingAnswer{msg: msg, addedAt: now})
	p.bytes += wireSize(msg)
	return true
}

// drain removes all answers and returns those that have not expired.
func (p *pendingAnswers) drain(now time.Time) []pendingAnswer {
	items := p.items
	*p = pendingAnswers{}
	for len(items) > 0 && now.Sub(items[0].addedAt) > pendingAnswerTTL {
		items = items[1:]
	}
	return items
}

// restore puts back an answer that drain returned; its age still counts.
func (p *pendingAnswers) restore(item pendingAnswer) {
	p.items = append(p.items, item)
	p.bytes += wireSize(item.msg)
}
