package callers

import "time"

// Both tables consist of sets of a few entries. The hash of an entry names its set, and
// an entry that finds its set full replaces the least one of it, so that the time for
// each request is bounded too. Times are counted from the start of the Tracker.
const (
	tableSets = 512
	setSize   = 8
	// halfLife is the time in which the measure of a caller falls by half.
	halfLife = 2 * time.Second
	// minPresent is the number of admitted requests below which a caller is not present
	// any more: 8.6 s after a single one.
	minPresent = 0.05
	// waitRetention is how long after the told time a retry is recognized.
	waitRetention = 2 * time.Second
)

// share is the state of a caller. A free entry is zero.
type share struct {
	caller     Caller
	at         time.Duration // to which admitted and pressed are decayed
	admittedAt time.Duration
	admitted   float64
	pressed    float64 // cost of early repeats
}

func (s *share) measure() float64 { return s.admitted + s.pressed }

func (s *share) decay(at time.Duration) {
	if age := at - s.at; age > 0 {
		f := decayed(age)
		s.admitted, s.pressed, s.at = s.admitted*f, s.pressed*f, at
	}
}

// shareTable holds the callers, 48 bytes each.
type shareTable [tableSets][setSize]share

// find returns the decayed state of a caller, nil if there is none.
func (t *shareTable) find(at time.Duration, c Caller) *share {
	set := &t[c.id%tableSets]
	for i := range set {
		if set[i].caller == c {
			set[i].decay(at)
			return &set[i]
		}
	}
	return nil
}

// entry returns the state of a caller. A new one replaces the caller of its set with the
// smallest measure.
func (t *shareTable) entry(at time.Duration, c Caller) *share {
	if s := t.find(at, c); s != nil {
		return s
	}
	set := &t[c.id%tableSets]
	least := &set[0]
	for i := range set {
		set[i].decay(at)
		if set[i].measure() < least.measure() {
			least = &set[i]
		}
	}
	*least = share{caller: c, at: at}
	return least
}

// mean returns the mean of the admitted requests over the callers of a group that are
// present.
func (t *shareTable) mean(at time.Duration, group uint64) float64 {
	sum, present := 0.0, 0
	for i := range t {
		for k := range t[i] {
			s := &t[i][k]
			if s.caller.group != group {
				continue
			}
			if s.decay(at); s.admitted >= minPresent {
				sum += s.admitted
				present++
			}
		}
	}
	return sum / float64(max(present, 1))
}

// wait is a told wait. A free entry ends at zero.
type wait struct {
	id    uint64
	until time.Duration
}

// waitID identifies a request of a caller.
func waitID(c Caller, fingerprint uint64) uint64 {
	const mixer = 0x9e3779b97f4a7c15 // odd, so that no two fingerprints of a caller have one id
	return (c.id ^ fingerprint) * mixer
}

// entries returns the entries among which one with the id is. The upper bits of a product
// depend on all bits of its factors.
func (t *waitTable) entries(id uint64) *[setSize]wait { return &t[id>>32%tableSets] }

// waitTable holds the told waits, 16 bytes each.
type waitTable [tableSets][setSize]wait

// find returns a told wait, nil if there is none or it ended too long ago.
func (t *waitTable) find(at time.Duration, id uint64) *wait {
	set := t.entries(id)
	for i := range set {
		if w := &set[i]; w.id == id && w.until > 0 && at-w.until <= waitRetention {
			return w
		}
	}
	return nil
}

// set records a wait. A new one replaces the one of its set that ends first.
func (t *waitTable) set(id uint64, until time.Duration) {
	set := t.entries(id)
	first := &set[0]
	for i := range set {
		if set[i].id == id {
			first = &set[i]
			break
		}
		if set[i].until < first.until {
			first = &set[i]
		}
	}
	*first = wait{id: id, until: until}
}
