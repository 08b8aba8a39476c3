package lease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/lease"
)

var epoch = time.Unix(1_000_000_000, 0)

const (
	voterWait = 10 * time.Second        // longer than a voter that has just started waits
	halfGrace = 1200 * time.Millisecond // a candidate with half of the votes waits for more
)

// elect gives the candidate the votes of the named VMs at now and returns their voters.
func elect(t *testing.T, now time.Time, c *lease.Candidate, self fleet.VMID, ids ...fleet.VMID) map[fleet.VMID]*lease.Voter {
	t.Helper()
	voters := make(map[fleet.VMID]*lease.Voter)
	for _, id := range ids {
		v := lease.NewVoter(now.Add(-voterWait))
		v.RecordStamp(now, self, c.Stamp(now))
		b := v.Ballot(now, self)
		assert.Assert(t, b.Promised)
		c.CountVote(now, id, b)
		voters[id] = v
	}
	return voters
}

// Guards against a coordinator without a majority, and against one with all of the
// limits in an equal split.
func TestFraction(t *testing.T) {
	for _, tc := range []struct {
		name   string
		maxVMs int
		votes  []fleet.VMID
		want   lease.Fraction
	}{
		{"no bound known", 0, []fleet.VMID{"a"}, lease.None},
		{"single VM", 1, []fleet.VMID{"a"}, lease.Full},
		{"minority", 8, []fleet.VMID{"a", "b", "c"}, lease.None},
		{"equal split", 8, []fleet.VMID{"a", "b", "c", "d"}, lease.Half},
		{"majority", 8, []fleet.VMID{"a", "b", "c", "d", "e"}, lease.Full},
		{"odd bound, one short", 5, []fleet.VMID{"a", "b"}, lease.None},
		{"odd bound", 5, []fleet.VMID{"a", "b", "c"}, lease.Full},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := lease.NewCandidate(epoch, "a")
			c.SetMaxVMs(epoch, tc.maxVMs)
			now := epoch.Add(voterWait)
			elect(t, now, c, "a", tc.votes...)
			if tc.want == lease.Half { // it may still be on the way to a majority
				assert.Equal(t, c.Leadership(now).Fraction, lease.None)
			}
			assert.Equal(t, c.Leadership(now.Add(halfGrace)).Fraction, tc.want)
			assert.Equal(t, c.Leadership(now.Add(lease.VoteTTL)).Fraction, lease.None)
		})
	}
}

// Guards against a vote that is prolonged by a slow message: the voter may have
// promised its vote to another VM by then.
func TestFaultVoteDelayed(t *testing.T) {
	c := lease.NewCandidate(epoch, "a")
	c.SetMaxVMs(epoch, 1)
	sent := epoch.Add(voterWait)
	v := lease.NewVoter(epoch)
	v.RecordStamp(sent, "a", c.Stamp(sent))
	b := v.Ballot(sent, "a")
	received := sent.Add(2 * time.Second)
	c.CountVote(received, "a", b)
	assert.Equal(t, c.Leadership(received).Until, sent.Add(lease.VoteTTL))
	c.CountVote(sent.Add(lease.VoteTTL), "a", b)
	assert.Equal(t, c.Leadership(sent.Add(lease.VoteTTL)).Fraction, lease.None)
}

// Guards against two promises at once: after a restart, to another VM before
// the first has expired, and after leaving.
func TestVoterPromisesOneVM(t *testing.T) {
	ttl := lease.VoteTTL + lease.MaxDrift(lease.VoteTTL)
	v := lease.NewVoter(epoch)
	v.RecordStamp(epoch, "a", 1)
	assert.Assert(t, !v.Ballot(epoch.Add(ttl-1), "a").Promised, "a VM that has just started may have promised its vote before")
	first := epoch.Add(ttl)
	v.RecordStamp(first, "a", 2)
	assert.Assert(t, v.Ballot(first, "a").Promised)
	v.RecordStamp(first.Add(ttl-1), "b", 1)
	assert.Assert(t, !v.Ballot(first.Add(ttl-1), "b").Promised)
	assert.Equal(t, v.Promised(first.Add(ttl-1)), fleet.VMID("a"))
	assert.Assert(t, v.Ballot(first.Add(ttl), "b").Promised)
	second := first.Add(ttl)
	v.Release("a")
	v.RecordStamp(second, "a", 3)
	assert.Assert(t, !v.Ballot(second, "a").Promised, "only the candidate that holds the promise can release it")
	v.Release("b")
	assert.Assert(t, v.Ballot(second, "a").Promised)
	v.Leave()
	v.RecordStamp(second.Add(ttl), "a", 4)
	assert.Assert(t, !v.Ballot(second.Add(ttl), "a").Promised)
}

