package serve

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/mesh"
)

// crashWindow is the longest time between the loss of a target's connections and a
// refused new connection for which the loss counts as a crash.
const crashWindow = time.Second

// crashes counts the targets that each request content has crashed, by the
// fingerprint of the content.
type crashes struct{ byFingerprint map[uint64]*crashCount }

type crashCount struct {
	count uint32
	at    time.Time // last crash
}

func newCrashes() crashes { return crashes{byFingerprint: make(map[uint64]*crashCount)} }

func (c *crashes) add(now time.Time, fingerprint uint64) {
	n := c.byFingerprint[fingerprint]
	if n == nil {
		if len(c.byFingerprint) >= mesh.MaxCrashContents {
			c.dropOldest()
		}
		n = &crashCount{}
		c.byFingerprint[fingerprint] = n
	}
	n.count++
	n.at = now
}

func (c *crashes) dropOldest() {
	var oldest uint64
	var at time.Time
	for fingerprint, n := range c.byFingerprint {
		if at.IsZero() || n.at.Before(at) {
			oldest, at = fingerprint, n.at
		}
	}
	delete(c.byFingerprint, oldest)
}

// blocked reports whether this VM has seen the content crash mesh.CrashesToBlock
// targets.
func (c *crashes) blocked(now time.Time, fingerprint uint64) bool {
	n := c.byFingerprint[fingerprint]
	return n != nil && n.count >= mesh.CrashesToBlock && now.Sub(n.at) <= mesh.CrashRetention
}

// list returns the counts for the other VMs and removes those that are too old.
func (c *crashes) list(now time.Time) []mesh.Crash {
	var all []mesh.Crash
	for fingerprint, n := range c.byFingerprint {
		if now.Sub(n.at) > mesh.CrashRetention {
			delete(c.byFingerprint, fingerprint)
			continue
		}
		all = append(all, mesh.Crash{Fingerprint: fingerprint, Count: n.count, Age: now.Sub(n.at)})
	}
	slices.SortFunc(all, func(a, b mesh.Crash) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// recordLostConn remembers the request of a lost connection, in case the target
// turns out to have crashed.
func (t *target) recordLostConn(now time.Time, fingerprint uint64) {
	if now.Sub(t.connsLostAt) > crashWindow {
		t.lostFingerprints = t.lostFingerprints[:0]
	}
	t.connsLostAt = now
	t.lostFingerprints = append(t.lostFingerprints, fingerprint)
}

// detectCrash handles a refused connection. If the target lost connections with
// attempts in flight shortly before, its process has ended, and each request in
// flight is counted as one that may have crashed it.
func (e *Engine) detectCrash(now time.Time, t *target) {
	if len(t.lostFingerprints) == 0 || now.Sub(t.connsLostAt) > crashWindow {
		t.lostFingerprints = nil
		return
	}
	slices.Sort(t.lostFingerprints)
	for _, fingerprint := range slices.Compact(t.lostFingerprints) {
		e.crashes.add(now, fingerprint)
	}
	e.emit(LogEvent{Event: LogTargetCrashed, Service: t.service.name, Target: t.reg.ID, Count: len(t.lostFingerprints)})
	t.lostFingerprints = nil
}
