package mesh

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mirror"
)

// Guards against an era that is believed too early, and against one that was wrong and
// keeps the fleet from the true store.
func TestErasThatAreBelieved(t *testing.T) {
	const huge = 1 << 60
	for name, c := range map[string]struct {
		known    uint64
		interval time.Duration
		reads    []uint64
		want     []bool
	}{
		"same and next":             {5, time.Second, []uint64{5, 6, 5 + maxEraStep}, []bool{true, true, true}},
		"first one":                 {0, time.Second, []uint64{maxEraStep}, []bool{true}},
		"absurd once":               {5, time.Second, []uint64{huge, 5, huge, huge, 6, huge}, []bool{false, true, false, false, true, false}},
		"absurd again and again":    {5, time.Second, []uint64{huge, huge, huge}, []bool{false, false, true}},
		"two absurd ones":           {5, time.Second, []uint64{huge, huge + 1, huge, huge, huge}, []bool{false, false, false, false, true}},
		"late answers":              {5, time.Second, []uint64{4, 4, 4, 4, 5}, []bool{false, false, false, false, true}},
		"former one was wrong":      {huge, 4 * time.Second, []uint64{5, 5, 5, 5}, []bool{false, false, false, true}},
		"store without eras":        {5, 6 * time.Second, []uint64{0, 0, 0}, []bool{false, false, true}},
		"late answers between true": {5, 6 * time.Second, []uint64{4, 5, 4, 5, 4, 5}, []bool{false, true, false, true, false, true}},
	} {
		var e eraEvidence
		for i, read := range c.reads {
			assert.Equal(t, e.judge(epoch.Add(time.Duration(i)*c.interval), c.known, read), c.want[i], "%s, read %d", name, i)
		}
	}
}

// Guards against answers of other eras, at any time, that are applied or confirm the
// copy: late answers, a watch that a new store answers, messages of VMs that lag.
func TestAnswersOfOtherEras(t *testing.T) {
	at := func(era, revision uint64) mirror.Version { return mirror.Version{Era: era, Revision: revision} }
	update := func(era, revision uint64, full bool) *mirror.Update {
		return &mirror.Update{Era: era, Revision: revision, Full: full, Entries: []mirror.Entry{{Key: "b", Revision: revision}}}
	}
	now := epoch.Add(800 * time.Millisecond)
	read := func(era, revision uint64, full bool) StoreRead {
		return StoreRead{Sent: now, Update: update(era, revision, full)}
	}
	reply := func(era uint64, u *mirror.Update) HeartbeatAnswered {
		return HeartbeatAnswered{Peer: "hub", Sent: now, Reply: &HeartbeatReply{From: Node{ID: "hub", Peer: "hub"}, StatesEra: true, StoreEra: era, Update: u}}
	}
	const absurd = 1 << 50
	for name, c := range map[string]struct {
		event     Event
		version   mirror.Version
		confirmed bool
		listing   bool // the next read is a listing
	}{
		"watch":                      {read(5, 12, false), at(5, 12), true, false},
		"late listing":               {read(4, 90, true), at(5, 10), false, false},
		"late watch":                 {read(4, 90, false), at(5, 10), false, false},
		"watch of the next era":      {read(6, 12, false), at(5, 10), false, true},
		"listing of the next era":    {read(6, 7, true), at(6, 7), true, false},
		"absurd listing":             {read(absurd, 99, true), at(5, 10), false, false},
		"failure of the next era":    {StoreFailed{Era: 6}, at(5, 10), false, true},
		"history gone":               {StoreFailed{HistoryGone: true, Era: 5}, at(5, 10), false, true},
		"reply of the era":           {reply(5, update(5, 12, false)), at(5, 12), true, false},
		"reply without news":         {reply(5, nil), at(5, 10), true, false},
		"reply of an earlier era":    {reply(4, nil), at(5, 10), false, false},
		"late update":                {reply(4, update(4, 90, true)), at(5, 10), false, false},
		"reply of the next era":      {reply(6, update(6, 7, true)), at(6, 7), true, false},
		"old reply of another era":   {HeartbeatAnswered{Peer: "hub", Sent: epoch, Reply: reply(6, update(6, 7, true)).Reply}, at(5, 10), false, false},
		"absurd reply":               {reply(absurd, update(absurd, 99, true)), at(5, 10), false, false},
		"late delta":                 {Delta{After: at(4, 80), Update: update(4, 90, false)}, at(5, 10), false, false},
		"delta of the era":           {Delta{After: at(5, 9), Update: update(5, 11, false)}, at(5, 11), false, false},
		"delta with a gap":           {Delta{After: at(5, 11), Update: update(5, 12, false)}, at(5, 10), false, false},
		"full delta of the next era": {Delta{Update: update(6, 7, true)}, at(6, 7), false, false},
		"delta of the next era":      {Delta{After: at(5, 9), Update: update(6, 7, false)}, at(5, 10), false, false},
		"delta of an older build":    {Delta{After: at(0, 9), Update: update(0, 30, false)}, at(5, 10), false, false},
		"absurd delta":               {Delta{Update: update(absurd, 99, true)}, at(5, 10), false, false},
	} {
		m := New(epoch, Settings{Self: Node{ID: "a", Peer: "a"}})
		m.Step(epoch, StoreRead{Sent: epoch, Update: update(5, 10, true)})
		before := m.storeCopy.ConfirmedAt()
		m.Step(now, Tick{})
		m.Step(now, c.event)
		assert.Equal(t, m.storeCopy.Version(), c.version, name)
		assert.Equal(t, m.storeCopy.ConfirmedAt().After(before), c.confirmed, name)
		m.readInFlight = false // so that the next read shows what it asks for
		for _, a := range m.Step(now.Add(4*time.Second), Tick{}) {
			if r, ok := a.(ReadStore); ok {
				assert.Equal(t, r.After == 0, c.listing, name)
			}
		}
	}
}