// Guards against heartbeats to a dead coordinator that prolong the promise to
// it, so that its successor is elected only after the shares have expired.
func TestFaultCandidateDead(t *testing.T) {
	ttl := lease.VoteTTL + lease.MaxDrift(lease.VoteTTL)
	v := lease.NewVoter(epoch.Add(-voterWait))
	v.RecordStamp(epoch, "a", 1)
	assert.Assert(t, v.Ballot(epoch.Add(2*time.Second), "a").Promised)
	v.RecordStamp(epoch.Add(ttl), "b", 1)
	assert.Assert(t, v.Ballot(epoch.Add(ttl), "b").Promised)
	assert.Assert(t, !v.Ballot(epoch.Add(ttl), "a").Promised)
}

// Guards against a leadership that seems unbroken although the votes had expired
// during a pause: another VM may have been coordinator in between.
func TestFaultCandidatePausedWakesLate(t *testing.T) {
	c := lease.NewCandidate(epoch, "a")
	c.SetMaxVMs(epoch, 3)
	now := epoch.Add(voterWait)
	voters := elect(t, now, c, "a", "a", "b")
	before := c.Leadership(now)
	later := now.Add(2 * time.Second)
	for id, v := range voters {
		v.RecordStamp(later, "a", c.Stamp(later))
		c.CountVote(later, id, v.Ballot(later, "a"))
	}
	assert.Equal(t, c.Leadership(later).Since, before.Since)
	resumed := later.Add(lease.VoteTTL)
	for id, v := range voters {
		v.RecordStamp(resumed, "a", c.Stamp(resumed))
		c.CountVote(resumed, id, v.Ballot(resumed, "a"))
	}
	assert.Equal(t, c.Leadership(resumed).Fraction, lease.Full)
	assert.Equal(t, c.Leadership(resumed).Since, resumed)
}

// Guards against counting votes for an earlier incarnation, without a stamp or with
// a stamp that was never issued, and votes of or for a VM that leaves.
func TestVotesNotCounted(t *testing.T) {
	now := epoch.Add(voterWait)
	for name, b := range map[string]lease.Ballot{
		"other incarnation": {Candidate: "a-before", Stamp: 1, Promised: true},
		"no stamp":          {Candidate: "a", Promised: true},
		"no promise":        {Candidate: "a", Stamp: lease.Stamp(voterWait)},
		"stamp to come":     {Candidate: "a", Stamp: lease.Stamp(voterWait) + 2, Promised: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := lease.NewCandidate(epoch, "a")
			c.SetMaxVMs(epoch, 1)
			c.CountVote(now, "b", b)
			assert.Equal(t, c.Leadership(now).Fraction, lease.None)
		})
	}
	c := lease.NewCandidate(epoch, "a")
	c.SetMaxVMs(epoch, 2)
	elect(t, now, c, "a", "a", "b")
	c.DropVote(now, "b")
	assert.Equal(t, c.Leadership(now.Add(halfGrace)).Fraction, lease.Half)
	c.Resign()
	assert.Equal(t, c.Leadership(now.Add(halfGrace)).Fraction, lease.None)
	assert.Equal(t, c.Stamp(now), lease.Stamp(0))
}

// Guards against an allowance that is smaller than the drift between two clocks
// during a TTL, each up to 0.5% off.
func TestDriftCoversClockRates(t *testing.T) {
	const fast, slow = 1.005, 0.995
	for _, ttl := range []time.Duration{lease.VoteTTL, 5 * time.Second} {
		held := float64(ttl+lease.MaxDrift(ttl)) / fast // true duration of a promise on a fast clock
		counted := float64(ttl) / slow                  // true duration of a vote on a slow clock
		assert.Assert(t, held > counted, "%v", ttl)
	}
}
