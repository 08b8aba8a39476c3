package daemon

import (
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
	"github.com/anvilfork/anvilfork/core/scatter"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

// baseMessageBytes approximates the encoded size of a message without its body.
const baseMessageBytes = 256

// peerMsg is a message for another VM: dest is its receiver, addTo appends it to the
// batch of a Deliver call.
type peerMsg interface {
	dest() fleet.VMID
	addTo(b *peer.Batch, now time.Time)
}

// sendSubMsg sends a sub-request to an owner.
type sendSubMsg struct {
	to  fleet.VMID
	sub scatter.SubRequest
}

// cancelSubMsg cancels a sub-request at an owner.
type cancelSubMsg struct {
	to fleet.VMID
	id scatter.SubID
}

// sendReplyMsg answers a sub-request of an ingress.
type sendReplyMsg struct {
	to    fleet.VMID
	reply scatter.SubReply
}

// sendClaimMsg asks the holder of a request-id range for a claim.
type sendClaimMsg struct {
	to      fleet.VMID
	query   query.ID
	request fleet.RequestID
}

// sendClaimAnswerMsg answers a claim; a nil refusal grants it.
type sendClaimAnswerMsg struct {
	to      fleet.VMID
	query   query.ID
	refusal *outcome.Refusal
}

// sendSettleMsg reports to the holder of the request-id range how a claimed request
// ended.
type sendSettleMsg struct {
	to      fleet.VMID
	query   query.ID
	request fleet.RequestID
	outcome outcome.Outcome
}

func (m sendSubMsg) dest() fleet.VMID         { return m.to }
func (m cancelSubMsg) dest() fleet.VMID       { return m.to }
func (m sendReplyMsg) dest() fleet.VMID       { return m.to }
func (m sendClaimMsg) dest() fleet.VMID       { return m.to }
func (m sendClaimAnswerMsg) dest() fleet.VMID { return m.to }
func (m sendSettleMsg) dest() fleet.VMID      { return m.to }

func (m sendSubMsg) addTo(b *peer.Batch, now time.Time) {
	b.Requests = append(b.Requests, subRequestToWire(&m.sub, now))
}

func (m cancelSubMsg) addTo(b *peer.Batch, _ time.Time) {
	b.Cancels = append(b.Cancels, m.id.Seq)
}

func (m sendReplyMsg) addTo(b *peer.Batch, _ time.Time) {
	b.Replies = append(b.Replies, subReplyToWire(&m.reply))
}

func (m sendClaimMsg) addTo(b *peer.Batch, _ time.Time) {
	b.Claims = append(b.Claims, &peer.Claim{Query: uint64(m.query), RequestId: m.request[:]})
}

func (m sendClaimAnswerMsg) addTo(b *peer.Batch, _ time.Time) {
	b.ClaimAnswers = append(b.ClaimAnswers, &peer.ClaimAnswer{Query: uint64(m.query), Refusal: refusalToWire(m.refusal)})
}

func (m sendSettleMsg) addTo(b *peer.Batch, _ time.Time) {
	b.Settles = append(b.Settles, &peer.Settle{Query: uint64(m.query), RequestId: m.request[:], Outcome: string(m.outcome)})
}

// wireSize approximates the encoded size of a message in bytes.
func wireSize(msg peerMsg) int {
	switch m := msg.(type) {
	case sendSubMsg:
		return baseMessageBytes + len(m.sub.Body)
	case sendReplyMsg:
		return baseMessageBytes + len(m.reply.Body)
	}
	return baseMessageBytes
}
