package daemon

import (
	"context"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

// Guards against a field of a report that is lost between two VMs, and against
// numbers that JSON cannot represent.
func TestVMReportRoundTrip(t *testing.T) {
	vm := VMDump{ID: "vm1-0a", Zone: "a", PeerURL: "http://10.0.0.1:7001", CallerURL: "http://10.0.0.1:7000", State: fleet.Leaving}
	report := &VMReport{
		Serving: true, Fenced: true, Revision: 7, Digest: sampleDigest, Coordinator: "vm0-0b", NotAnswering: []string{ownerTaskName},
		Workspaces: []WorkspaceUse{{Name: "league", HeldPerSecond: 1.5, OfferedPerSecond: 2, AnsweredRatio: 0.5}},
		Shards:     []ShardTargets{{Service: "stock", Shard: "g01", States: map[string]int{"ready": 2, noStatus: 1}, Usable: 2, Cold: 1}},
	}
	encoded, err := proto.Marshal(vmReportToWire(vm, report))
	assert.NilError(t, err)
	var p peer.StatusReply
	assert.NilError(t, proto.Unmarshal(encoded, &p))
	gotVM, got, err := vmReportFromWire(&p)
	assert.NilError(t, err)
	assert.Equal(t, gotVM, vm)
	assert.DeepEqual(t, got, report)
	for _, x := range []float64{math.NaN(), math.Inf(1), -1} {
		p.Workspaces[0].AnsweredRatio = x
		_, _, err = vmReportFromWire(&p)
		assert.ErrorContains(t, err, "workspaces.answered_ratio is no amount")
	}
}

const sampleDigest = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

// answerControlDump answers the first message to the control task, which must be
// a controlDumpMsg.
func answerControlDump(inbox <-chan controlMsg, d ControlDump) {
	msg := <-inbox
	msg.(controlDumpMsg).reply <- d
}

// Guards against zero values that are reported as the state of a task that does
// not answer, and against a stuck task that makes other tasks look stuck.
func TestFaultTaskDoesNotAnswer(t *testing.T) {
	control := make(chan controlMsg)
	unresponsive := &taskInboxes{control: control, ingress: make(chan ingressMsg), owner: make(chan ownerMsg, 1)} // full, and never read
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	go answerControlDump(control, ControlDump{VM: VMDump{ID: "vm1-0a"}, Revision: 7})
	d := unresponsive.dump(ctx)
	assert.DeepEqual(t, d.NotAnswering, []string{ingressTaskName, ownerTaskName})
	assert.Assert(t, d.Ingress == nil && d.Owner == nil)
	assert.Equal(t, d.Control.Revision, uint64(7))
	vm, r := newVMReport(d)
	assert.Equal(t, vm.ID, fleet.VMID("vm1-0a"))
	assert.DeepEqual(t, r.NotAnswering, []string{ingressTaskName, ownerTaskName})
}
