package daemon

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

const (
	statusCallTimeout  = 800 * time.Millisecond // above reportTimeout, so that a VM can report stuck tasks
	statusWorkers      = 64                     // concurrent calls, for all operators together
	fleetStatusTimeout = 4 * time.Second        // below the timeout of the command-line client
)

// FleetDump is the status of the whole fleet: the report of every VM, and the
// state of the control task of the VM that collected them.
type FleetDump struct {
	Control *ControlDump `json:"control"` // of the VM that collected the reports
	VMs     []FleetVM    `json:"vms"`     // live, leaving and missing VMs
}

// FleetVM is one VM of the fleet. Report is nil when the VM does not answer.
type FleetVM struct {
	VMDump
	Report *VMReport `json:"report,omitempty"`
	Reason string    `json:"reason,omitempty"` // why there is no report
}

// statusMsg requests the report of a VM.
type statusMsg struct {
	vm    VMDump
	reply chan<- FleetVM // buffered, so that a worker never blocks
}

// statusTask owns the connections over which this VM reads the reports of other
// VMs. A fixed number of workers bounds the connections, independent of the
// number of VMs and operators.
type statusTask struct {
	ctx    context.Context
	client *http.Client
	inbox  chan statusMsg
}

func newStatusTask(ctx context.Context, transport http.RoundTripper) *statusTask {
	return &statusTask{
		ctx:    ctx,
		client: &http.Client{Transport: &limitedTransport{next: transport, limit: maxControlMessageBytes}},
		inbox:  make(chan statusMsg),
	}
}

func (t *statusTask) run() {
	defer t.client.CloseIdleConnections()
	for range statusWorkers {
		go t.runWorker()
	}
	<-t.ctx.Done()
}

func (t *statusTask) runWorker() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case msg := <-t.inbox:
			msg.reply <- t.readStatus(msg.vm)
		}
	}
}

// readStatus reads the report of one VM. On failure it returns the reason instead.
func (t *statusTask) readStatus(vm VMDump) FleetVM {
	ctx, cancel := context.WithTimeout(t.ctx, statusCallTimeout)
	defer cancel()
	p, err := peer.NewStatusProtobufClient(vm.PeerURL, t.client).Read(ctx, &peer.StatusRequest{})
	if err != nil {
		return FleetVM{VMDump: vm, Reason: callFailureReason(err)}
	}
	self, report, err := vmReportFromWire(p)
	if err != nil {
		return FleetVM{VMDump: vm, Reason: err.Error()}
	}
	if self.ID != "" {
		vm = self // the platform's list has names instead of IDs, and the VM may have been replaced
	}
	return FleetVM{VMDump: vm, Report: report}
}

// callFailureReason returns the cause of a failed call, without the prefixes of
// twirp and the HTTP client.
func callFailureReason(err error) string {
	var urlErr *url.Error
	switch {
	case !errors.As(err, &urlErr):
		return err.Error()
	case urlErr.Timeout():
		return "no answer within " + statusCallTimeout.String()
	}
	return urlErr.Err.Error()
}

// collectFleet reads the reports of all VMs. It returns nil when the control task
// of this VM does not answer, because only that task knows the other VMs.
func collectFleet(ctx context.Context, local *taskInboxes, requests chan<- statusMsg) *FleetDump {
	ctx, cancel := context.WithTimeout(ctx, fleetStatusTimeout)
	defer cancel()
	known := <-local.askControl(ctx)
	if known == nil {
		return nil
	}
	var others []VMDump
	for _, vm := range slices.Concat(known.VMs, known.Missing) {
		if vm.ID != known.VM.ID {
			others = append(others, vm)
		}
	}
	replies := make(chan FleetVM, len(others))
	go func() {
		for _, vm := range others {
			send(ctx, requests, statusMsg{vm: vm, reply: replies})
		}
	}()
	_, report := local.report(ctx)
	d := &FleetDump{Control: known, VMs: []FleetVM{{VMDump: known.VM, Report: report}}}
	for _, vm := range collectReports(ctx, others, replies) {
		if vm.Report == nil || !d.hasReport(vm.ID) {
			d.VMs = append(d.VMs, vm)
		}
	}
	return d
}

// hasReport reports whether d holds a report of the VM already. A VM that the
// platform lists under a different URL than its own is read twice.
func (d *FleetDump) hasReport(id fleet.VMID) bool {
	return slices.ContainsFunc(d.VMs, func(vm FleetVM) bool { return vm.Report != nil && vm.ID == id })
}

// collectReports waits for the reports of the contacted VMs. When ctx ends, it
// adds an entry without a report for each VM that has not answered.
func collectReports(ctx context.Context, contacted []VMDump, replies <-chan FleetVM) []FleetVM {
	var all []FleetVM
	pending := make(map[string]VMDump, len(contacted)) // by peer URL
	for _, vm := range contacted {
		pending[vm.PeerURL] = vm
	}
	for range contacted {
		select {
		case vm := <-replies:
			delete(pending, vm.PeerURL)
			all = append(all, vm)
		case <-ctx.Done():
			for _, vm := range pending {
				all = append(all, FleetVM{VMDump: vm, Reason: "no report within " + fleetStatusTimeout.String()})
			}
			return all
		}
	}
	return all
}