// Guards against a watch that began in an earlier era and counts as the changes after
// the copy, which has come to the new era meanwhile: entries between were missed.
func TestWatchOfAnEarlierEra(t *testing.T) {
	m := New(epoch, Settings{Self: Node{ID: "a", Peer: "a"}})
	m.Step(epoch, StoreRead{Sent: epoch, Update: &mirror.Update{Full: true, Era: 5, Revision: 100}})
	now := epoch.Add(time.Second)
	m.Step(now, Tick{})
	assert.Assert(t, m.readInFlight)
	m.Step(now, Delta{Update: &mirror.Update{Full: true, Era: 6, Revision: 90}})
	m.Step(now, StoreRead{Sent: now, Update: &mirror.Update{Era: 6, Revision: 101}})
	assert.Equal(t, m.storeCopy.Version(), mirror.Version{Era: 6, Revision: 90})
}

// Guards against a fleet that goes back to an era that proved wrong because one of its
// VMs still holds it.
func TestErasThatProvedWrongAreForgotten(t *testing.T) {
	const wrongEra = 50 // believed at once
	m := New(epoch, Settings{Self: Node{ID: "a", Peer: "a"}})
	now := epoch
	read := func(era uint64) {
		now = now.Add(4 * time.Second)
		m.Step(now, StoreRead{Sent: now, Update: &mirror.Update{Full: true, Era: era, Revision: 10}})
	}
	for _, era := range []uint64{5, wrongEra} {
		read(era)
	}
	assert.Equal(t, m.storeCopy.Version().Era, uint64(wrongEra))
	for range 4 {
		read(5)
	}
	assert.Equal(t, m.storeCopy.Version().Era, uint64(5))
	wrong := &mirror.Update{Full: true, Era: wrongEra, Revision: 11}
	m.Step(now, Delta{Update: wrong})
	m.Step(now, HeartbeatAnswered{Peer: "hub", Sent: now, Reply: &HeartbeatReply{From: Node{ID: "hub", Peer: "hub"}, StatesEra: true, StoreEra: wrongEra, Update: wrong}})
	assert.Equal(t, m.storeCopy.Version().Era, uint64(5))
}

