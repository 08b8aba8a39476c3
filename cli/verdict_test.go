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

// vmOf makes a VM that answers, or one that does not, without a report.
func vmOf(name string, r *daemon.VMReport) daemon.FleetVM {
	return daemon.FleetVM{VMDump: daemon.VMDump{ID: fleet.VMID(name), PeerURL: "http://" + name}, Report: r, Reason: "no route"}
}

func readOf(vms ...daemon.FleetVM) fleetRead { return fleetRead{fleet: daemon.FleetDump{VMs: vms}} }

// Guards against a revision that passes for being in force while a VM may still
// use another text.
func TestJudge(t *testing.T) {
	has := func(revision uint64, digest string) *daemon.VMReport {
		return &daemon.VMReport{Serving: true, Revision: revision, Digest: digest}
	}
	for _, c := range []struct {
		name  string
		reads []fleetRead
		want  string // empty: in force
	}{
		{"all", []fleetRead{readOf(vmOf("a", has(7, "d")), vmOf("b", has(8, "e")))}, ""},
		{"none", []fleetRead{readOf()}, "0 of 0 VMs have revision 7"},
		{"one behind", []fleetRead{readOf(vmOf("a", has(7, "d")), vmOf("b", has(6, "e")))}, "1 of 2 VMs have revision 7; b: revision 6"},
		{"one silent", []fleetRead{readOf(vmOf("a", has(7, "d")), vmOf("b", nil))}, "1 of 2 VMs have revision 7; b: does not answer: no route"},
		{"silent for one, answers another", []fleetRead{readOf(vmOf("a", has(7, "d")), vmOf("b", nil)), readOf(vmOf("a", nil), vmOf("b", has(7, "d")))}, ""},
		{"fenced", []fleetRead{readOf(vmOf("a", &daemon.VMReport{Fenced: true, Revision: 7}))}, "0 of 1 VMs have revision 7; a: fenced"},
		{"stuck task", []fleetRead{readOf(vmOf("a", &daemon.VMReport{Revision: 7, NotAnswering: []string{"home"}}))}, "0 of 1 VMs have revision 7; a: does not answer: tasks home"},
		{"two contents", []fleetRead{readOf(vmOf("a", has(7, "d")), vmOf("b", has(7, "e")))}, "2 of 2 VMs have revision 7; b: another content of revision 7, digest e"},
		{"asked VM silent", []fleetRead{readOf(vmOf("a", has(7, "d"))), {err: errors.New("http://c: refused")}}, "1 of 1 VMs have revision 7; http://c: refused"},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := judge(c.reads, 7)
			assert.Equal(t, v.inForce(), c.want == "")
			assert.Assert(t, c.want == "" || v.String() == c.want, v.String())
		})
	}
}

// Guards against targets that are counted twice because both homes see them,
// and against groups that vanish from the sum when their homes are silent.
func TestSummarizeAddsUp(t *testing.T) {
	report := func(held, offered, answered float64) *daemon.VMReport {
		return &daemon.VMReport{
			Workspaces: []daemon.WorkspaceUse{{Name: "w", HeldPerSecond: held, OfferedPerSecond: offered, AnsweredRatio: answered}},
			Groups:     []daemon.GroupTargets{{Service: "s", Group: "g0", States: map[string]int{"ready": 2, "cold": 1}, Usable: 3, Cold: 1}},
		}
	}
	s := summarize(&daemon.FleetDump{
		Control: &daemon.ControlDump{
			Workspaces: []daemon.WorkspaceDump{{Name: "w", RatePerSecond: 100}},
			Homes:      []daemon.HomesDump{{Service: "s", Group: "g0", VMs: []fleet.VMID{"c", "a", "b"}}, {Service: "s", Group: "g1", VMs: []fleet.VMID{"c"}}},
		},
		VMs: []daemon.FleetVM{vmOf("a", report(40, 30, 1)), vmOf("b", report(20, 10, 0.2)), vmOf("c", nil)},
	})
	assert.Equal(t, fmt.Sprint(s.Targets), "[{s map[cold:1 ready:2] 3 1 1}]")
	assert.Equal(t, fmt.Sprint(s.Workspaces), "[{w 100 60 40 0.8}]")
	assert.Equal(t, s.Answers, 2)
	var out strings.Builder
	s.print(&out)
	assert.Assert(t, strings.Contains(out.String(), "does not answer: no route"), out.String())
}
