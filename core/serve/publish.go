package serve

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
)

// published takes over what the platform publishes.
func (e *Engine) published(now time.Time, ev CatalogChanged) {
	if ev.Config != nil && ev.Config != e.config {
		e.config = ev.Config
		for name, s := range e.services {
			s.config = ev.Config.Services[name]
		}
		e.setTenants(now, ev.Config)
		e.forgetRoutes()
		e.emit(LogEvent{Event: LogConfigApplied, Count: int(ev.Config.Version)})
	}
	zonesBefore := e.zonesOut
	e.zonesOut = ev.ZonesOut
	for id, reg := range ev.Targets {
		e.list(now, id, reg, zonesBefore)
	}
	for id, t := range e.targets {
		if ev.Targets[id] == nil {
			e.unlist(now, id, t)
		}
	}
	for _, s := range e.services {
		e.drain(now, s)
	}
	e.upkeepAt = now
}

// forgetRoutes drops what was learned of routes and services that are gone.
func (e *Engine) forgetRoutes() {
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
			delete(e.services, name)
		}
	}
}

// list takes over the entry of a target.
func (e *Engine) list(now time.Time, id string, reg *catalog.Target, zonesBefore map[string]bool) {
	t := e.targets[id]
	if t != nil && !t.reg.SameProcess(reg) {
		e.closeIdle(t)
		e.removeTarget(id, t)
		t = nil
	}
	out := e.zonesOut[reg.Zone]
	if t == nil {
		t = &target{reg: reg, service: e.service(reg.Service), limit: limitStart}
		e.targets[id] = t
		t.service.targets = append(t.service.targets, t)
		e.warmUp(now, t, reg.WarmupLeft)
		e.emit(LogEvent{Event: LogTargetAdded, Service: reg.Service, Target: id, Cause: reg.Zone, Duration: reg.WarmupLeft})
	} else if reg != t.reg {
		e.relist(now, t, reg)
	}
	if zonesBefore[reg.Zone] && !out {
		e.warmUp(now, t, t.service.config.Warmup)
	}
	t.listed = !out
	t.lapsesAt = time.Time{}
}

// relist takes over a changed entry of a known target.
func (e *Engine) relist(now time.Time, t *target, reg *catalog.Target) {
	if reg.Draining && !t.reg.Draining {
		e.emit(LogEvent{Event: LogTargetDraining, Service: reg.Service, Target: reg.ID})
	}
	if reg.WarmupLeft > t.reg.WarmupLeft {
		e.warmUp(now, t, reg.WarmupLeft)
	}
	t.reg = reg
}

// warmUp notes that a target is cold for a time.
func (e *Engine) warmUp(now time.Time, t *target, left time.Duration) {
	if left <= 0 {
		return
	}
	t.coldUntil = now.Add(left)
	t.cold.begin(now, t.coldUntil, t.service.config.ColdRatePerSecond, e.sharers())
}

// unlist notes that a target has no entry any more. Right after the store was
// away, the entry may have lapsed only because the target could not renew it.
func (e *Engine) unlist(now time.Time, id string, t *target) {
	if !t.lapsesAt.IsZero() {
		return
	}
	t.lapsesAt = now
	t.listed = false
	switch {
	case e.copyAge(now) > lapseGap:
		t.lapsesAt = now.Add(lapseHold)
	case !e.returnedAt.IsZero() && now.Before(e.returnedAt.Add(lapseHold)):
		t.lapsesAt = e.returnedAt.Add(lapseHold)
	}
	if t.lapsesAt.After(now) {
		e.emit(LogEvent{Event: LogTargetLapsed, Service: t.service.name, Target: id, Duration: t.lapsesAt.Sub(now)})
		return
	}
	e.emit(LogEvent{Event: LogTargetRemoved, Service: t.service.name, Target: id})
	e.closeIdle(t)
}

// removeTarget forgets a target. Attempts that run there end by themselves.
func (e *Engine) removeTarget(id string, t *target) {
	if e.targets[id] == t {
		delete(e.targets, id)
	}
	t.listed = false
	t.lapsesAt = time.Unix(0, 0)
	t.service.targets = slices.DeleteFunc(t.service.targets, func(o *target) bool { return o == t })
}
