package daemon

import (
	"context"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/once"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
)

const onceInboxSize = 4096 // messages; a claim that finds no room is refused as overloaded

// onceMsg is a message to the once task.
type onceMsg interface{ onceMsg() }

// claimMsg asks for a claim; from is empty when this VM's entry task asks.
type claimMsg struct {
	from    fleet.VMID
	query   query.ID
	request fleet.RequestID
}

// settleMsg records how a claimed request ended; from is empty when this VM's
// entry task reports it.
type settleMsg struct {
	from    fleet.VMID
	query   query.ID
	request fleet.RequestID
	outcome outcome.Outcome
}

func (claimMsg) onceMsg()  {}
func (settleMsg) onceMsg() {}

// onceTask owns the claims of the request-id ranges that this VM holds.
type onceTask struct {
	ctx     context.Context
	control chan<- controlMsg
	ledger  *once.Ledger
	entry   chan<- entryMsg
	peers   chan<- peerMsg
	inbox   chan onceMsg
	views   chan *fleet.View
}

func newOnceTask(ctx context.Context) *onceTask {
	return &onceTask{
		ctx: ctx, ledger: once.NewLedger(),
		inbox: make(chan onceMsg, onceInboxSize), views: make(chan *fleet.View, 1),
	}
}

func (t *onceTask) run()            { loop(t.ctx, t.inbox, t.views, t) }
func (t *onceTask) next() time.Time { return time.Time{} }
func (t *onceTask) tick(time.Time)  {}

func (t *onceTask) setView(_ time.Time, v *fleet.View) {
	t.ledger.SetRanges(v.RangeShares)
	tellApplied(t.control, onceViewer, v)
}

func (t *onceTask) handle(now time.Time, msg onceMsg) {
	switch msg := msg.(type) {
	case claimMsg:
		refusal := t.ledger.Claim(now, once.Claimer{VM: msg.from, Query: uint64(msg.query)}, msg.request)
		if msg.from == "" {
			send(t.ctx, t.entry, entryMsg(claimedMsg{id: msg.query, refusal: refusal}))
			return
		}
		trySend(t.peers, peerMsg(sendClaimAnswerMsg{to: msg.from, query: msg.query, refusal: refusal}))
	case settleMsg:
		t.ledger.Settle(once.Claimer{VM: msg.from, Query: uint64(msg.query)}, msg.request, msg.outcome)
	}
}
