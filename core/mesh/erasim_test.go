package mesh

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/mirror"
)

// eraState is what a simulation needs for a store that returns from older copies.
type eraState struct {
	era     uint64
	stated  func(id fleet.VMID) uint64 // replaces the era in answers, unless nil
	old     map[fleet.VMID]bool        // VMs of an older build, which knows no eras
	writes  []storeWrite
	removed map[string]int  // by key: the number of its last deletion by the operator
	ended   map[string]bool // processes of targets that removed their entries
	written int             // number of writes, in all eras
}

// storeWrite is a change of the store and its time.
type storeWrite struct {
	at    time.Time
	entry mirror.Entry
}

// acceptedState is what one process of a VM has accepted.
type acceptedState struct {
	builder *catalog.Builder
	values  map[string]string // of the entries that count
	config  uint64
	out     map[string]uint64 // by process: the write by which a target drained or was removed
}

func newAcceptedState() *acceptedState {
	return &acceptedState{builder: catalog.NewBuilder(), values: make(map[string]string), out: make(map[string]uint64)}
}

func (s *simulation) recordWrite() {
	s.eras.written++
	s.eras.writes = append(s.eras.writes, storeWrite{at: s.now, entry: s.store[len(s.store)-1]})
}

func (s *simulation) recordDeletion() {
	s.eras.writes[len(s.eras.writes)-1].entry.Deleted = true
	if s.eras.removed == nil {
		s.eras.removed = make(map[string]int)
	}
	s.eras.removed[s.store[len(s.store)-1].Key] = s.eras.written
}

// put writes an entry. The value of a zone out and the sequence of a target is the
// number of the write, which no rewind takes back.
func (s *simulation) put(key, value string) {
	s.write(key, 0)
	e := &s.store[len(s.store)-1]
	e.Value = []byte(value)
	s.eras.writes[len(s.eras.writes)-1].entry = *e
}

// rewind makes the store return with its content of an earlier time, and the next era.
func (s *simulation) rewind(to time.Time) {
	s.eras.era++
	s.eras.writes = slices.DeleteFunc(s.eras.writes, func(w storeWrite) bool { return w.at.After(to) })
	s.store, s.revision = nil, 1
	for _, w := range s.eras.writes {
		s.store = slices.DeleteFunc(s.store, func(e mirror.Entry) bool { return e.Key == w.entry.Key })
		s.store, s.revision = append(s.store, w.entry), w.entry.Revision
	}
}

// statedEra returns the era that an answer to a VM states.
func (s *simulation) statedEra(id fleet.VMID) uint64 {
	switch {
	case s.eras.old[id]:
		return 0
	case s.eras.stated != nil:
		return s.eras.stated(id)
	}
	return s.eras.era
}

func (s *simulation) listing(id fleet.VMID, entries []mirror.Entry) *mirror.Update {
	if s.eras.era > 0 {
		entries = slices.DeleteFunc(entries, func(e mirror.Entry) bool { return e.Deleted })
	}
	return &mirror.Update{Entries: entries, Full: true, Era: s.statedEra(id), Revision: s.revision}
}

// withoutEras reports whether one of two VMs knows no eras.
func (s *simulation) withoutEras(a, b fleet.VMID) bool { return s.eras.old[a] || s.eras.old[b] }

func (s *simulation) requestBetween(from, to fleet.VMID, r *HeartbeatRequest) *HeartbeatRequest {
	if !s.withoutEras(from, to) {
		return r
	}
	stripped := *r
	stripped.StatesEra, stripped.StoreEra, stripped.PastKnown, stripped.Past = false, 0, nil, nil
	return &stripped
}

func (s *simulation) replyBetween(from, to fleet.VMID, r *HeartbeatReply) *HeartbeatReply {
	if !s.withoutEras(from, to) {
		return r
	}
	stripped := *r
	stripped.StatesEra, stripped.StoreEra, stripped.PastKnown, stripped.Past = false, 0, nil, nil
	stripped.Update = withoutEra(r.Update)
	return &stripped
}

