package daemon

import (
	"bytes"
	"compress/gzip"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/grant"
	"github.com/anvilfork/anvilfork/core/lease"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

func sampleStatus() control.Status {
	from := fleet.VM{ID: "vm1-0a", Zone: "a", PeerURL: "http://10.0.0.1:7001", CallerURL: "http://10.0.0.1:7000", State: fleet.Live}
	hub := from
	hub.ID, hub.PeerURL = "vm0-0b", "http://10.0.0.2:7001"
	s := control.Status{From: from, Revision: 7, Serving: true, PoisonChecksum: 9, Claim: control.CoordinatorClaim{VM: hub, Fraction: lease.Half, Age: 20 * time.Millisecond}}
	s.Digest[3] = 5
	s.Blocked = []control.PoisonBlock{{Fingerprint: fleet.Fingerprint{1}, Remaining: time.Minute}}
	return s
}

var (
	sampleShard  = fleet.ShardID{Service: "stock", Shard: "g01"}
	sampleShares = []grant.ShardShare{{Shard: sampleShard, OwnerIndex: 1, OwnerCount: 2, Halved: true}}
	sampleRates  = []grant.RatePart{{Workspace: "league", Parts: 1000}}
)

func sampleHeartbeat() control.Heartbeat {
	return control.Heartbeat{
		Status: sampleStatus(), Seq: 3, ToHub: true, TableChecksum: 77, HasNoHistory: true,
		Ballot: lease.Ballot{Candidate: "vm0-0b", Stamp: 12, Promised: true},
		Report: &grant.Report{
			Seq: 4, Base: 2, Full: true, ShardShares: sampleShares, Rates: sampleRates, Ranges: 1 << 63, DirectoryDigest: 8,
			Demand: []grant.Demand{{Workspace: "league", RatePerSecond: 12.5}},
		},
	}
}

func sampleReply() control.HeartbeatReply {
	s := sampleStatus()
	return control.HeartbeatReply{
		Status: s, Stamp: 5, ColdStart: true,
		TableChange: &fleet.TableChange{BaseChecksum: 1, Checksum: 2, Changed: []fleet.VM{s.From}, Removed: []fleet.VMID{"vm9-01"}},
		Grants: &grant.Grants{
			Seq: 4, Base: 2, Renew: true, Resync: true, ShardShares: sampleShares, DropShards: []fleet.ShardID{sampleShard},
			Rates: sampleRates, Ranges: 6,
			Directory: &grant.DirectoryUpdate{
				Full: true, Owners: []grant.OwnerEntry{{OwnerKey: grant.OwnerKey{Shard: sampleShard, Index: 1}, VM: "vm1-0a"}},
				Ranges: []grant.RangeEntry{{Range: 63, VM: "vm1-0a"}},
			},
		},
	}
}

// Guards against a field of a control message that is lost between two VMs.
func TestControlMessagesRoundTrip(t *testing.T) {
	h := sampleHeartbeat()
	gotH, err := heartbeatFromWire(encodeAndDecode(t, heartbeatToWire(&h), &peer.HeartbeatRequest{}))
	assert.NilError(t, err)
	assert.DeepEqual(t, gotH, h)
	r := sampleReply()
	gotR, err := replyFromWire(encodeAndDecode(t, replyToWire(&r), &peer.HeartbeatReply{}))
	assert.NilError(t, err)
	assert.DeepEqual(t, gotR, r)
}

func encodeAndDecode[M proto.Message](t *testing.T, from, to M) M {
	t.Helper()
	b, err := proto.Marshal(from)
	assert.NilError(t, err)
	assert.NilError(t, proto.Unmarshal(b, to))
	return to
}

// Guards against malformed or oversized messages that are accepted in part.
func TestFaultMalformedControlMessages(t *testing.T) {
	for name, corrupt := range map[string]func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply){
		"NoSender": func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply) { h.Status.From, r.Status.From = nil, nil },
		"NoStatus": func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply) { h.Status, r.Status = nil, nil },
		"Digest": func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply) {
			h.Status.Digest, r.Status.Digest = []byte{1}, nil
		},
		"State": func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply) {
			h.Status.From.State, r.Status.From.State = "x", ""
		},
		"LongID": func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply) {
			makeTooLong(&h.Status.From.Id)
			makeTooLong(&r.Status.From.Id)
		},
		"LongURL": func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply) {
			makeTooLong(&h.Status.From.Peer)
			makeTooLong(&r.Status.From.Caller)
		},
		"Fraction": func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply) {
			h.Status.Coordinator.Fraction, r.Status.Coordinator.Fraction = 3, 9
		},
		"Print": func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply) {
			h.Status.Blocked[0].Fingerprint, r.Status.Blocked[0].Fingerprint = nil, make([]byte, 33)
		},
		"ManyBlocks": func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply) {
			growTo(&h.Status.Blocked, 65)
			growTo(&r.Status.Blocked, 65)
		},
		"Stamp": func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply) { h.Stamp, r.Stamp = -1, -1 },
		"Home": func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply) {
			h.Report.Homes[0].Home, r.Grants.Homes[0].Of = 2, 3
		},
		"Parts": func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply) {
			h.Report.Rates[0].Parts, r.Grants.Rates[0].Parts = grant.WholeParts+1, 1<<31
		},
		"Group": func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply) {
			h.Report.Homes[0].Group, r.Grants.DropHomes[0] = nil, nil
		},
		"Other": func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply) {
			h.Report.Demand[0].RatePerSecond, r.Grants.Directory.Ranges[0].Range = -1, 64
		},
		"Table": func(h *peer.HeartbeatRequest, r *peer.HeartbeatReply) {
			h.Seq = 0
			growTo(&r.Table.Changed, maxTableVMs+1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, r := sampleHeartbeat(), sampleReply()
			wireH, wireR := heartbeatToWire(&h), replyToWire(&r)
			corrupt(wireH, wireR)
			_, err := heartbeatFromWire(wireH)
			assert.ErrorType(t, err, &ControlMessageError{})
			_, err = replyFromWire(wireR)
			assert.ErrorType(t, err, &ControlMessageError{})
		})
	}
}

