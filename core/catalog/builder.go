package catalog

import "maps"

// Change is what one entry of the platform's store says.
type Change interface{ change() }

// ConfigUpdated is a version of the configuration.
type ConfigUpdated struct{ Config *Config }

// TargetUpdated is the registration of a target.
type TargetUpdated struct{ Target *Target }

// TargetRemoved says that a target has no readable registration any more.
type TargetRemoved struct{ ID string }

// ZoneOut says that a zone is taken out of service.
type ZoneOut struct{ Zone string }

// ZoneIn says that a zone is not, or no longer, taken out of service.
type ZoneIn struct{ Zone string }

func (ConfigUpdated) change() {}
func (TargetUpdated) change() {}
func (TargetRemoved) change() {}
func (ZoneOut) change()       {}
func (ZoneIn) change()        {}

// Snapshot is all that the platform publishes. It is never changed.
type Snapshot struct {
	Config   *Config // nil until one was read
	Targets  map[string]*Target
	ZonesOut map[string]bool
}

// Builder collects changes.
type Builder struct {
	config   *Config
	targets  map[string]*Target
	zonesOut map[string]bool
}

// NewBuilder returns a Builder that knows of nothing.
func NewBuilder() *Builder {
	return &Builder{targets: make(map[string]*Target), zonesOut: make(map[string]bool)}
}

// Apply takes a change over. A configuration never gives way to an older one.
func (b *Builder) Apply(c Change) {
	switch c := c.(type) {
	case ConfigUpdated:
		if b.config == nil || c.Config.Version > b.config.Version {
			b.config = c.Config
		}
	case TargetUpdated:
		b.targets[c.Target.ID] = c.Target
	case TargetRemoved:
		delete(b.targets, c.ID)
	case ZoneOut:
		b.zonesOut[c.Zone] = true
	case ZoneIn:
		delete(b.zonesOut, c.Zone)
	}
}

// Snapshot returns what all changes so far amount to.
func (b *Builder) Snapshot() Snapshot {
	return Snapshot{Config: b.config, Targets: maps.Clone(b.targets), ZonesOut: maps.Clone(b.zonesOut)}
}