// Guards against VMs that do not learn what others keep: a hub that has restarted from
// those that send it heartbeats, and these from the hub. What is kept as removed is no
// lapse, although the store has just returned.
func TestPastEntriesSpreadBothWays(t *testing.T) {
	entries := func(texts ...string) (all []mirror.Entry) {
		for i, text := range texts {
			key, value, _ := strings.Cut(text, "=")
			all = append(all, mirror.Entry{Key: key, Value: []byte(value), Revision: uint64(i + 1)})
		}
		return all
	}
	var e eraState
	newVM := func(id fleet.VMID) *Machine {
		return New(epoch, Settings{Self: Node{ID: id, Peer: string(id), StartedUnixMs: 1}, Outlives: e.outlives(id)})
	}
	hub, vm := newVM("hub"), newVM("vm")
	old := &mirror.Update{Full: true, Era: 2, Revision: 9, Entries: entries("config=1", "target/x=1 1 ready")}
	vm.Step(epoch, StoreRead{Sent: epoch, Update: &mirror.Update{Full: true, Era: 1, Revision: 20, Entries: entries("config=2", "zone/z=1")}})
	vm.Step(epoch, StoreRead{Sent: epoch, Update: old})
	hub.Step(epoch, StoreRead{Sent: epoch, Update: old})
	exchange := func(from, to *Machine) (published []Action) {
		address := string(to.self.Peer)
		from.heartbeats[address] = cmp.Or(from.heartbeats[address], &heartbeatState{})
		asked := to.Step(epoch, Heartbeat{Request: from.heartbeatRequest(epoch, address)})
		for _, a := range asked {
			if answer, ok := a.(AnswerHeartbeat); ok {
				published = from.Step(epoch, HeartbeatAnswered{Peer: address, Sent: epoch, Reply: answer.Reply})
			}
		}
		return append(published, asked...)
	}
	exchange(vm, hub)
	exchange(vm, hub)
	assert.DeepEqual(t, hub.storeCopy.Past(), vm.storeCopy.Past())
	assert.Equal(t, len(hub.storeCopy.Past().Entries), 3)

	third := newVM("third")
	third.Step(epoch, StoreRead{Sent: epoch, Update: old})
	third.outage.regainedAt = epoch
	removed := false
	for _, a := range exchange(third, hub) {
		if changed, ok := a.(EntriesChanged); ok {
			for _, entry := range changed.Entries {
				removed = removed || entry.Key == "target/x" && entry.Deleted && changed.LapseEndOf(&entry).IsZero() && !changed.LapseEnd.IsZero()
			}
		}
	}
	assert.Assert(t, removed)
	assert.DeepEqual(t, third.storeCopy.Past(), hub.storeCopy.Past())
}

// Guards against a zone that stays out at a VM for good: the VM could not see that the
// operator wrote the zone's entry in the new era and removed it, and got all entries
// instead of the changes since.
func TestDecisionsOnPastEntriesArriveWithAllEntries(t *testing.T) {
	var e eraState
	newVM := func(id fleet.VMID) *Machine {
		vm := New(epoch, Settings{Self: Node{ID: id, Peer: string(id), StartedUnixMs: 1}, Outlives: e.outlives(id)})
		vm.Step(epoch, StoreRead{Sent: epoch, Update: &mirror.Update{Full: true, Era: 1, Revision: 20, Entries: []mirror.Entry{{Key: "zone/z", Value: []byte("1"), Revision: 20}}}})
		vm.Step(epoch, StoreRead{Sent: epoch, Update: &mirror.Update{Full: true, Era: 2, Revision: 10}})
		return vm
	}
	hub, vm := newVM("hub"), newVM("vm")
	assert.Equal(t, len(vm.storeCopy.Past().Entries), 1)
	now := epoch.Add(time.Second)
	hub.Step(now, Tick{})
	zone := mirror.Entry{Key: "zone/z", Value: []byte("2"), Revision: 11}
	hub.Step(now, StoreRead{Sent: now, Update: &mirror.Update{Era: 2, Revision: 11, Entries: []mirror.Entry{zone}}})
	hub.Step(now, StoreRead{Sent: now, Update: &mirror.Update{Full: true, Era: 2, Revision: 12}})
	assert.Equal(t, len(hub.storeCopy.Past().Entries), 0)
	for _, a := range hub.Step(now, Heartbeat{Request: vm.heartbeatRequest(epoch, "hub")}) {
		if answer, ok := a.(AnswerHeartbeat); ok {
			assert.Assert(t, answer.Reply.Update.Full)
			vm.Step(now, HeartbeatAnswered{Peer: "hub", Sent: now, Reply: answer.Reply})
		}
	}
	assert.Equal(t, len(vm.storeCopy.Past().Entries), 0)
}

// drill writes what operator and targets do around a rewind, during which a fault lasts.
func (s *simulation) drill(lasts time.Duration, fault func(on bool)) {
	target := func(name, process, state string) {
		s.put("target/"+name, fmt.Sprintf("%s %d %s", process, s.eras.written+1, state))
	}
	s.eras.era, s.eras.ended = 1, map[string]bool{"target/ends of 1": true}
	s.put("config", "1")
	for _, name := range []string{"stays", "drains", "ends", "restarts", "silent", "unchanged"} {
		target(name, "1", "ready")
	}
	s.run(3 * time.Second)
	copied := s.now
	s.run(100 * time.Millisecond)
	s.put("config", "2")
	s.put("zone/out", fmt.Sprint(s.eras.written+1))
	target("drains", "1", "draining")
	target("restarts", "2", "ready")
	target("lost", "1", "ready")
	target("dies", "1", "ready")
	s.remove("target/ends")
	s.run(4 * time.Second)
	fault(true)
	s.storeDown = true
	s.run(500 * time.Millisecond)
	s.rewind(copied)
	s.storeDown = false
	s.run(lasts)
	fault(false)
	for id, v := range s.vms {
		d, missing := v.deleted["target/lost"]
		assert.Assert(s.t, !missing || d.lapseEnd.After(d.at) && d.lapseEnd.Sub(d.at) <= lapseGrace || s.eras.old[id], "%s: a lost target counts as removed", id)
	}
	for i := range 10 {
		if i == 3 { // the store expires an entry that nobody writes
			s.remove("target/silent")
		}
		target("stays", "1", "ready")
		target("lost", "1", "ready")
		target("restarts", "2", "ready")
		s.run(renewal)
	}
}

