package gateway

import (
	"bytes"
	"compress/flate"
	"io"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mesh"
	"github.com/anvilfork/anvilfork/core/mirror"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

// maxInflatedBytes bounds an inflated message. The store holds values of up to
// 1 MiB.
const maxInflatedBytes = 64 << 20

func encodeNode(n mesh.Node) *peer.MeshNode {
	return &peer.MeshNode{
		Id: string(n.ID), Peer: n.Peer, Front: n.Front, Zone: n.Zone, Region: n.Region,
		StartedUnixMs: n.StartedUnixMs, Phase: uint32(n.Phase), Power: n.Power, StoreDenied: n.StoreDenied,
		StoreFailing: n.StoreFailing, Edition: n.Edition,
	}
}

func decodeNode(n *peer.MeshNode) mesh.Node {
	return mesh.Node{
		ID: fleet.VMID(n.GetId()), Peer: n.GetPeer(), Front: n.GetFront(), Zone: n.GetZone(), Region: n.GetRegion(),
		StartedUnixMs: n.GetStartedUnixMs(), Phase: mesh.Phase(n.GetPhase()), Power: n.GetPower(), StoreDenied: n.GetStoreDenied(),
		StoreFailing: n.GetStoreFailing(), Edition: n.GetEdition(),
	}
}

func encodeNodes(all []mesh.Node) []*peer.MeshNode {
	var out []*peer.MeshNode
	for _, n := range all {
		out = append(out, encodeNode(n))
	}
	return out
}

func decodeNodes(all []*peer.MeshNode) []mesh.Node {
	var out []mesh.Node
	for _, n := range all {
		out = append(out, decodeNode(n))
	}
	return out
}

func encodeOffered(all []mesh.WorkspaceDemand) []*peer.MeshOffered {
	var out []*peer.MeshOffered
	for _, o := range all {
		out = append(out, &peer.MeshOffered{Workspace: o.Workspace, PerSecond: float32(o.RatePerSecond)})
	}
	return out
}

func decodeOffered(all []*peer.MeshOffered) []mesh.WorkspaceDemand {
	var out []mesh.WorkspaceDemand
	for _, o := range all {
		out = append(out, mesh.WorkspaceDemand{Workspace: o.GetWorkspace(), RatePerSecond: float64(o.GetPerSecond())})
	}
	return out
}

func encodeTimeouts(all []mesh.RouteTimeout) []*peer.MeshTimeout {
	var out []*peer.MeshTimeout
	for _, t := range all {
		out = append(out, &peer.MeshTimeout{Route: t.Route, LongestMs: uint32(t.Longest.Milliseconds())})
	}
	return out
}

func decodeTimeouts(all []*peer.MeshTimeout) []mesh.RouteTimeout {
	var out []mesh.RouteTimeout
	for _, t := range all {
		out = append(out, mesh.RouteTimeout{Route: t.GetRoute(), Longest: time.Duration(t.GetLongestMs()) * time.Millisecond})
	}
	return out
}

func encodeRequest(r *mesh.HeartbeatRequest) *peer.MeshRequest {
	m := &peer.MeshRequest{
		From: encodeNode(r.From), EveryMs: uint32(r.Interval.Milliseconds()), AsOf: r.StoreRevision,
		NodesSeq: r.NodesSeq, NodesOf: r.NodesEpoch, ReadsPacked: true, Offered: encodeOffered(r.Demand),
		TimeoutsSum: r.TimeoutsSum, Timeouts: encodeTimeouts(r.Timeouts), Pressing: encodePressing(r.Pressing),
		Era: encodeEra(r.StatesEra, r.StoreEra), PastKnown: encodeKnown(r.PastKnown),
	}
	for _, c := range r.Crashes {
		m.Crashes = append(m.Crashes, &peer.MeshCrash{Fingerprint: c.Fingerprint, Count: c.Count, AgeMs: encodeMillis(c.Age)})
	}
	m.Blocked, m.BlockedAgeMs = encodeBlocks(r.Blocked)
	return m
}

func decodeRequest(m *peer.MeshRequest) *mesh.HeartbeatRequest {
	r := &mesh.HeartbeatRequest{
		From: decodeNode(m.GetFrom()), Interval: time.Duration(m.GetEveryMs()) * time.Millisecond, StoreRevision: m.GetAsOf(), NodesSeq: m.GetNodesSeq(), NodesEpoch: m.GetNodesOf(), Demand: decodeOffered(m.GetOffered()),
		TimeoutsSum: m.GetTimeoutsSum(), Timeouts: decodeTimeouts(m.GetTimeouts()), Pressing: decodePressing(m.GetPressing()),
		StatesEra: m.Era != nil, StoreEra: m.GetEra(), PastKnown: decodeKnown(m.GetPastKnown()),
		Blocked: decodeBlocks(m.GetBlocked(), m.GetBlockedAgeMs()),
	}
	for _, c := range m.GetCrashes() {
		r.Crashes = append(r.Crashes, mesh.Crash{Fingerprint: c.GetFingerprint(), Count: c.GetCount(), Age: decodeMillis(c.GetAgeMs())})
	}
	return r
}

// encodeBlocks returns the fingerprints and the ages of blocks.
func encodeBlocks(all []mesh.Block) (fingerprints []uint64, ages []uint32) {
	for _, b := range all {
		fingerprints, ages = append(fingerprints, b.Fingerprint), append(ages, encodeMillis(b.Age))
	}
	return fingerprints, ages
}

// decodeBlocks returns blocks. VMs of earlier builds tell no ages.
func decodeBlocks(fingerprints []uint64, ages []uint32) []mesh.Block {
	var all []mesh.Block
	for i, fingerprint := range fingerprints {
		age := time.Duration(-1)
		if i < len(ages) {
			age = decodeMillis(ages[i])
		}
		all = append(all, mesh.Block{Fingerprint: fingerprint, Age: age})
	}
	return all
}

func encodeMillis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func decodeMillis(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// replyEncoder encodes replies to heartbeats. When a whole fleet starts, a hub answers
// hundreds of VMs at once, each with all members and the same update, so it caches the
// last encoded update and the encoded form of each member, and reuses its compressor.
type replyEncoder struct {
	update     *mirror.Update
	encoded    []byte
	members    map[fleet.VMID]encodedMember
	compressor *flate.Writer // nil until it is used
}

// encodedMember is a member and its field in a MeshMembers message.
type encodedMember struct {
	node  mesh.Node
	field []byte
}

// membersNodesField is the number of the field nodes of MeshMembers.
const membersNodesField = 1

// minPackedMembers is the smallest number of members that is worth compressing.
const minPackedMembers = 8

// encode encodes a reply. Large member lists are packed if the receiver can decode
// that.
func (e *replyEncoder) encode(r *mesh.HeartbeatReply, readsPacked bool) (*peer.MeshReply, error) {
	m := &peer.MeshReply{
		From: encodeNode(r.From), AgeUs: r.CopyAge.Microseconds(), RegainedAgeUs: encodeAge(r.RegainedAge), NodesSeq: r.NodesSeq, NodesWhole: r.NodesFull, Fleet: uint32(r.FleetSize),
		Hubs: encodeNodes(r.Hubs), Totals: encodeOffered(r.FleetDemand),
		TimeoutsSum: r.TimeoutsSum, Timeouts: encodeTimeouts(r.Timeouts), Pressing: encodePressing(r.Pressing),
		Era: encodeEra(r.StatesEra, r.StoreEra), PastKnown: encodeKnown(r.PastKnown),
	}
	m.Blocked, m.BlockedAgeMs = encodeBlocks(r.Blocked)
	if r.CopyAge < 0 {
		m.AgeUs = -1
	}
	for _, id := range r.Removed {
		m.Gone = append(m.Gone, string(id))
	}
	var err error
	if readsPacked && len(r.Nodes) >= minPackedMembers {
		if m.Packed, err = e.packMembers(r.Nodes, m.Gone); err != nil {
			return nil, err
		}
		m.Gone = nil
	} else {
		m.Nodes = encodeNodes(r.Nodes)
	}
	if r.Update != nil {
		if m.Update, err = e.encodeUpdate(r.Update); err != nil {
			return nil, err
		}
	}
	if r.Past != nil {
		m.Past, err = e.deflate(encodePast(r.Past))
	}
	return m, err
}

// packMembers returns a compressed MeshMembers message. Its fields are encoded one by
// one, since most members are the same as in the last reply.
func (e *replyEncoder) packMembers(members []mesh.Node, gone []string) ([]byte, error) {
	if e.members == nil {
		e.members = make(map[fleet.VMID]encodedMember)
	}
	plain, err := proto.Marshal(&peer.MeshMembers{Gone: gone})
	if err != nil {
		return nil, errors.Wrap(err, "members")
	}
	for _, n := range members {
		known := e.members[n.ID]
		if known.node != n {
			node, err := proto.Marshal(encodeNode(n))
			if err != nil {
				return nil, errors.Wrapf(err, "member %q", n.ID)
			}
			field := protowire.AppendTag(nil, membersNodesField, protowire.BytesType)
			known = encodedMember{node: n, field: protowire.AppendBytes(field, node)}
			e.members[n.ID] = known
		}
		plain = append(plain, known.field...)
	}
	if len(e.members) > 2*len(members)+maxStaleMembers {
		clear(e.members) // most of them are of VMs that are gone
	}
	return e.compress(plain)
}

// maxStaleMembers bounds the encoded members of VMs that are gone.
const maxStaleMembers = 1024

// deflate encodes and compresses a message. Entries and members resemble each other,
// traffic between zones is expensive, and the smallest VMs have little bandwidth.
func (e *replyEncoder) deflate(m proto.Message) ([]byte, error) {
	plain, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrapf(err, "%T", m)
	}
	return e.compress(plain)
}

func (e *replyEncoder) compress(plain []byte) ([]byte, error) {
	var b bytes.Buffer
	if e.compressor == nil {
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		if err != nil {
			return nil, errors.Wrap(err, "compressor")
		}
		e.compressor = w
	} else {
		e.compressor.Reset(&b)
	}
	if _, err := e.compressor.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := e.compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return b.Bytes(), nil
}

// encodeUpdate returns the encoded update, from the cache if it is the last one.
func (e *replyEncoder) encodeUpdate(u *mirror.Update) ([]byte, error) {
	if u != e.update {
		encoded, err := e.deflate(encodeUpdate(u))
		if err != nil {
			return nil, err
		}
		e.update, e.encoded = u, encoded
	}
	return e.encoded, nil
}

// decodeReply decodes a reply with or without packed members. It may modify m.
func decodeReply(m *peer.MeshReply) (*mesh.HeartbeatReply, error) {
	if len(m.GetPacked()) > 0 {
		var members peer.MeshMembers
		if err := inflate(m.GetPacked(), &members); err != nil {
			return nil, err
		}
		m.Nodes, m.Gone = members.GetNodes(), members.GetGone()
	}
	r := &mesh.HeartbeatReply{
		From: decodeNode(m.GetFrom()), CopyAge: time.Duration(m.GetAgeUs()) * time.Microsecond,
		RegainedAge: decodeAge(m.GetRegainedAgeUs()), NodesSeq: m.GetNodesSeq(),
		NodesFull: m.GetNodesWhole(), FleetSize: int(m.GetFleet()), FleetDemand: decodeOffered(m.GetTotals()), Blocked: decodeBlocks(m.GetBlocked(), m.GetBlockedAgeMs()),
		TimeoutsSum: m.GetTimeoutsSum(), Timeouts: decodeTimeouts(m.GetTimeouts()), Pressing: decodePressing(m.GetPressing()),
		StatesEra: m.Era != nil, StoreEra: m.GetEra(), PastKnown: decodeKnown(m.GetPastKnown()),
	}
	r.Nodes, r.Hubs = decodeNodes(m.GetNodes()), decodeNodes(m.GetHubs())
	for _, id := range m.GetGone() {
		r.Removed = append(r.Removed, fleet.VMID(id))
	}
	var err error
	if r.Past, err = decodePast(m.GetPast(), r.PastKnown); err != nil || len(m.GetUpdate()) == 0 {
		return r, err
	}
	r.Update, err = decodeUpdate(m.GetUpdate())
	return r, err
}

// encodeAge returns an age in microseconds. One that is set stays above zero.
func encodeAge(age time.Duration) int64 {
	if age <= 0 {
		return 0
	}
	return max(age.Microseconds(), 1)
}

// decodeAge returns an age in microseconds as a duration, zero if it is not set.
func decodeAge(us int64) time.Duration { return time.Duration(max(us, 0)) * time.Microsecond }

// inflate decodes a message that a replyEncoder compressed. It reads at most
// maxInflatedBytes of it.
func inflate(encoded []byte, into proto.Message) error {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(encoded)), maxInflatedBytes))
	if err != nil {
		return errors.Wrapf(err, "%T", into)
	}
	return errors.Wrapf(proto.Unmarshal(plain, into), "%T", into)
}
