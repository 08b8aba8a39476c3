package lease

import (
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// Candidate counts the votes for this VM and derives the fraction of the limits
// that it may hand out.
type Candidate struct {
	self      fleet.VMID
	startedAt time.Time
	maxVMs    int
	votes     map[fleet.VMID]time.Time // end of each vote
	half      voteSpan                 // of at least half of maxVMs
	majority  voteSpan                 // of more than half of maxVMs
	unanimous voteSpan                 // of all maxVMs
	resigned  bool
}

// voteSpan is an interval during which the votes were enough without a gap.
type voteSpan struct {
	need  int       // number of votes
	since time.Time // zero while there are too few votes
	until time.Time // lower bound: votes that came later may prolong it
}

// NewCandidate returns the candidate of the VM called self that started at now.
func NewCandidate(now time.Time, self fleet.VMID) *Candidate {
	return &Candidate{self: self, startedAt: now, votes: make(map[fleet.VMID]time.Time)}
}

// SetMaxVMs sets the largest number of VMs that can be alive at once, from which
// the majority is computed. While it is zero this VM is not coordinator. A change
// begins a new leadership.
func (c *Candidate) SetMaxVMs(now time.Time, maxVMs int) {
	if maxVMs == c.maxVMs {
		return
	}
	c.endExpiredSpans(now)
	c.maxVMs = maxVMs
	c.half = voteSpan{need: (maxVMs + 1) / 2} // a majority if maxVMs is odd, which has no equal split
	c.majority = voteSpan{need: maxVMs/2 + 1}
	c.unanimous = voteSpan{need: maxVMs}
	c.beginSpans(now)
}

// Stamp returns the stamp that a reply sent at now carries; zero after Resign.
func (c *Candidate) Stamp(now time.Time) Stamp {
	if c.resigned {
		return 0
	}
	return Stamp(now.Sub(c.startedAt)) + 1
}

// CountVote counts the ballot of a heartbeat received at now. A ballot for another
// candidate or incarnation, without a promise or with a stamp that this candidate
// has not issued, is ignored.
func (c *Candidate) CountVote(now time.Time, from fleet.VMID, b Ballot) {
	c.endExpiredSpans(now)
	if c.resigned || b.Candidate != c.self || !b.Promised || b.Stamp <= 0 || b.Stamp > c.Stamp(now) {
		return
	}
	end := c.stampTime(b.Stamp).Add(VoteTTL)
	if end.After(c.votes[from]) && end.After(now) {
		c.votes[from] = end
		c.beginSpans(now)
	}
}

// DropVote drops the vote of a leaving VM.
func (c *Candidate) DropVote(now time.Time, from fleet.VMID) {
	c.endExpiredSpans(now)
	if _, ok := c.votes[from]; !ok {
		return
	}
	delete(c.votes, from)
	for _, s := range c.spans() {
		s.until = now
	}
	c.endExpiredSpans(now)
}

// Resign ends the candidacy for good. Voters may release their promises afterwards.
func (c *Candidate) Resign() {
	c.resigned = true
	clear(c.votes)
	for _, s := range c.spans() {
		*s = voteSpan{need: s.need}
	}
}

// SentDuringLeadership reports whether the ballot was sent after the leadership
// began, or after it became full.
func (c *Candidate) SentDuringLeadership(b Ballot, l Leadership) bool {
	began := l.Since
	if l.Fraction == Full {
		began = l.FullSince
	}
	return l.Fraction != None && b.Candidate == c.self && b.Stamp > 0 && !c.stampTime(b.Stamp).Before(began)
}

// Leadership returns the leadership of this candidate at now.
func (c *Candidate) Leadership(now time.Time) Leadership {
	c.endExpiredSpans(now)
	l := Leadership{Votes: len(c.votes), Unanimous: !c.unanimous.since.IsZero()}
	switch {
	case !c.majority.since.IsZero():
		l.Fraction, l.Until, l.Since, l.FullSince = Full, c.majority.until, c.half.since, c.majority.since
	case !c.half.since.IsZero() && !now.Before(c.half.since.Add(halfGrace)):
		l.Fraction, l.Until, l.Since = Half, c.half.until, c.half.since
	}
	return l
}

// halfGrace is how long a candidate with exactly half of the votes waits for more.
// Votes arrive one by one: a candidate that handed out half of the limits on the
// way to a majority would make every holder return half of its shares for a moment.
const halfGrace = 1200 * time.Millisecond // two heartbeat intervals and a margin

// stampTime returns the time at which this candidate issued a stamp.
func (c *Candidate) stampTime(s Stamp) time.Time { return c.startedAt.Add(time.Duration(s - 1)) }

func (c *Candidate) spans() [3]*voteSpan { return [3]*voteSpan{&c.half, &c.majority, &c.unanimous} }

// endExpiredSpans ends the spans whose votes have expired by now, before a vote that
// arrives at now is counted. The votes are sorted only when the lower bound of a
// span has passed, every second or two.
func (c *Candidate) endExpiredSpans(now time.Time) {
	var ends []time.Time
	for _, s := range c.spans() {
		if s.since.IsZero() || now.Before(s.until) {
			continue
		}
		if ends == nil {
			ends = c.dropExpired(now)
		}
		if s.until = s.quorumEnd(ends); !now.Before(s.until) {
			s.since = time.Time{}
		}
	}
}

// beginSpans begins the spans for which the votes now suffice.
func (c *Candidate) beginSpans(now time.Time) {
	var ends []time.Time
	for _, s := range c.spans() {
		if s.need == 0 || !s.since.IsZero() || len(c.votes) < s.need {
			continue
		}
		if ends == nil {
			ends = c.dropExpired(now)
		}
		if s.until = s.quorumEnd(ends); now.Before(s.until) {
			s.since = now
		}
	}
}

// dropExpired drops the expired votes and returns the ends of the others, latest first.
func (c *Candidate) dropExpired(now time.Time) []time.Time {
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

// quorumEnd returns when fewer than need of the votes are left, zero if that is so
// already. The ends are sorted, latest first.
func (s *voteSpan) quorumEnd(ends []time.Time) time.Time {
	if len(ends) < s.need {
		return time.Time{}
	}
	return ends[s.need-1]
}
