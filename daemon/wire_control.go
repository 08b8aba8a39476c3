package daemon

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/lease"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

// Limits of a control message. A message that exceeds one is rejected as a whole.
const (
	maxStringBytes         = 256
	maxTableVMs            = 4096
	maxPoisonBlocks        = 64
	maxWireMillis          = math.MaxUint32
	maxControlMessageBytes = 4 << 20 // one heartbeat, reply or status report; fits a full directory of 40,000 owners
)

// ControlMessageError reports a control message that violates a limit or lacks
// a required field. For a request, its text is returned to the sender.
type ControlMessageError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *ControlMessageError) Error() string {
	return fmt.Sprintf("control message: %s %s", e.Field, e.Reason)
}

// wireReader converts the fields of one message from another VM and keeps the
// first violation in err. Decoded values are only valid when err is nil.
type wireReader struct{ err error }

func (r *wireReader) fail(field, reason string) {
	if r.err == nil {
		r.err = &ControlMessageError{Field: field, Reason: reason}
	}
}

func (r *wireReader) check(ok bool, field, reason string) {
	if !ok {
		r.fail(field, reason)
	}
}

// nonEmptyString checks a required field.
func (r *wireReader) nonEmptyString(field, s string) string {
	r.check(s != "", field, "is empty")
	return r.boundedString(field, s)
}

// boundedString checks a field that may be empty.
func (r *wireReader) boundedString(field, s string) string {
	r.check(len(s) <= maxStringBytes, field, "is too long")
	return s
}

func (r *wireReader) checkCount(field string, n, limit int) {
	r.check(n <= limit, field, "has too many entries")
}

func vmToWire(vm fleet.VM) *peer.VM {
	return &peer.VM{Id: string(vm.ID), Zone: vm.Zone, Peer: vm.PeerURL, Caller: vm.CallerURL, State: string(vm.State)}
}

func (r *wireReader) vm(field string, p *peer.VM) fleet.VM {
	vm := fleet.VM{
		ID: fleet.VMID(r.nonEmptyString(field+".id", p.GetId())), Zone: r.boundedString(field+".zone", p.GetZone()),
		PeerURL: r.nonEmptyString(field+".peer", p.GetPeer()), CallerURL: r.boundedString(field+".caller", p.GetCaller()),
		State: fleet.VMState(p.GetState()),
	}
	switch vm.State {
	case fleet.Starting, fleet.Live, fleet.Leaving:
	default:
		r.fail(field+".state", "is unknown")
	}
	return vm
}

// toWireMillis clamps d to the range of the wire field.
func toWireMillis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), maxWireMillis))
}

// statusToWire rounds the age of the coordinator's claim up, so that the
// receiver never takes the claim for younger than it is. A claim of the sender
// itself omits the VM.
func statusToWire(s *control.Status) *peer.VMStatus {
	p := &peer.VMStatus{From: vmToWire(s.From), Revision: s.Revision, Serving: s.Serving, Poisons: s.PoisonChecksum}
	if s.Digest != (config.Digest{}) {
		p.Digest = s.Digest[:]
	}
	for _, b := range s.Blocked {
		p.Blocked = append(p.Blocked, &peer.Blocked{Fingerprint: bytes.Clone(b.Fingerprint[:]), ForMs: toWireMillis(b.Remaining)})
	}
	if c := s.Claim; c.VM.ID != "" {
		p.Coordinator = &peer.Coordinator{Fraction: uint32(c.Fraction), AgeMs: toWireMillis(c.Age + time.Millisecond - 1)}
		if c.VM.ID != s.From.ID {
			p.Coordinator.Vm = vmToWire(c.VM)
		}
	}
	return p
}

func (r *wireReader) status(p *peer.VMStatus) control.Status {
	s := control.Status{From: r.vm("from", p.GetFrom()), Revision: p.GetRevision(), Serving: p.GetServing(), PoisonChecksum: p.GetPoisons()}
	switch len(p.GetDigest()) {
	case 0:
		r.check(s.Revision == 0, "digest", "is missing")
	case len(s.Digest):
		copy(s.Digest[:], p.GetDigest())
	default:
		r.fail("digest", "has the wrong length")
	}
	r.checkCount("blocked", len(p.GetBlocked()), maxPoisonBlocks)
	for _, b := range p.GetBlocked() {
		blocked := control.PoisonBlock{Remaining: time.Duration(b.GetForMs()) * time.Millisecond}
		r.check(copy(blocked.Fingerprint[:], b.GetFingerprint()) == len(b.GetFingerprint()) &&
			len(b.GetFingerprint()) == len(blocked.Fingerprint), "blocked.fingerprint", "has the wrong length")
		s.Blocked = append(s.Blocked, blocked)
	}
	if c := p.GetCoordinator(); c != nil {
		s.Claim = r.claim(s.From, c)
	}
	return s
}

