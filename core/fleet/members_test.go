package fleet_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func record(id, address string, state fleet.VMState) fleet.VM {
	return fleet.VM{ID: fleet.VMID(id), PeerURL: "http://" + address, State: state}
}

// Guards against a wrong result of Live for each way in which list, heartbeats and
// table may disagree.
func TestMembersLive(t *testing.T) {
	const sec = time.Second
	self := record("a1", "a", fleet.Live)
	for _, c := range []struct {
		name string
		do   func(m *fleet.Members)
		now  time.Duration
		want string // ids and states of all live VMs but the first
	}{
		{"a listed VM that sent no heartbeat is not live", func(m *fleet.Members) {
			m.ApplyList(at(0), []fleet.VM{record("b", "b", fleet.Live)})
		}, sec, ""},
		{"reachable in both directions", func(m *fleet.Members) {
			m.Observe(at(0), record("b1", "b", fleet.Live), at(0))
		}, 2 * sec, "b1 live "},
		{"unresponsive for longer than the timeout", func(m *fleet.Members) {
			m.Observe(at(0), record("b1", "b", fleet.Live), at(0))
		}, 2*sec + 1, ""},
		{"reachable in one direction only", func(m *fleet.Members) {
			m.Observe(at(0), record("b1", "b", fleet.Live), time.Time{})
		}, sec, ""},
		{"an old message processed late", func(m *fleet.Members) {
			m.Observe(at(9*sec), record("b1", "b", fleet.Live), at(0))
		}, 9 * sec, ""},
		{"a late message does not revert leaving", func(m *fleet.Members) {
			m.Observe(at(0), record("b1", "b", fleet.Leaving), at(0))
			m.Observe(at(sec), record("b1", "b", fleet.Live), at(sec))
		}, sec, "b1 leaving "},
		{"leaving by the list", func(m *fleet.Members) {
			m.Observe(at(0), record("b1", "b", fleet.Live), at(0))
			m.ApplyList(at(0), []fleet.VM{record("b", "b", fleet.Live)})
			m.ApplyList(at(sec), []fleet.VM{record("b", "b", fleet.Leaving)})
		}, sec, "b1 leaving "},
		{"leaving by the list does not hold for a replacement", func(m *fleet.Members) {
			m.Observe(at(0), record("b1", "b", fleet.Live), at(0))
			m.ApplyList(at(0), []fleet.VM{record("b", "b", fleet.Live)})
			m.ApplyList(at(sec), []fleet.VM{record("b", "b", fleet.Leaving)})
			m.Observe(at(sec), record("b2", "b", fleet.Live), at(sec+1))
		}, sec, "b2 live "},
		{"a replacement hides the old incarnation", func(m *fleet.Members) {
			m.Observe(at(0), record("b1", "b", fleet.Live), at(0))
			m.Observe(at(sec), record("b2", "b", fleet.Starting), at(sec))
		}, sec, "b2 starting "},
		{"a late message of the old incarnation", func(m *fleet.Members) {
			m.Observe(at(sec), record("b2", "b", fleet.Live), at(sec))
			m.Observe(at(sec), record("b1", "b", fleet.Live), at(0))
		}, sec, "b2 live "},
		{"in the table", func(m *fleet.Members) {
			m.SetTable(at(0), fleet.NewTable([]fleet.VM{self, record("b1", "b", fleet.Live)}), at(0))
		}, sec, "b1 live "},
		{"in a table that does not name this VM", func(m *fleet.Members) {
			m.SetTable(at(0), fleet.NewTable([]fleet.VM{record("b1", "b", fleet.Live)}), at(0))
		}, sec, "b1 live "},
		{"in the table, leaving by the list", func(m *fleet.Members) {
			m.Observe(at(0), record("b1", "b", fleet.Live), at(0))
			m.SetTable(at(0), fleet.NewTable([]fleet.VM{self, record("b1", "b", fleet.Live)}), at(0))
			m.ApplyList(at(0), []fleet.VM{record("b", "b", fleet.Live)})
			m.ApplyList(at(sec), []fleet.VM{record("b", "b", fleet.Leaving)})
		}, sec, "b1 leaving "},
		{"in a table that was not confirmed within the timeout", func(m *fleet.Members) {
			m.SetTable(at(0), fleet.NewTable([]fleet.VM{self, record("b1", "b", fleet.Live)}), at(0))
		}, 3 * sec, ""},
		{"the table has an older incarnation", func(m *fleet.Members) {
			m.SetTable(at(0), fleet.NewTable([]fleet.VM{self, record("b1", "b", fleet.Live)}), at(0))
			m.Observe(at(sec), record("b2", "b", fleet.Live), at(sec))
		}, sec, "b2 live "},
		{"the table says leaving", func(m *fleet.Members) {
			m.Observe(at(sec), record("b1", "b", fleet.Live), at(sec))
			m.SetTable(at(sec), fleet.NewTable([]fleet.VM{self, record("b1", "b", fleet.Leaving)}), at(sec))
		}, sec, "b1 leaving "},
		{"an old table after heartbeats that say leaving", func(m *fleet.Members) {
			m.SetTable(at(sec), fleet.NewTable([]fleet.VM{self, record("b1", "b", fleet.Live)}), at(sec))
			m.Observe(at(0), record("b1", "b", fleet.Leaving), time.Time{})
		}, sec, "b1 leaving "},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := fleet.NewMembers(self)
			c.do(m)
			got := ""
			for _, vm := range m.Live(at(c.now))[1:] {
				got += fmt.Sprintf("%s %s ", vm.ID, vm.State)
			}
			assert.Equal(t, got, c.want)
		})
	}
}

