package daemon

import (
	"context"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/once"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
)

const ledgerInboxSize = 4096 // messages; a claim of this VM that finds no room is refused

// ledgerMsg is a message to the ledger task.
type ledgerMsg interface{ ledgerMsg() }

// claimMsg asks for a claim of a request id; from is empty when this VM's ingress
// task asks.
type claimMsg struct {
	from    fleet.VMID
	query   query.ID
	request fleet.RequestID
}

// settleMsg reports how a claimed request ended; from is empty when this VM's
// ingress task reports it.
type settleMsg struct {
	from    fleet.VMID
	query   query.ID
	request fleet.RequestID
	outcome outcome.Outcome
}

func (claimMsg) ledgerMsg()  {}
func (settleMsg) ledgerMsg() {}

// ledgerTask owns the claims in the request-id ranges that this VM holds. They keep
// a non-idempotent request from running twice.
type ledgerTask struct {
	ctx     context.Context
	control chan<- controlMsg
	ledger  *once.Ledger
	ingress chan<- ingressMsg
	peers   chan<- peerMsg
	inbox   chan ledgerMsg
	views   chan *fleet.View
}

func newLedgerTask(ctx context.Context) *ledgerTask {
	return &ledgerTask{
		ctx: ctx, ledger: once.NewLedger(),
		inbox: make(chan ledgerMsg, ledgerInboxSize), views: make(chan *fleet.View, 1),
	}
}

func (t *ledgerTask) run()            { loop(t.ctx, t.inbox, t.views, t) }
func (t *ledgerTask) next() time.Time { return time.Time{} }
func (t *ledgerTask) tick(time.Time)  {}

func (t *ledgerTask) setView(_ time.Time, v *fleet.View) {
	t.ledger.SetRanges(v.RangeShares)
	reportApplied(t.control, ledgerSubscriber, v)
}

func (t *ledgerTask) handle(now time.Time, msg ledgerMsg) {
	switch msg := msg.(type) {
	case claimMsg:
		refusal := t.ledger.Claim(now, once.Claimer{VM: msg.from, Query: uint64(msg.query)}, msg.request)
		if msg.from == "" {
			send(t.ctx, t.ingress, ingressMsg(claimedMsg{id: msg.query, refusal: refusal}))
			return
		}
		trySend(t.peers, peerMsg(sendClaimAnswerMsg{to: msg.from, query: msg.query, refusal: refusal}))
	case settleMsg:
		t.ledger.Settle(once.Claimer{VM: msg.from, Query: uint64(msg.query)}, msg.request, msg.outcome)
	}
}
