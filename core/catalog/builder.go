package catalog

import (
	"maps"
	"time"
)

// Change is the meaning of one changed entry of the platform's store.
type Change interface{ change() }

// ConfigUpdated holds a version of the configuration.
type ConfigUpdated struct{ Config *Config }

// TargetUpdated holds a new or changed registration of a target.
type TargetUpdated struct{ Target *Target }

// TargetRemoved reports that a target no longer has a readable registration.
type TargetRemoved struct {
	ID         string
	Unreadable bool // there is one, but it names no target that can be used
}

// ZoneOut reports that a zone is taken out of service.
type ZoneOut struct{ Zone string }

// ZoneIn reports that a zone is in service.
type ZoneIn struct{ Zone string }

func (ConfigUpdated) change() {}
func (TargetUpdated) change() {}
func (TargetRemoved) change() {}
func (ZoneOut) change()       {}
func (ZoneIn) change()        {}

// Snapshot holds everything that the platform publishes. It is immutable.
type Snapshot struct {
	Config   *Config            // nil before the first ConfigUpdated
	Targets  map[string]*Target // by id
	ZonesOut map[string]bool    // zones that are out of service
	// Lapsed holds the targets that were removed since the last Snapshot and may be
	// back, as their registrations may have lapsed in an outage of the store. The value
	// is the time until which they may be.
	Lapsed map[string]time.Time
}

// Builder accumulates changes into a Snapshot.
type Builder struct {
	config   *Config
	targets  map[string]*Target
	zonesOut map[string]bool
	lapsed   map[string]time.Time
}

// NewBuilder returns a Builder whose Snapshot is empty.
func NewBuilder() *Builder {
	return &Builder{targets: make(map[string]*Target), zonesOut: make(map[string]bool), lapsed: make(map[string]time.Time)}
}

// Apply records a change. A configuration whose version is not newer than the
// current one is ignored. A target that is removed may be back until lapseEnd, unless
// that is zero or its registration is there and unreadable.
func (b *Builder) Apply(c Change, lapseEnd time.Time) {
	switch c := c.(type) {
	case ConfigUpdated:
		if b.config == nil || c.Config.Version > b.config.Version {
			b.config = c.Config
		}
	case TargetUpdated:
		b.targets[c.Target.ID] = c.Target
		delete(b.lapsed, c.Target.ID)
	case TargetRemoved:
		delete(b.targets, c.ID)
		delete(b.lapsed, c.ID)
		if !lapseEnd.IsZero() && !c.Unreadable {
			b.lapsed[c.ID] = lapseEnd
		}
	case ZoneOut:
		b.zonesOut[c.Zone] = true
	case ZoneIn:
		delete(b.zonesOut, c.Zone)
	}
}

// Snapshot returns the state after all changes so far.
func (b *Builder) Snapshot() Snapshot {
	lapsed := b.lapsed
	b.lapsed = make(map[string]time.Time)
	return Snapshot{Config: b.config, Targets: maps.Clone(b.targets), ZonesOut: maps.Clone(b.zonesOut), Lapsed: lapsed}
}