func makeTooLong(s *string) { *s = string(bytes.Repeat([]byte("x"), maxStringBytes+1)) }

func growTo[T any](list *[]T, n int) {
	for len(*list) < n {
		*list = append(*list, (*list)[0])
	}
}

// Guards against a document whose decompressed size is unbounded, and against a
// damaged document that is accepted.
func TestFaultBadTextFromPeer(t *testing.T) {
	document := []byte("revision = 1\n")
	got, err := documentFromWire(documentToWire(document))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, document)
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	w.Write(make([]byte, 50<<20))
	w.Close()
	for name, p := range map[string]*peer.ConfigTextReply{
		"Empty": {}, "NoGzip": {Text: document, Gzipped: true}, "Bomb": {Text: bomb.Bytes(), Gzipped: true},
		"Cut": {Text: documentToWire(document).Text[:12], Gzipped: true}, "Long": {Text: make([]byte, maxDocumentBytes+1)},
	} {
		_, err := documentFromWire(p)
		assert.ErrorType(t, err, &ControlMessageError{}, name)
	}
}

// Guards against arbitrary bytes that make the decoder or the control state
// machine panic, against heartbeats that change when they are encoded again, and against
// replays that have an effect.
func FuzzHeartbeat(f *testing.F) {
	h := sampleHeartbeat()
	seed, _ := proto.Marshal(heartbeatToWire(&h))
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		var p peer.HeartbeatRequest
		if proto.Unmarshal(b, &p) != nil {
			return
		}
		h, err := heartbeatFromWire(&p)
		if err != nil {
			return
		}
		again, err := heartbeatFromWire(heartbeatToWire(&h))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, h)
		m := control.New(time.Unix(1_000_000, 0), fleet.VM{ID: "vm0-0b", PeerURL: "http://10.0.0.2:7001", State: fleet.Starting}, rand.New(rand.NewSource(1)))
		now := time.Unix(1_000_001, 0)
		m.Step(now, control.PeerHeartbeat{Call: 1, Heartbeat: h})
		assertReplayIgnored(t, m.Step(now, control.PeerHeartbeat{Call: 2, Heartbeat: h}))
	})
}

// assertReplayIgnored fails when a replayed heartbeat is answered with a stamp,
// grants or a table change.
func assertReplayIgnored(t *testing.T, actions []control.Action) {
	t.Helper()
	for _, a := range actions {
		if a, ok := a.(control.AnswerHeartbeat); ok {
			assert.Equal(t, a.Reply.Stamp, lease.Stamp(0))
			assert.Assert(t, a.Reply.Grants == nil && a.Reply.TableChange == nil)
		}
	}
}

// Guards against arbitrary bytes that make the decoder or the control state
// machine panic, and against a replayed reply that has an effect.
func FuzzHeartbeatReply(f *testing.F) {
	r := sampleReply()
	seed, _ := proto.Marshal(replyToWire(&r))
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		var p peer.HeartbeatReply
		if proto.Unmarshal(b, &p) != nil {
			return
		}
		r, err := replyFromWire(&p)
		if err != nil {
			return
		}
		now := time.Unix(1_000_000, 0)
		m := control.New(now, fleet.VM{ID: "vm0-0b", PeerURL: "http://10.0.0.2:7001", State: fleet.Starting}, rand.New(rand.NewSource(1)))
		m.Step(now, control.VMListRead{VMs: []fleet.VM{{ID: "vm1", PeerURL: "http://10.0.0.1:7001", State: fleet.Live}}})
		for call := range uint64(4) {
			m.Step(now, control.HeartbeatAnswered{Call: call, Reply: r})
		}
		for call := range uint64(4) {
			for _, a := range m.Step(now, control.HeartbeatAnswered{Call: call, Reply: r}) {
				_, fetch := a.(control.FetchDocument)
				assert.Assert(t, !fetch, "a replayed reply had an effect")
			}
		}
	})
}