// Guards against a VM that counts itself, or its older incarnation, as a peer.
func TestMembersIgnoreSelf(t *testing.T) {
	m := fleet.NewMembers(record("a1", "a", fleet.Live))
	m.Observe(at(0), record("a0", "a", fleet.Live), at(0)) // an older incarnation of this VM
	m.SetTable(at(0), fleet.NewTable([]fleet.VM{record("a0", "a", fleet.Live)}), at(0))
	live := m.Live(at(0))
	assert.Equal(t, len(live), 1)
	assert.Equal(t, live[0].ID, fleet.VMID("a1"))
}

// Guards against addresses that are dropped although a VM may come back there, and
// against addresses that are tried without backoff or for ever.
func TestMembersUnreachable(t *testing.T) {
	m := fleet.NewMembers(record("a1", "a", fleet.Live))
	m.Observe(at(0), record("b1", "b", fleet.Live), at(0))
	unreachable := func(d time.Duration) int {
		m.Expire(at(d))
		return len(m.Unreachable(at(d), m.Live(at(d))))
	}
	assert.Equal(t, unreachable(time.Second), 0)
	assert.Equal(t, unreachable(time.Hour), 1) // the list cannot be read
	m.RecordFailure(at(time.Hour), "http://b")
	assert.Equal(t, unreachable(time.Hour), 0)
	assert.Equal(t, unreachable(time.Hour+time.Second), 1)
	m.ApplyList(at(time.Hour+2*time.Second), nil)
	assert.Equal(t, unreachable(time.Hour+2*time.Second), 0)
}

// Guards against a table change that yields another table than announced or is
// applied to the wrong base, for random tables.
func TestTableChanges(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	states := []fleet.VMState{fleet.Starting, fleet.Live, fleet.Leaving}
	table := func() *fleet.Table {
		var vms []fleet.VM
		for i := range random.Intn(8) {
			vms = append(vms, record(fmt.Sprint(random.Intn(10)), fmt.Sprint(i), states[random.Intn(3)]))
		}
		return fleet.NewTable(vms)
	}
	for range 2000 {
		from, to, other := table(), table(), table()
		change := fleet.Diff(from, to)
		got, ok := from.Apply(change)
		assert.Assert(t, ok)
		assert.DeepEqual(t, got.VMs(), to.VMs())
		if change.BaseChecksum != 0 && other.Checksum() != from.Checksum() {
			_, ok = other.Apply(change)
			assert.Assert(t, !ok, "a change was applied to another table")
		}
		change.Checksum++
		_, ok = from.Apply(change)
		assert.Assert(t, !ok, "a change with a wrong checksum was applied")
	}
}

// Guards against an unresponsive VM that is not reported missing although the list
// contains it or cannot be read, and against one that is still reported after it
// was removed from the list.
func TestMembersMissing(t *testing.T) {
	m := fleet.NewMembers(record("a", "a", fleet.Live))
	missing := func(now time.Duration) string {
		return fmt.Sprint(m.Missing(at(now), m.Live(at(now))))
	}
	m.Observe(at(0), record("b1", "b", fleet.Live), at(0))
	assert.Equal(t, missing(0), "[]")
	assert.Equal(t, missing(time.Minute), fmt.Sprint([]fleet.VM{record("b1", "b", fleet.Live)}))
	m.ApplyList(at(time.Minute), []fleet.VM{record("c", "c", fleet.Live)})
	assert.Equal(t, missing(time.Minute), fmt.Sprint([]fleet.VM{record("c", "c", fleet.Live)}))
	m.ApplyList(at(time.Minute+time.Second), nil)
	assert.Equal(t, missing(time.Minute+time.Second), "[]")
}
