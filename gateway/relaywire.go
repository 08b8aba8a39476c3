package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilfork/anvilfork/core/serve"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

// encodeWork encodes the part of a query that another VM runs. The payload is that
// of its request, packed.
func encodeWork(w *serve.RelayedWork, payload []byte) *peer.RelayRequest {
	return &peer.RelayRequest{
		Route: w.Route, Shards: w.Shards, TopK: uint32(w.TopK), Request: w.Request.CallerRequestID, Fingerprint: w.Request.Fingerprint,
		Payload: payload, Workspace: w.Workspace, Priority: int32(w.Priority),
		TimeLeftUs: w.TimeLeft.Microseconds(), ReplyInUs: w.ReplyTimeout.Microseconds(),
	}
}

// decodeWork decodes the part of a query that this VM runs for another one. It fails
// if the payload can't be unpacked.
func decodeWork(r *peer.RelayRequest, codec CallerCodec) (*serve.RelayedWork, error) {
	payload, err := codec.Unpack(r.GetPayload())
	if err != nil {
		return nil, err
	}
	return &serve.RelayedWork{
		Route: r.GetRoute(), Shards: r.GetShards(), TopK: int(r.GetTopK()),
		Request:   &serve.Request{CallerRequestID: r.GetRequest(), Fingerprint: r.GetFingerprint(), Payload: payload},
		Workspace: r.GetWorkspace(), Priority: int(r.GetPriority()),
		TimeLeft: time.Duration(r.GetTimeLeftUs()) * time.Microsecond, ReplyTimeout: time.Duration(r.GetReplyInUs()) * time.Microsecond,
	}, nil
}

// encodeRelayReply encodes a reply. The id is that of the run on this VM.
func encodeRelayReply(id serve.RequestID, r *serve.RelayReply) *peer.RelayReply {
	m := &peer.RelayReply{Id: uint64(id), Body: r.Body, Rest: r.More, Leaving: r.Leaving}
	for _, p := range r.Answers {
		m.Parts = append(m.Parts, &peer.RelayedPart{Shard: uint32(p.Shard), Seal: p.Signature, Attempts: uint32(p.Attempts)})
	}
	for _, f := range r.Failed {
		m.Failed = append(m.Failed, &peer.RelayedFailure{Shard: uint32(f.Shard), Attempts: uint32(f.Attempts), Ran: uint32(f.PossibleRuns)})
	}
	return m
}

// decodeRelayReply decodes a reply to work on the given number of shards. It fails
// if the reply names a shard outside that work.
func decodeRelayReply(m *peer.RelayReply, shards int) (*serve.RelayReply, error) {
	r := &serve.RelayReply{Body: m.GetBody(), More: m.GetRest(), Leaving: m.GetLeaving()}
	for _, p := range m.GetParts() {
		if int(p.GetShard()) >= shards {
			return nil, errors.Newf("the reply names shard %d of %d", p.GetShard(), shards)
		}
		r.Answers = append(r.Answers, serve.RelayedAnswer{Shard: int(p.GetShard()), Signature: p.GetSeal(), Attempts: int(p.GetAttempts())})
	}
	for _, f := range m.GetFailed() {
		if int(f.GetShard()) >= shards {
			return nil, errors.Newf("the reply names shard %d of %d", f.GetShard(), shards)
		}
		r.Failed = append(r.Failed, serve.RelayedFailure{Shard: int(f.GetShard()), Attempts: int(f.GetAttempts()), PossibleRuns: int(f.GetRan())})
	}
	return r, nil
}
