package daemon

import (
	"fmt"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
	"github.com/anvilfork/anvilfork/core/scatter"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

const (
	maxRemainingTime = 2 * maxCallerTimeout // longest time to a deadline that is accepted from another VM
	maxIndexVersions = 1024                 // index versions in one reply
	maxWireCounter   = 1 << 16              // limit of the attempts and of the crashes of one sub-request
)

// BatchError reports a batch (peer.Batch) that is malformed or exceeds a limit.
type BatchError struct {
	Field string
	Value int64 // value of a numeric field, size in bytes or entries of any other
}

// Error implements error.
func (e *BatchError) Error() string {
	return fmt.Sprintf("message field %s has a size or value of %d", e.Field, e.Value)
}

// batch is a decoded peer.Batch: all messages that one VM sends another in one call.
type batch struct {
	from         fleet.VMID
	requests     []scatter.SubRequest
	cancels      []scatter.SubID
	replies      []scatter.SubReply
	claims       []claimMsg
	claimAnswers []claimedMsg
	settles      []settleMsg
}

// batchFromWire decodes a whole batch before any of its messages is delivered,
// so that a malformed batch has no effect.
func batchFromWire(self fleet.VMID, p *peer.Batch, now time.Time) (batch, error) {
	b := batch{from: fleet.VMID(p.GetFrom())}
	if b.from == "" {
		return b, &BatchError{Field: "from"}
	}
	if to := fleet.VMID(p.GetTo()); to != "" && to != self { // meant for a VM that had this address before
		return b, &BatchError{Field: "to", Value: int64(len(to))}
	}
	if err := b.decodeSubRequests(self, p, now); err != nil {
		return b, err
	}
	return b, b.decodeClaims(p)
}

// decodeSubRequests decodes sub-requests, their cancellations and their replies.
func (b *batch) decodeSubRequests(self fleet.VMID, p *peer.Batch, now time.Time) error {
	for _, sub := range p.GetRequests() {
		s, err := subRequestFromWire(b.from, sub, now)
		if err != nil {
			return err
		}
		b.requests = append(b.requests, s)
	}
	for _, seq := range p.GetCancels() {
		b.cancels = append(b.cancels, scatter.SubID{Ingress: b.from, Seq: seq})
	}
	for _, r := range p.GetReplies() {
		s, err := subReplyFromWire(self, r)
		if err != nil {
			return err
		}
		b.replies = append(b.replies, s)
	}
	return nil
}

// decodeClaims decodes claims of request IDs, the answers to claims, and the
// outcomes that settle them.
func (b *batch) decodeClaims(p *peer.Batch) error {
	for _, c := range p.GetClaims() {
		id, err := requestIDFromWire(c.GetRequestId())
		if err != nil {
			return err
		}
		b.claims = append(b.claims, claimMsg{from: b.from, query: query.ID(c.GetQuery()), request: id})
	}
	for _, a := range p.GetClaimAnswers() {
		b.claimAnswers = append(b.claimAnswers, claimedMsg{id: query.ID(a.GetQuery()), refusal: refusalFromWire(a.GetRefusal())})
	}
	for _, s := range p.GetSettles() {
		id, err := requestIDFromWire(s.GetRequestId())
		if err != nil {
			return err
		}
		b.settles = append(b.settles, settleMsg{
			from: b.from, query: query.ID(s.GetQuery()), request: id, outcome: settledOutcomeFromWire(s.GetOutcome()),
		})
	}
	return nil
}

// subRequestToWire sends the deadline as the remaining time, because the clocks
// of VMs differ.
func subRequestToWire(s *scatter.SubRequest, now time.Time) *peer.SubRequest {
	return &peer.SubRequest{
		Seq: s.ID.Seq, RequestId: s.RequestID[:], Workspace: s.Workspace,
		Service: s.Shard.Service, Group: s.Shard.Shard,
		PartitionMap: s.PartitionMap, IndexVersion: s.IndexVersion,
		RemainingUs: s.Deadline.Sub(now).Microseconds(), Idempotent: s.Idempotent, Repeat: s.Repeat, Alone: s.Isolated,
		Redelivered: s.Redelivered, Fingerprint: s.Fingerprint[:], Body: s.Body,
	}
}

func subRequestFromWire(from fleet.VMID, p *peer.SubRequest, now time.Time) (scatter.SubRequest, error) {
	s := scatter.SubRequest{
		ID:        scatter.SubID{Ingress: from, Seq: p.GetSeq()},
		Workspace: p.GetWorkspace(), Shard: fleet.ShardID{Service: p.GetService(), Shard: p.GetGroup()},
		PartitionMap: p.GetPartitionMap(), IndexVersion: p.GetIndexVersion(),
		Deadline:   now.Add(time.Duration(p.GetRemainingUs()) * time.Microsecond),
		Idempotent: p.GetIdempotent(), Repeat: p.GetRepeat(), Isolated: p.GetAlone(),
		Redelivered: p.GetRedelivered(), Body: p.GetBody(),
	}
	var err error
	if s.RequestID, err = requestIDFromWire(p.GetRequestId()); err != nil {
		return s, err
	}
	if len(p.GetFingerprint()) != len(s.Fingerprint) {
		return s, &BatchError{Field: "fingerprint", Value: int64(len(p.GetFingerprint()))}
	}
	copy(s.Fingerprint[:], p.GetFingerprint())
	if us := p.GetRemainingUs(); us > maxRemainingTime.Microseconds() || us < -maxRemainingTime.Microseconds() {
		return s, &BatchError{Field: "remaining_us", Value: us}
	}
	if len(s.Body) > maxCallerBodyBytes {
		return s, &BatchError{Field: "body", Value: int64(len(s.Body))}
	}
	return s, nil
}

func requestIDFromWire(b []byte) (fleet.RequestID, error) {
	var id fleet.RequestID
	if len(b) != len(id) {
		return id, &BatchError{Field: "request_id", Value: int64(len(b))}
	}
	copy(id[:], b)
	return id, nil
}

func subReplyToWire(r *scatter.SubReply) *peer.SubReply {
	return &peer.SubReply{
		Seq: r.ID.Seq, Service: r.Shard.Service, Group: r.Shard.Shard, Status: uint32(r.Status), Body: r.Body,
		IndexVersion: r.IndexVersion, IndexVersions: r.IndexVersions, PartitionMap: r.PartitionMap,
		Refusal: refusalToWire(r.Refusal), Attempts: uint32(r.Attempts), Crashes: uint32(r.Crashes), Repeat: r.Repeat,
	}
}

// subReplyFromWire adds a refusal with an unknown outcome to a refused reply that has none.
func subReplyFromWire(self fleet.VMID, p *peer.SubReply) (scatter.SubReply, error) {
	r := scatter.SubReply{
		ID: scatter.SubID{Ingress: self, Seq: p.GetSeq()}, Shard: fleet.ShardID{Service: p.GetService(), Shard: p.GetGroup()},
		Status: scatter.Status(p.GetStatus()), Body: p.GetBody(),
		IndexVersion: p.GetIndexVersion(), IndexVersions: p.GetIndexVersions(), PartitionMap: p.GetPartitionMap(),
		Refusal: refusalFromWire(p.GetRefusal()), Attempts: int(p.GetAttempts()), Crashes: int(p.GetCrashes()), Repeat: p.GetRepeat(),
	}
	switch {
	case p.GetStatus() < uint32(scatter.Answered) || p.GetStatus() > uint32(scatter.Refused):
		return r, &BatchError{Field: "status", Value: int64(p.GetStatus())}
	case len(p.GetIndexVersions()) > maxIndexVersions:
		return r, &BatchError{Field: "index_versions", Value: int64(len(p.GetIndexVersions()))}
	case p.GetAttempts() > maxWireCounter:
		return r, &BatchError{Field: "attempts", Value: int64(p.GetAttempts())}
	case p.GetCrashes() > maxWireCounter:
		return r, &BatchError{Field: "crashes", Value: int64(p.GetCrashes())}
	}
	if r.Status == scatter.Refused && r.Refusal == nil {
		r.Refusal = outcome.New(outcome.CodeConnectionLost, outcome.Unknown, "the home VM gave no reason")
	}
	return r, nil
}

func refusalToWire(r *outcome.Refusal) *peer.Refusal {
	if r == nil {
		return nil
	}
	return &peer.Refusal{Code: string(r.Code), Outcome: string(r.Outcome), Reason: r.Reason, RetryAfterMs: r.RetryAfter.Milliseconds()}
}

// refusalFromWire replaces an undefined outcome by Unknown, which says nothing
// about whether the request ran.
func refusalFromWire(p *peer.Refusal) *outcome.Refusal {
	if p == nil {
		return nil
	}
	r := &outcome.Refusal{
		Code: outcome.Code(p.GetCode()), Outcome: outcome.Outcome(p.GetOutcome()), Reason: p.GetReason(),
		RetryAfter: min(max(time.Duration(p.GetRetryAfterMs()), 0), maxRemainingTime/time.Millisecond) * time.Millisecond,
	}
	if !r.Outcome.Valid() {
		r.Outcome = outcome.Unknown
	}
	return r
}

// settledOutcomeFromWire keeps the empty outcome, which means that the request
// was answered, and replaces an undefined one by Unknown.
func settledOutcomeFromWire(text string) outcome.Outcome {
	o := outcome.Outcome(text)
	if o != "" && !o.Valid() {
		return outcome.Unknown
	}
	return o
}
