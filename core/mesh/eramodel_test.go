package mesh

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
)

var (
	eraSteps = flag.Int("era-steps", 1200, "steps of TestFaultErasModel; 200,000 take some minutes")
	eraSeed  = flag.Uint64("era-seed", 1, "seed of TestFaultErasModel")
)

const (
	stepsPerFleet = 60 // after which a model run checks that its fleet agrees, and starts another one
	renewal       = 1200 * time.Millisecond
	expiry        = 2500 * time.Millisecond // of an entry that is not renewed
)

// eraModel plays random faults and writes on a small fleet. It knows what operator and
// targets have done, whatever the store shows.
type eraModel struct {
	*simulation
	random  *rand.Rand
	config  int
	zones   map[string]bool         // that the operator has out
	targets map[string]*modelTarget // by key, dead ones included until they expire
	renewed map[string]time.Time    // last write of a target's entry, or return of the store
	lost    []func()                // writes of the operator that wait for the store
	wrong   bool                    // answers may state wrong eras
}

type modelTarget struct {
	process int
	alive   bool
	state   string
}

func newEraModel(t *testing.T, random *rand.Rand) *eraModel {
	m := &eraModel{simulation: newSimulation(t, 0), random: random, zones: make(map[string]bool), targets: make(map[string]*modelTarget), renewed: make(map[string]time.Time)}
	m.eras.era, m.eras.ended = uint64(1+random.IntN(3)), make(map[string]bool)
	m.put("config", "0")
	for i := range 1 + random.IntN(5) {
		id := fleet.VMID(fmt.Sprintf("vm%03d", i))
		m.order, m.seeds = append(m.order, id), append(m.seeds, string(id))
	}
	for _, id := range m.order {
		m.start(id)
	}
	m.pass(2 * time.Second)
	return m
}

// pass lets time pass, in which live targets renew their entries and others expire.
func (m *eraModel) pass(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.run(50 * time.Millisecond) {
		if m.storeDown {
			continue
		}
		for _, key := range slices.Sorted(maps.Keys(m.targets)) {
			if target := m.targets[key]; target.alive && m.now.Sub(m.renewed[key]) >= renewal {
				m.writeTarget(key)
			}
		}
		for _, e := range slices.Clone(m.store) {
			if strings.HasPrefix(e.Key, "target/") && !e.Deleted && m.now.Sub(m.renewed[e.Key]) > expiry {
				m.write(e.Key, 0)
				m.store[len(m.store)-1].Deleted = true
				m.eras.writes[len(m.eras.writes)-1].entry.Deleted = true
			}
		}
	}
}

func (m *eraModel) writeTarget(key string) {
	m.renewed[key] = m.now
	target := m.targets[key]
	m.put(key, fmt.Sprintf("%d %d %s", target.process, m.eras.written+1, target.state))
}

// operate makes the operator write the present configuration and zones.
func (m *eraModel) operate(zone string) {
	if m.storeDown {
		m.lost = append(m.lost, func() { m.operate(zone) })
		return
	}
	switch {
	case zone == "":
		m.put("config", fmt.Sprint(m.config))
	case m.zones[zone]:
		m.put(zone, fmt.Sprint(m.eras.written+1))
	default:
		m.remove(zone)
	}
}

// returnFrom ends an outage. The store returns from a copy unless back is zero, and the
// operator writes again what was lost.
func (m *eraModel) returnFrom(back time.Duration) {
	m.storeDown = false
	if back > 0 {
		m.rewind(m.now.Add(-back))
		for key := range m.targets {
			m.renewed[key] = m.now.Add(-time.Duration(m.random.Int64N(int64(renewal))))
		}
		for _, e := range m.store {
			if m.targets[e.Key] == nil {
				m.renewed[e.Key] = m.now
			}
		}
		m.pass(time.Duration(m.random.IntN(1500)) * time.Millisecond)
		m.operate("")
		for zone := range m.zones {
			m.operate(zone)
		}
	}
	for _, write := range m.lost {
		write()
	}
	m.lost = nil
}