// assertDrilled checks what the VMs that know eras hold after a drill.
func (s *simulation) assertDrilled() {
	for id, v := range s.vms {
		if !v.running || s.eras.old[id] {
			continue
		}
		assert.Equal(s.t, v.accepted.config, uint64(2), "%s", id)
		snapshot := v.accepted.builder.Snapshot()
		assert.Assert(s.t, snapshot.ZonesOut["out"], "%s", id)
		ready := make(map[string]int64)
		for _, target := range snapshot.Targets {
			if !target.Draining {
				ready[target.ID] = target.StartedUnixMs
			}
		}
		assert.DeepEqual(s.t, ready, map[string]int64{"stays": 1, "lost": 1, "restarts": 2, "unchanged": 1})
		assert.Equal(s.t, v.view.Store.Era, uint64(2))
		assert.Assert(s.t, s.now.Sub(v.view.Confirmed) < 4*time.Second, "%s: %v", id, s.now.Sub(v.view.Confirmed))
	}
	s.put("config", "3")
	s.put("zone/out", fmt.Sprint(s.eras.written+1))
	s.run(4 * time.Second)
	s.remove("zone/out")
	s.run(5 * time.Second)
	for id, v := range s.vms {
		if v.running && !s.eras.old[id] {
			assert.Equal(s.t, v.accepted.config, uint64(3), "%s", id)
			assert.Assert(s.t, !v.accepted.builder.Snapshot().ZonesOut["out"], "%s", id)
		}
	}
}

// Guards against a fleet that takes back what it has accepted when the store returns
// from an older copy, whichever of its VMs fail at that moment, and against VMs that
// end with different entries.
func TestFaultStoreRewound(t *testing.T) {
	faults := map[string]func(s *simulation, on bool){
		"none":               func(*simulation, bool) {},
		"reader killed":      func(s *simulation, _ bool) { s.vms["vm000"].running = false },
		"reader restarted":   func(s *simulation, on bool) { s.restart("vm000", on) },
		"VM restarted":       func(s *simulation, on bool) { s.restart(s.order[len(s.order)-1], on) },
		"reader frozen":      func(s *simulation, on bool) { s.frozen["vm000"] = on },
		"reader cut off":     func(s *simulation, on bool) { s.partitioned["vm000"] = on },
		"reader turned away": func(s *simulation, on bool) { s.storeDenied["vm000"] = on },
	}
	for name, fault := range faults {
		for _, vms := range outageFleets(2, 5, 30) {
			t.Run(fmt.Sprintf("%s, %d VMs", name, vms), func(t *testing.T) {
				s := newSimulation(t, vms)
				s.drill(1200*time.Millisecond, func(on bool) { fault(s, on) })
				s.assertDrilled()
			})
		}
	}
}

// Guards against VMs that are misled by others of an older build, which state no era,
// and against changes that do not reach the one build from the other.
func TestFaultRewindWithOlderBuilds(t *testing.T) {
	for _, oldVMs := range [][]fleet.VMID{{"vm000"}, {"vm000", "vm001"}, {"vm003", "vm004"}, {"vm000", "vm001", "vm002", "vm003"}} {
		t.Run(fmt.Sprint(oldVMs), func(t *testing.T) {
			s := newSimulation(t, 0)
			s.put("config", "0")
			s.eras.old = make(map[fleet.VMID]bool)
			for _, id := range oldVMs {
				s.eras.old[id] = true
			}
			s.eras.era = 1
			for i := range 5 {
				id := fleet.VMID(fmt.Sprintf("vm%03d", i))
				s.order, s.seeds = append(s.order, id), append(s.seeds, string(id))
			}
			for _, id := range s.order {
				s.start(id)
			}
			s.run(3 * time.Second)
			s.write("other", 1)
			s.run(3 * time.Second)
			s.assertPropagated("other")
			for id, v := range s.vms {
				assert.Equal(t, v.view.Store.Rewinds, 0, "%s", id)
			}
			s.drill(1200*time.Millisecond, func(bool) {})
			s.assertDrilled()
		})
	}
}

// restart ends a VM, or starts it again with a new process.
func (s *simulation) restart(id fleet.VMID, end bool) {
	s.vms[id].running = false
	if !end {
		s.start(id)
	}
}
