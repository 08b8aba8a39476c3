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
	statusCallTimeout = 800 * time.Millisecond // above reportTimeout
	statusCalls       = 64                     // calls at a time, of all operators together
	fleetTimeout      = 4 * time.Second        // below the time that the command line waits
)

// FleetDump is the whole fleet: every VM as it reports itself, and what the VM
// that was asked knows.
type FleetDump struct {
	Control *ControlDump `json:"control"` // of the VM that was asked
	VMs     []FleetVM    `json:"vms"`     // live, leaving and missing ones
}

// FleetVM is one VM of the fleet. Report is nil when it does not answer.
type FleetVM struct {
	VMDump
	Report *VMReport `json:"report,omitempty"`
	Reason string    `json:"reason,omitempty"` // why there is no report
}

// statusMsg asks for the report of a VM.
type statusMsg struct {
	vm    VMDump
	reply chan<- FleetVM // has room
}

// statusTask owns the connections over which this VM asks the others for their
// reports. A fixed number of workers bounds the connections, however many VMs
// and operators there are.
type statusTask struct {
	ctx    context.Context
	client *http.Client
	inbox  chan statusMsg
}

func newStatusTask(ctx context.Context, transport http.RoundTripper) *statusTask {
	return &statusTask{
		ctx:    ctx,
		client: &http.Client{Transport: &limitedTransport{next: transport, limit: maxControlBytes}},
		inbox:  make(chan statusMsg),
	}
}

func (t *statusTask) run() {
	defer t.client.CloseIdleConnections()
	for range statusCalls {
		go t.work()
	}
	<-t.ctx.Done()
}

func (t *statusTask) work() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case msg := <-t.inbox:
			msg.reply <- t.read(msg.vm)
		}
	}
}

func (t *statusTask) read(vm VMDump) FleetVM {
	ctx, cancel := context.WithTimeout(t.ctx, statusCallTimeout)
	defer cancel()
	p, err := peer.NewStatusProtobufClient(vm.PeerURL, t.client).Read(ctx, &peer.StatusRequest{})
	if err != nil {
		return FleetVM{VMDump: vm, Reason: callReason(err)}
	}
	self, report, err := vmReportFromWire(p)
	if err != nil {
		return FleetVM{VMDump: vm, Reason: err.Error()}
	}
	if self.ID != "" {
		vm = self // the platform's list gives names, and the VM may have been replaced
	}
	return FleetVM{VMDump: vm, Report: report}
}

// callReason is the cause of a failed call without what twirp and the HTTP
// client say of the call itself.
func callReason(err error) string {
	var failed *url.Error
	switch {
	case !errors.As(err, &failed):
		return err.Error()
	case failed.Timeout():
		return "no answer within " + statusCallTimeout.String()
	}
	return failed.Err.Error()
}

// readFleet asks all VMs. Nothing comes back when the control task of this VM
// does not answer, because it alone knows the others.
func readFleet(ctx context.Context, own *taskInboxes, status chan<- statusMsg) *FleetDump {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	control := <-own.askControl(ctx)
	if control == nil {
		return nil
	}
	var others []VMDump
	for _, vm := range slices.Concat(control.VMs, control.Missing) {
		if vm.ID != control.VM.ID {
			others = append(others, vm)
		}
	}
	replies := make(chan FleetVM, len(others))
	go func() {
		for _, vm := range others {
			send(ctx, status, statusMsg{vm: vm, reply: replies})
		}
	}()
	_, report := own.report(ctx)
	d := &FleetDump{Control: control, VMs: []FleetVM{{VMDump: control.VM, Report: report}}}
	for _, vm := range collect(ctx, others, replies) {
		if vm.Report == nil || !d.has(vm.ID) {
			d.VMs = append(d.VMs, vm)
		}
	}
	return d
}

// has reports whether a VM has reported, as one that the platform lists under
// another URL than its own does twice.
func (d *FleetDump) has(id fleet.VMID) bool {
	return slices.ContainsFunc(d.VMs, func(vm FleetVM) bool { return vm.Report != nil && vm.ID == id })
}

// collect waits for the reports; VMs whose report has not come when ctx ends do
// not answer.
func collect(ctx context.Context, asked []VMDump, replies <-chan FleetVM) []FleetVM {
	var all []FleetVM
	open := make(map[string]VMDump, len(asked)) // by peer URL
	for _, vm := range asked {
		open[vm.PeerURL] = vm
	}
	for range asked {
		select {
		case vm := <-replies:
			delete(open, vm.PeerURL)
			all = append(all, vm)
		case <-ctx.Done():
			for _, vm := range open {
				all = append(all, FleetVM{VMDump: vm, Reason: "no report within " + fleetTimeout.String()})
			}
			return all
		}
	}
	return all
}