// step plays one random event.
func (m *eraModel) step() {
	id := m.order[m.random.IntN(len(m.order))]
	zone := fmt.Sprintf("zone/%d", m.random.IntN(2))
	key := fmt.Sprintf("target/%d", m.random.IntN(4))
	switch m.random.IntN(14) {
	case 0:
		m.config++
		m.operate("")
	case 1, 2:
		m.zones[zone] = !m.zones[zone]
		m.operate(zone)
	case 3, 4, 5:
		m.stepTarget(key)
	case 6:
		m.partitioned[id] = !m.partitioned[id]
	case 7:
		m.frozen[id] = !m.frozen[id]
	case 8:
		m.storeDenied[id] = !m.storeDenied[id]
	case 9:
		if len(m.order) > 1 {
			m.restart(id, false)
		}
	case 10, 11:
		if !m.wrong { // a rewind that the era does not show can't be known
			m.storeDown = true
			m.pass(time.Duration(m.random.IntN(1500)) * time.Millisecond)
			m.returnFrom(time.Duration(m.random.IntN(6000)) * time.Millisecond)
		}
	case 12:
		m.storeDown = true
		m.pass(time.Duration(m.random.IntN(3000)) * time.Millisecond)
		m.returnFrom(0)
	case 13:
		m.stateWrongEras()
	}
	m.pass(time.Duration(m.random.IntN(800)) * time.Millisecond)
}

func (m *eraModel) stepTarget(key string) {
	target := m.targets[key]
	switch {
	case m.storeDown:
	case target == nil || !target.alive:
		process := 1
		if target != nil {
			process = target.process + 1
		}
		m.targets[key] = &modelTarget{process: process, alive: true, state: "ready"}
		m.writeTarget(key)
	case target.state == "ready" && m.random.IntN(2) == 0:
		target.state = "draining"
		m.writeTarget(key)
	case m.random.IntN(2) == 0:
		target.alive = false // without a word
	default:
		target.alive = false
		m.eras.ended[processOf(key, fmt.Sprint(target.process))] = true
		m.remove(key)
	}
}

// stateWrongEras makes some answers state an era that is missing, late or absurd, or
// all of them.
func (m *eraModel) stateWrongEras() {
	m.wrong = !m.wrong
	if !m.wrong {
		m.eras.stated = nil
		return
	}
	wrong, percent := []uint64{0, 1, 1 << 62, 1<<64 - 1}[m.random.IntN(4)], []int{20, 100}[m.random.IntN(2)]
	m.eras.stated = func(fleet.VMID) uint64 {
		if m.random.IntN(100) < percent {
			return wrong
		}
		return m.eras.era
	}
}

// settle ends all faults and checks that all VMs come to hold the same, and what the
// store and the operator have.
func (m *eraModel) settle() {
	m.eras.stated, m.wrong = nil, false
	clear(m.partitioned)
	clear(m.frozen)
	clear(m.storeDenied)
	m.pass(22 * time.Second) // an era that proved wrong is given up after 10 s
	for zone, out := range m.zones {
		if !out { // a removal that the store lost, and no read saw when it was repeated
			m.put(zone, fmt.Sprint(m.eras.written+1))
			m.pass(4 * time.Second)
			m.remove(zone)
		}
	}
	m.pass(4 * time.Second)
	want := make(map[string]string)
	for _, e := range m.store {
		if !e.Deleted {
			want[e.Key] = withoutSequence(e.Key, string(e.Value))
		}
	}
	for _, id := range m.order {
		v := m.vms[id]
		assert.Equal(m.t, v.view.Store.Era, m.eras.era, "%s", id)
		assert.Assert(m.t, m.now.Sub(v.view.Confirmed) < 4*time.Second, "%s: %v", id, m.now.Sub(v.view.Confirmed))
		assert.Equal(m.t, v.accepted.config, uint64(m.config), "%s", id)
		got := make(map[string]string)
		for key, value := range v.accepted.values {
			got[key] = withoutSequence(key, value)
		}
		assert.DeepEqual(m.t, got, want)
	}
}

// withoutSequence returns a value without the number of its write, which may be under way.
func withoutSequence(key, value string) string {
	if words := strings.Fields(value); strings.HasPrefix(key, "target/") && len(words) == 3 {
		return words[0] + " " + words[2]
	}
	return value
}

// Guards against VMs that take back what they have accepted, or that end with other
// entries than the store, after any sequence of rewinds, outages, wrong eras, losses of
// VMs and links, and writes.
func TestFaultErasModel(t *testing.T) {
	for done, seed := 0, *eraSeed; done < *eraSteps; done, seed = done+stepsPerFleet, seed+1 {
		m := newEraModel(t, rand.New(rand.NewPCG(seed, 0)))
		ended := t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m.t = t
			for range stepsPerFleet {
				m.step()
			}
			m.settle()
		})
		if !ended {
			t.Fatalf("run it alone with -era-seed=%d -era-steps=%d", seed, stepsPerFleet)
		}
	}
}
