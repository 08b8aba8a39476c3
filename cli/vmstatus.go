package cli

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/daemon"
)

// noDigest stands for the digest of a VM without a configuration.
const noDigest = "none"

// vmStatus is the status of one VM of the fleet. The fields from Serving on are
// zero for a VM without a report.
type vmStatus struct {
	daemon.VMDump
	Live              bool       `json:"live"`             // according to the VM that collected the status
	Responsive        bool       `json:"answers"`          // reports, with all of its tasks
	Reason            string     `json:"reason,omitempty"` // why there is no report
	UnresponsiveTasks []string   `json:"not_answering"`    // names of tasks
	Serving           bool       `json:"serving"`
	Fenced            bool       `json:"fenced"`
	Revision          uint64     `json:"revision"`
	Digest            string     `json:"digest"`
	Coordinator       fleet.VMID `json:"coordinator"` // known to this VM; empty when none is
}

func newVMStatus(vm *daemon.FleetVM) vmStatus {
	s := vmStatus{VMDump: vm.VMDump, Reason: vm.Reason, UnresponsiveTasks: []string{}}
	if r := vm.Report; r != nil {
		s.Responsive, s.UnresponsiveTasks = len(r.NotAnswering) == 0, r.NotAnswering
		s.Serving, s.Fenced, s.Revision, s.Digest, s.Coordinator = r.Serving, r.Fenced, r.Revision, r.Digest, r.Coordinator
	}
	return s
}

func conditionText(serving, fenced bool) string {
	switch {
	case fenced:
		return "fenced"
	case serving:
		return "serving"
	}
	return "not serving"
}

// stateText returns the state column of the table. A VM that is neither counted as
// alive nor responsive is missing, whatever state the VM list gives.
func (s *vmStatus) stateText() string {
	if !s.Live && !s.Responsive {
		return "missing"
	}
	return string(s.State)
}

// detailColumns returns the columns of the table after the state.
func (s *vmStatus) detailColumns() string {
	if reason := s.unresponsiveReason(); reason != "" {
		return reason
	}
	return fmt.Sprintf("%s\t%d\t%.12s\t%s\t", conditionText(s.Serving, s.Fenced), s.Revision, cmp.Or(s.Digest, noDigest), cmp.Or(s.Coordinator, "none"))
}

// unresponsiveReason says why a VM or some of its tasks do not respond. It is empty
// for a responsive VM.
func (s *vmStatus) unresponsiveReason() string {
	switch {
	case s.Responsive:
		return ""
	case len(s.UnresponsiveTasks) > 0:
		return "does not answer: tasks " + strings.Join(s.UnresponsiveTasks, ", ")
	}
	return "does not answer: " + s.Reason
}
