package lease

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// Candidate counts the votes for this VM.
type Candidate struct {
	self     fleet.VMID
	start    time.Time
	maxVMs   int
	votes    map[fleet.VMID]time.Time // end of each vote
	half     span
	full     span
	all      span
	resigned bool
}

// span is a time during which enough votes were counted without a gap.
type span struct {
	need  int       // votes
	since time.Time // zero while there are not enough votes
	until time.Time // lower bound: votes that came later may prolong it
}

// NewCandidate returns the candidate of the VM called self that started at now.
func NewCandidate(now time.Time, self fleet.VMID) *Candidate {
	return &Candidate{self: self, start: now, votes: make(map[fleet.VMID]time.Time)}
}

// SetMaxVMs sets the bound on VMs alive at once. Without it there is no
// coordinator. A changed bound begins a new tenure.
func (c *Candidate) SetMaxVMs(now time.Time, maxVMs int) {
	if maxVMs == c.maxVMs {
		return
	}
	c.advance(now)
	c.maxVMs = maxVMs
	c.half = span{need: (maxVMs + 1) / 2} // an odd bound has no equal split
	c.full = span{need: maxVMs/2 + 1}
	c.all = span{need: maxVMs}
	c.extend(now)
}

// Stamp returns the stamp that a reply sent at now carries; zero after Resign.
func (c *Candidate) Stamp(now time.Time) Stamp {
	if c.resigned {
		return 0
	}
	return Stamp(now.Sub(c.start)) + 1
}

// CountVote takes the ballot of a heartbeat received at now.
func (c *Candidate) CountVote(now time.Time, from fleet.VMID, b Ballot) {
	c.advance(now)
	if c.resigned || b.Candidate != c.self || !b.Promised || b.Stamp <= 0 || b.Stamp > c.Stamp(now) {
		return
	}
	end := c.at(b.Stamp).Add(VoteTTL)
	if end.After(c.votes[from]) && end.After(now) {
		c.votes[from] = end
		c.extend(now)
	}
}

// DropVote drops the vote of a VM that leaves.
func (c *Candidate) DropVote(now time.Time, from fleet.VMID) {
	c.advance(now)
	if _, ok := c.votes[from]; !ok {
		return
	}
	delete(c.votes, from)
	for _, s := range c.spans() {
		s.until = now
	}
	c.advance(now)
}

// Resign ends the candidacy for good; voters may then be released.
func (c *Candidate) Resign() {
	c.resigned = true
	clear(c.votes)
	for _, s := range c.spans() {
		*s = span{need: s.need}
	}
}

// Fresh reports whether the sender of the ballot sent it after this candidate
// took on its present fraction.
func (c *Candidate) Fresh(b Ballot, t Leadership) bool {
	began := t.Since
	if t.Fraction == Full {
		began = t.FullSince
	}
	return t.Fraction != None && b.Candidate == c.self && b.Stamp > 0 && !c.at(b.Stamp).Before(began)
}

// Leadership returns what this candidate is at now.
func (c *Candidate) Leadership(now time.Time) Leadership {
	c.advance(now)
	t := Leadership{Votes: len(c.votes), Unanimous: !c.all.since.IsZero()}
	switch {
	case !c.full.since.IsZero():
		t.Fraction, t.Until, t.Since, t.FullSince = Full, c.full.until, c.half.since, c.full.since
	case !c.half.since.IsZero() && !now.Before(c.half.since.Add(halfPatience)):
		t.Fraction, t.Until, t.Since = Half, c.half.until, c.half.since
	}
	return t
}

// halfPatience is how long a candidate with exactly half of the votes waits for
// more. Votes arrive one by one: a candidate that took half of the limits on the
// way to a majority would make every holder give up half for a moment.
const halfPatience = 1200 * time.Millisecond // two heartbeats and some

func (c *Candidate) at(s Stamp) time.Time { return c.start.Add(time.Duration(s - 1)) }

func (c *Candidate) spans() [3]*span { return [3]*span{&c.half, &c.full, &c.all} }

// advance ends the spans whose votes have expired by now, before a vote that
// arrives at now is counted. The votes are sorted only when the lower bound of
// a span has passed, every second or two.
func (c *Candidate) advance(now time.Time) {
	var ends []time.Time
	for _, s := range c.spans() {
		if s.since.IsZero() || now.Before(s.until) {
			continue
		}
		if ends == nil {
			ends = c.unexpired(now)
		}
		if s.until = s.bound(ends); !now.Before(s.until) {
			s.since = time.Time{}
		}
	}
}

// extend begins the spans for which the votes now suffice.
func (c *Candidate) extend(now time.Time) {
	var ends []time.Time
	for _, s := range c.spans() {
		if s.need == 0 || !s.since.IsZero() || len(c.votes) < s.need {
			continue
		}
		if ends == nil {
			ends = c.unexpired(now)
		}
		if s.until = s.bound(ends); now.Before(s.until) {
			s.since = now
		}
	}
}

// unexpired drops the expired votes and returns the ends of the others, latest first.
func (c *Candidate) unexpired(now time.Time) []time.Time {
	ends := make([]time.Time, 0, len(c.votes))
	for id, end := range c.votes {
		if now.Before(end) {
			ends = append(ends, end)
		} else {
			delete(c.votes, id)
		}
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends
}

// bound returns the moment from which fewer than need of the votes are left.
func (s *span) bound(ends []time.Time) time.Time {
	if len(ends) < s.need {
		return time.Time{}
	}
	return ends[s.need-1]
}
