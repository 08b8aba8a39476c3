package catalog

import "time"

// Target is the registration of one server of a service.
type Target struct {
	ID              string
	Service         string
	Address         string
	Zone            string
	SoftwareVersion string
	Slots           int // requests that it runs concurrently
	Draining        bool
	WarmupLeft      time.Duration // remaining time for which it is cold, as of the registration
	StartedUnixMs   int64         // start of the process; a later process may reuse the id
	Sequence        uint64        // rises with each write of the process; zero if it is not stated
}

// SameProcess reports whether two registrations belong to the same process of the
// same service at the same address.
func (t *Target) SameProcess(o *Target) bool {
	return t.ID == o.ID && t.StartedUnixMs == o.StartedUnixMs && t.Address == o.Address && t.Service == o.Service
}
