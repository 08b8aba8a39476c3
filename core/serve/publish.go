package serve

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
)

// catalogChanged applies a new configuration, the entries of the targets and
// the zones that are out of service.
func (e *Engine) catalogChanged(now time.Time, ev CatalogChanged) {
	if ev.Config != nil && ev.Config != e.config {
		earlier := e.config
		e.config = ev.Config
		for _, s := range e.services {
			s.applyConfig(ev.Config)
		}
		e.setWorkspaces(now, ev.Config, earlier)
		e.removeStaleState()
		e.emit(LogEvent{Event: LogConfigApplied, Count: int(ev.Config.Version)})
	}
	e.applyEntries(now, ev.Targets)
	for _, s := range e.servicesByName {
		for _, t := range s.targets {
			id := t.reg.ID
			if ev.Targets[id] == nil {
				e.entryMissing(now, id, t, ev.Lapsed[id])
			}
			e.setZoneOut(now, t, ev.ZonesOut[t.reg.Zone])
		}
	}
	e.zonesOut = ev.ZonesOut
	for _, s := range e.servicesByName {
		e.startQueued(now, s)
	}
	e.maintainAt = now
}

// removeStaleState removes the state of routes and services that the
// configuration no longer has.
func (e *Engine) removeStaleState() {
	named := make(map[string]bool)
	for _, r := range e.config.Routes() {
		named[r.Name] = true
	}
	for name := range e.routes {
		if !named[name] {
			delete(e.routes, name)
		}
	}
	for name, s := range e.services {
		if _, known := e.config.Services[name]; !known && len(s.targets) == 0 && len(s.queue) == 0 {
			e.removeService(s)
		}
	}
}

// applyEntries applies the entries of targets by id. The order in which targets are added
// decides between targets of equal cost and which ones connections are kept to. It
// differs between VMs, so that they don't all prefer the same targets.
func (e *Engine) applyEntries(now time.Time, entries map[string]*catalog.Target) {
	var added []string
	for id, reg := range entries {
		if t := e.targets[id]; t != nil && t.reg.SameProcess(reg) {
			e.applyEntry(now, id, reg)
		} else {
			added = append(added, id)
		}
	}
	vm := spreadOffset(e.view.Self.ID)
	slices.SortFunc(added, func(a, b string) int {
		return cmp.Or(cmp.Compare(spreadOrder(vm, a), spreadOrder(vm, b)), cmp.Compare(a, b))
	})
	for _, id := range added {
		e.applyEntry(now, id, entries[id])
	}
}

// spreadOrder returns a number by which targets are ordered. The hash is mixed, since ids
// that differ in the last characters only have hashes with similar upper bits.
func spreadOrder(vm uint64, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))       // never fails
	const mixer = 0xbf58476d1ce4e5b9 // of SplitMix64
	x := (h.Sum64() ^ vm) * mixer
	x = (x ^ x>>31) * mixer
	return x ^ x>>29
}

// applyEntry applies the entry of a target: it adds a new target, replaces one
// whose process has changed, or updates it.
func (e *Engine) applyEntry(now time.Time, id string, reg *catalog.Target) {
	t := e.targets[id]
	if t != nil && !t.reg.SameProcess(reg) {
		e.closeIdleConns(t, ConnLoss)
		e.removeTarget(id, t)
		t = nil
	}
	if t == nil {
		t = &target{reg: reg, service: e.service(reg.Service), window: window{limit: initialLimit}, zoneOut: e.zonesOut[reg.Zone]}
		e.targets[id] = t
		t.service.targets = append(t.service.targets, t)
		e.startWarmup(now, t, reg.WarmupLeft)
		n := e.notices[processOf(reg)]
		t.backoffUntil = n.backoffUntil
		if !n.leavingSince.IsZero() {
			t.lastResortUntil = e.lastResortEnd(n.leavingSince)
		}
		e.emit(LogEvent{Event: LogTargetAdded, Service: reg.Service, Target: id, Cause: reg.Zone, Duration: reg.WarmupLeft})
	} else if reg != t.reg {
		e.updateEntry(now, t, reg)
	}
	t.missing, t.lapsedUntil, t.replaced = false, time.Time{}, false
}

// setZoneOut takes a target out of service with its zone, or back. One that comes back
// warms up again.
func (e *Engine) setZoneOut(now time.Time, t *target, out bool) {
	if t.zoneOut && !out {
		e.startWarmup(now, t, t.service.config.Warmup)
	}
	t.zoneOut = out
}

// updateEntry applies a changed entry of a known target.
func (e *Engine) updateEntry(now time.Time, t *target, reg *catalog.Target) {
	if reg.Draining && !t.reg.Draining {
		e.emit(LogEvent{Event: LogTargetDraining, Service: reg.Service, Target: reg.ID})
	}
	if reg.WarmupLeft > t.reg.WarmupLeft {
		e.startWarmup(now, t, reg.WarmupLeft)
	}
	t.reg = reg
}

// startWarmup marks a target as cold for the time that is left of its warm-up.
func (e *Engine) startWarmup(now time.Time, t *target, left time.Duration) {
	if left <= 0 {
		return
	}
	t.coldUntil = now.Add(left)
	t.coldLimiter.start(now, t.coldUntil, t.service.config.ColdRatePerSecond, e.sharers())
}

// entryMissing handles the loss of a target's entry. A target whose entry may have
// lapsed in an outage of the store is kept until lapseEnd; otherwise it is removed.
func (e *Engine) entryMissing(now time.Time, id string, t *target, lapseEnd time.Time) {
	if t.missing {
		return
	}
	t.missing, t.lapsedUntil = true, lapseEnd
	if now.Before(lapseEnd) {
		e.emit(LogEvent{Event: LogTargetLapsed, Service: t.service.name, Target: id, Duration: lapseEnd.Sub(now)})
		return
	}
	e.emit(LogEvent{Event: LogTargetRemoved, Service: t.service.name, Target: id})
	e.closeIdleConns(t, ConnLoss)
}

// removeTarget removes a target. Attempts in flight there run to their end.
func (e *Engine) removeTarget(id string, t *target) {
	if e.targets[id] == t {
		delete(e.targets, id)
	}
	t.missing, t.lapsedUntil = true, time.Time{}
	t.service.targets = slices.DeleteFunc(t.service.targets, func(o *target) bool { return o == t })
}