func (r *wireReader) claim(from fleet.VM, p *peer.Coordinator) control.CoordinatorClaim {
	c := control.CoordinatorClaim{VM: from, Fraction: lease.Fraction(p.GetFraction()), Age: time.Duration(p.GetAgeMs()) * time.Millisecond}
	if p.GetVm() != nil {
		c.VM = r.vm("coordinator.vm", p.GetVm())
	}
	r.check(p.GetFraction() <= uint32(lease.Full), "coordinator.fraction", "is unknown")
	return c
}

func heartbeatToWire(h *control.Heartbeat) *peer.HeartbeatRequest {
	p := &peer.HeartbeatRequest{
		Status: statusToWire(&h.Status), Seq: h.Seq,
		Candidate: string(h.Ballot.Candidate), Stamp: int64(h.Ballot.Stamp), Promised: h.Ballot.Promised,
		ToHub: h.ToHub, Table: h.TableChecksum, Fresh: h.HasNoHistory,
	}
	if h.Report != nil {
		p.Report = reportToWire(h.Report)
	}
	return p
}

func heartbeatFromWire(p *peer.HeartbeatRequest) (control.Heartbeat, error) {
	var r wireReader
	h := control.Heartbeat{
		Status: r.status(p.GetStatus()), Seq: p.GetSeq(), ToHub: p.GetToHub(), TableChecksum: p.GetTable(), HasNoHistory: p.GetFresh(),
		Ballot: lease.Ballot{
			Candidate: fleet.VMID(r.boundedString("candidate", p.GetCandidate())),
			Stamp:     lease.Stamp(p.GetStamp()), Promised: p.GetPromised(),
		},
	}
	r.check(h.Seq > 0, "seq", "is zero")
	r.check(h.Ballot.Stamp >= 0, "stamp", "is negative")
	if p.GetReport() != nil {
		h.Report = r.report(p.GetReport())
	}
	return h, r.err
}

func replyToWire(reply *control.HeartbeatReply) *peer.HeartbeatReply {
	p := &peer.HeartbeatReply{Status: statusToWire(&reply.Status), Stamp: int64(reply.Stamp), Cold: reply.ColdStart}
	if t := reply.TableChange; t != nil {
		p.Table = &peer.TableChange{Base: t.BaseChecksum, Sum: t.Checksum}
		for _, vm := range t.Changed {
			p.Table.Changed = append(p.Table.Changed, vmToWire(vm))
		}
		for _, id := range t.Removed {
			p.Table.Removed = append(p.Table.Removed, string(id))
		}
	}
	if reply.Grants != nil {
		p.Grants = grantsToWire(reply.Grants)
	}
	return p
}

func replyFromWire(p *peer.HeartbeatReply) (control.HeartbeatReply, error) {
	var r wireReader
	reply := control.HeartbeatReply{Status: r.status(p.GetStatus()), Stamp: lease.Stamp(p.GetStamp()), ColdStart: p.GetCold()}
	r.check(reply.Stamp >= 0, "stamp", "is negative")
	if t := p.GetTable(); t != nil {
		reply.TableChange = r.table(t)
	}
	if p.GetGrants() != nil {
		reply.Grants = r.grants(p.GetGrants())
	}
	return reply, r.err
}

func (r *wireReader) table(p *peer.TableChange) *fleet.TableChange {
	t := &fleet.TableChange{BaseChecksum: p.GetBase(), Checksum: p.GetSum()}
	r.checkCount("table.changed", len(p.GetChanged()), maxTableVMs)
	r.checkCount("table.removed", len(p.GetRemoved()), maxTableVMs)
	if r.err != nil {
		return nil
	}
	for _, vm := range p.GetChanged() {
		t.Changed = append(t.Changed, r.vm("table.changed", vm))
	}
	for _, id := range p.GetRemoved() {
		t.Removed = append(t.Removed, fleet.VMID(r.nonEmptyString("table.removed", id)))
	}
	return t
}

// documentToWire compresses the configuration document, because each change is
// sent to every VM.
func documentToWire(document []byte) *peer.ConfigTextReply {
	if len(document) == 0 {
		return &peer.ConfigTextReply{}
	}
	var compressed bytes.Buffer
	compressor := gzip.NewWriter(&compressed)
	compressor.Write(document)
	compressor.Close()
	return &peer.ConfigTextReply{Text: compressed.Bytes(), Gzipped: true}
}

// documentFromWire limits the decompressed size too, so that a small message
// cannot exhaust memory.
func documentFromWire(p *peer.ConfigTextReply) ([]byte, error) {
	document := p.GetText()
	if p.GetGzipped() {
		decompressor, err := gzip.NewReader(bytes.NewReader(document))
		if err != nil {
			return nil, &ControlMessageError{Field: "text", Reason: "is not compressed with gzip"}
		}
		if document, err = io.ReadAll(io.LimitReader(decompressor, maxDocumentBytes+1)); err != nil {
			return nil, &ControlMessageError{Field: "text", Reason: "cannot be decompressed"}
		}
	}
	if len(document) == 0 || len(document) > maxDocumentBytes {
		return nil, &ControlMessageError{Field: "text", Reason: "is empty or too long"}
	}
	return document, nil
}