func (s *simulation) deltaBetween(from, to fleet.VMID, d Delta) Delta {
	if s.withoutEras(from, to) {
		d.After.Era, d.Update = 0, withoutEra(d.Update)
	}
	return d
}

func withoutEra(u *mirror.Update) *mirror.Update {
	if u == nil {
		return nil
	}
	stripped := *u
	stripped.Era, stripped.EraStart = 0, 0
	return &stripped
}

// outlives is the decision of the catalog for the entries of a simulation.
func (e *eraState) outlives(id fleet.VMID) mirror.Outlives {
	if e.old[id] {
		return nil
	}
	return func(past, present mirror.Entry, written bool) mirror.Reason {
		return catalog.Outlives(decodeEntry(past), decodeEntry(present), written)
	}
}

// decodeEntry returns the meaning of an entry: config holds a version, zone/NAME
// anything, and target/NAME the process, the sequence and the state.
func decodeEntry(e mirror.Entry) catalog.Change {
	kind, name, _ := strings.Cut(e.Key, "/")
	switch {
	case kind == "zone" && e.Deleted:
		return catalog.ZoneIn{Zone: name}
	case kind == "zone":
		return catalog.ZoneOut{Zone: name}
	case kind == "target" && e.Deleted:
		return catalog.TargetRemoved{ID: name}
	case kind == "target":
		t := &catalog.Target{ID: name}
		state := ""
		_, _ = fmt.Sscan(string(e.Value), &t.StartedUnixMs, &t.Sequence, &state)
		t.Draining = state == "draining"
		return catalog.TargetUpdated{Target: t}
	case e.Deleted, e.Key != "config":
		return nil
	}
	c := &catalog.Config{}
	_, _ = fmt.Sscan(string(e.Value), &c.Version)
	return catalog.ConfigUpdated{Config: c}
}

// accept records what a VM publishes, and checks it against the log of all writes,
// which no rewind takes back.
func (s *simulation) accept(v *vm, changed *EntriesChanged) {
	if s.eras.era == 0 || s.eras.old[v.node.ID] {
		return
	}
	a := v.accepted
	for _, e := range changed.Entries {
		change := decodeEntry(e)
		if change != nil {
			a.builder.Apply(change, changed.LapseEndOf(&e))
		}
		before, had := a.values[e.Key]
		delete(a.values, e.Key)
		if !e.Deleted {
			a.values[e.Key] = string(e.Value)
		}
		switch change := change.(type) {
		case catalog.ZoneIn:
			var written int
			_, _ = fmt.Sscan(before, &written)
			assert.Assert(s.t, !had || s.eras.removed[e.Key] > written, "%s at %v: %s is in service though nobody took it back", v.node.ID, s.now.Sub(epoch), e.Key)
		case catalog.TargetRemoved:
			if p := processOf(e.Key, before); had && s.eras.ended[p] && changed.LapseEndOf(&e).IsZero() {
				a.out[p] = math.MaxUint64
			}
		case catalog.TargetUpdated:
			p, sequence := processOf(e.Key, string(e.Value)), change.Target.Sequence
			if change.Target.Draining {
				a.out[p] = max(a.out[p], sequence)
				continue
			}
			assert.Assert(s.t, sequence > a.out[p], "%s at %v: %s is ready by its write %d, out since %d", v.node.ID, s.now.Sub(epoch), p, sequence, a.out[p])
		}
	}
	if c := a.builder.Snapshot().Config; c != nil {
		assert.Assert(s.t, c.Version >= a.config, "%s: configuration %d after %d", v.node.ID, c.Version, a.config)
		a.config = c.Version
	}
}

// processOf returns the key of a target with the start of the process that wrote a value.
func processOf(key, value string) string {
	started, _, _ := strings.Cut(value, " ")
	return key + " of " + started
}
