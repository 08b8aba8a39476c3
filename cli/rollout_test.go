package cli

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/daemon"
)

// newVM returns a VM with a report, or an unresponsive VM when r is nil.
func newVM(name string, r *daemon.VMReport) daemon.FleetVM {
	return daemon.FleetVM{VMDump: daemon.VMDump{ID: fleet.VMID(name), PeerURL: "http://" + name}, Report: r, Reason: "no route"}
}

func responseWith(vms ...daemon.FleetVM) fleetResponse {
	return fleetResponse{dump: daemon.FleetDump{VMs: vms}}
}

// Guards against a revision that counts as in force while a VM may still use
// another document.
func TestAssessRollout(t *testing.T) {
	vmReport := func(revision uint64, digest string) *daemon.VMReport {
		return &daemon.VMReport{Serving: true, Revision: revision, Digest: digest}
	}
	for _, c := range []struct {
		name  string
		reads []fleetResponse
		want  string // progress line; empty when the revision is in force
	}{
		{"all", []fleetResponse{responseWith(newVM("a", vmReport(7, "d")), newVM("b", vmReport(8, "e")))}, ""},
		{"none", []fleetResponse{responseWith()}, "0 of 0 VMs have revision 7"},
		{"one behind", []fleetResponse{responseWith(newVM("a", vmReport(7, "d")), newVM("b", vmReport(6, "e")))}, "1 of 2 VMs have revision 7; b: revision 6"},
		{"one silent", []fleetResponse{responseWith(newVM("a", vmReport(7, "d")), newVM("b", nil))}, "1 of 2 VMs have revision 7; b: does not answer: no route"},
		{"silent for one, answers another", []fleetResponse{responseWith(newVM("a", vmReport(7, "d")), newVM("b", nil)), responseWith(newVM("a", nil), newVM("b", vmReport(7, "d")))}, ""},
		{"fenced", []fleetResponse{responseWith(newVM("a", &daemon.VMReport{Fenced: true, Revision: 7}))}, "0 of 1 VMs have revision 7; a: fenced"},
		{"stuck task", []fleetResponse{responseWith(newVM("a", &daemon.VMReport{Revision: 7, NotAnswering: []string{"home"}}))}, "0 of 1 VMs have revision 7; a: does not answer: tasks home"},
		{"two contents", []fleetResponse{responseWith(newVM("a", vmReport(7, "d")), newVM("b", vmReport(7, "e")))}, "2 of 2 VMs have revision 7; b: another content of revision 7, digest e"},
		{"asked VM silent", []fleetResponse{responseWith(newVM("a", vmReport(7, "d"))), {err: errors.New("http://c: refused")}}, "1 of 1 VMs have revision 7; http://c: refused"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := assessRollout(c.reads, 7)
			assert.Equal(t, r.inForce(), c.want == "")
			assert.Assert(t, c.want == "" || r.String() == c.want, r.String())
		})
	}
}

// Guards against targets that are counted twice because both owners of a shard see
// them, and against shards that are omitted when no owner responds.
func TestSummarizeAddsUp(t *testing.T) {
	report := func(held, offered, answered float64) *daemon.VMReport {
		return &daemon.VMReport{
			Workspaces: []daemon.WorkspaceUse{{Name: "w", HeldPerSecond: held, OfferedPerSecond: offered, AnsweredRatio: answered}},
			Shards:     []daemon.ShardTargets{{Service: "s", Shard: "g0", States: map[string]int{"ready": 2, "cold": 1}, Usable: 3, Cold: 1}},
		}
	}
	s := summarize(&daemon.FleetDump{
		Control: &daemon.ControlDump{
			Workspaces: []daemon.WorkspaceDump{{Name: "w", RatePerSecond: 100}},
			Owners:     []daemon.ShardOwnersDump{{Service: "s", Shard: "g0", VMs: []fleet.VMID{"c", "a", "b"}}, {Service: "s", Shard: "g1", VMs: []fleet.VMID{"c"}}},
		},
		VMs: []daemon.FleetVM{newVM("a", report(40, 30, 1)), newVM("b", report(20, 10, 0.2)), newVM("c", nil)},
	})
	assert.Equal(t, fmt.Sprint(s.Targets), "[{s map[cold:1 ready:2] 3 1 1}]")
	assert.Equal(t, fmt.Sprint(s.Workspaces), "[{w 100 60 40 0.8}]")
	assert.Equal(t, s.ResponsiveVMs, 2)
	var out strings.Builder
	s.print(&out)
	assert.Assert(t, strings.Contains(out.String(), "does not answer: no route"), out.String())
}
