package serve

import (
	"cmp"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/mesh"
)

const (
	// crashWindow is how soon after the loss of its connections a target must
	// refuse new ones for the loss to be taken for a crash.
	crashWindow = time.Second
	crashMemory = time.Minute // a request without another crash for so long is let in again
	crashLimit  = 3           // targets that a request may crash before it is blocked
	maxCrashes  = 256         // requests that are remembered
)

// crashes counts the targets that each request content has crashed.
type crashes struct{ byPrint map[uint64]*crashCount }

type crashCount struct {
	count uint32
	at    time.Time
}

func newCrashes() crashes { return crashes{byPrint: make(map[uint64]*crashCount)} }

func (c *crashes) add(now time.Time, print uint64) {
	n := c.byPrint[print]
	if n == nil {
		if len(c.byPrint) >= maxCrashes {
			c.dropOldest()
		}
		n = &crashCount{}
		c.byPrint[print] = n
	}
	n.count++
	n.at = now
}

func (c *crashes) dropOldest() {
	var oldest uint64
	var at time.Time
	for print, n := range c.byPrint {
		if at.IsZero() || n.at.Before(at) {
			oldest, at = print, n.at
		}
	}
	delete(c.byPrint, oldest)
}

func (c *crashes) blocked(now time.Time, print uint64) bool {
	n := c.byPrint[print]
	return n != nil && n.count >= crashLimit && now.Sub(n.at) <= crashMemory
}

// list returns what other VMs should know, and forgets what is old.
func (c *crashes) list(now time.Time) []mesh.Crash {
	var all []mesh.Crash
	for print, n := range c.byPrint {
		if now.Sub(n.at) > crashMemory {
			delete(c.byPrint, print)
			continue
		}
		all = append(all, mesh.Crash{Fingerprint: print, Count: n.count})
	}
	slices.SortFunc(all, func(a, b mesh.Crash) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}

// noteLost remembers a request whose connection was lost, in case the target
// turns out to have crashed.
func (t *target) noteLost(now time.Time, print uint64) {
	if now.Sub(t.lostAt) > crashWindow {
		t.lost = t.lost[:0]
	}
	t.lostAt = now
	t.lost = append(t.lost, print)
}

// crashed notes that a target which lost connections with attempts in flight
// now refuses new ones: what was in flight may have crashed it.
func (e *Engine) crashed(now time.Time, t *target) {
	if len(t.lost) == 0 || now.Sub(t.lostAt) > crashWindow {
		t.lost = nil
		return
	}
	slices.Sort(t.lost)
	for _, print := range slices.Compact(t.lost) {
		e.crashes.add(now, print)
	}
	e.emit(LogEvent{Event: LogTargetCrashed, Service: t.service.name, Target: t.reg.ID, Count: len(t.lost)})
	t.lost = nil
}
