package daemon

import (
	"crypto/sha256"
	"encoding/hex"
	"math"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

// vmReportToWire omits vm when it is empty because the control task did not answer.
func vmReportToWire(vm VMDump, r *VMReport) *peer.StatusReply {
	digest, _ := hex.DecodeString(r.Digest)
	p := &peer.StatusReply{
		Serving: r.Serving, Fenced: r.Fenced, Revision: r.Revision, Digest: digest,
		Coordinator: string(r.Coordinator), NotAnswering: r.NotAnswering,
	}
	if vm.ID != "" {
		p.Vm = vmToWire(fleet.VM(vm))
	}
	for _, w := range r.Workspaces {
		p.Workspaces = append(p.Workspaces, &peer.WorkspaceUse{
			Workspace: w.Name, HeldPerSecond: w.HeldPerSecond, OfferedPerSecond: w.OfferedPerSecond, AnsweredRatio: w.AnsweredRatio,
		})
	}
	for _, s := range r.Shards {
		t := &peer.GroupTargets{
			Group: &peer.GroupRef{Service: s.Service, Group: s.Shard}, States: make(map[string]uint32, len(s.States)),
			Usable: uint32(s.Usable), Cold: uint32(s.Cold),
		}
		for state, n := range s.States {
			t.States[state] = uint32(n)
		}
		p.Groups = append(p.Groups, t)
	}
	return p
}

// vmReportFromWire returns an empty VMDump when the reply names no VM.
func vmReportFromWire(p *peer.StatusReply) (VMDump, *VMReport, error) {
	var r wireReader
	var vm VMDump
	if p.GetVm() != nil {
		vm = newVMDump(r.vm("vm", p.GetVm()))
	}
	n := len(p.GetDigest())
	r.check(n == 0 || n == sha256.Size, "digest", "has a wrong length")
	report := &VMReport{
		Serving: p.GetServing(), Fenced: p.GetFenced(), Revision: p.GetRevision(), Digest: hex.EncodeToString(p.GetDigest()),
		Coordinator: fleet.VMID(r.boundedString("coordinator", p.GetCoordinator())), NotAnswering: append([]string{}, p.GetNotAnswering()...),
	}
	for _, w := range p.GetWorkspaces() {
		report.Workspaces = append(report.Workspaces, WorkspaceUse{
			Name: r.nonEmptyString("workspaces.workspace", w.GetWorkspace()), HeldPerSecond: r.nonNegative("workspaces.held_per_second", w.GetHeldPerSecond()),
			OfferedPerSecond: r.nonNegative("workspaces.offered_per_second", w.GetOfferedPerSecond()),
			AnsweredRatio:    r.nonNegative("workspaces.answered_ratio", w.GetAnsweredRatio()),
		})
	}
	for _, s := range p.GetGroups() {
		t := ShardTargets{
			Service: r.nonEmptyString("groups.group.service", s.GetGroup().GetService()), Shard: r.nonEmptyString("groups.group.group", s.GetGroup().GetGroup()),
			States: make(map[string]int, len(s.GetStates())), Usable: int(s.GetUsable()), Cold: int(s.GetCold()),
		}
		for state, n := range s.GetStates() {
			t.States[r.nonEmptyString("groups.states", state)] = int(n)
		}
		report.Shards = append(report.Shards, t)
	}
	return vm, report, r.err
}

// nonNegative rejects negative numbers, and NaN and infinity, which JSON cannot
// represent.
func (r *wireReader) nonNegative(field string, x float64) float64 {
	r.check(x >= 0 && !math.IsInf(x, 0), field, "is no amount")
	return x
}
