package callers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_000_000_000, 0)

func newCaller(address string) Caller { return NewCaller("", "wide", address) }

// Guards against restrictions without pressure, against repeats before the told time
// that are treated like others, and against a wait that is not honored.
func TestRepeatsBeforeTheToldTime(t *testing.T) {
	l, a, b := New(epoch), newCaller("a"), newCaller("b")
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	l.Told(at(0), a, 1, 500*time.Millisecond)
	assert.Equal(t, l.Judge(at(1), a, 1), Verdict{}, "nothing was refused for want of capacity")
	l.Overloaded(at(0), a)
	v := l.Judge(at(2), a, 1)
	assert.Assert(t, v.Refusal == EarlyRepeat && v.RetryAfter == 498*time.Millisecond && v.Measure == repeatCost, "%+v", v)
	assert.Equal(t, l.Judge(at(2), b, 1).Refusal, None, "another caller with the same request")
	assert.Equal(t, l.Judge(at(2), a, 2).Standing, OverShare, "another request of the caller")
	assert.Equal(t, l.Judge(at(2), NewCaller("", "urgent", "a"), 1), Verdict{}, "a route that has capacity")
	l.Told(at(2), b, 3, 500*time.Millisecond)
	assert.Equal(t, l.Judge(at(502), b, 3).Standing, Waited)
	assert.Equal(t, l.Judge(at(503), b, 3).Standing, Fair, "it is preferred once")
	assert.Equal(t, l.Judge(at(1002), a, 1), Verdict{}, "the pressure is over")
}

// Guards against a caller that presses unnoticed at several VMs in turn, and against
// false reports that restrict it for long.
func TestPressingAtOtherVMs(t *testing.T) {
	here, there, c := New(epoch), New(epoch), newCaller("a")
	there.Overloaded(epoch, c)
	there.Told(epoch, c, 1, time.Second)
	there.Judge(epoch, c, 1)
	assert.DeepEqual(t, there.Pressing(epoch), []Pressing{{ID: c.id, Cost: repeatCost}})
	here.SetPressing(epoch, there.Pressing(epoch))
	assert.Equal(t, here.Judge(epoch, c, 1), Verdict{}, "this VM has capacity")
	here.Overloaded(epoch, c)
	assert.Equal(t, here.Judge(epoch, c, 1).Standing, OverShare)
	assert.Equal(t, len(here.Pressing(epoch)), 0, "it is told on by the VM that has seen it only")
	here.SetPressing(epoch, []Pressing{{ID: c.id, Cost: 1e12}})
	now := epoch.Add(8 * time.Second)
	here.Overloaded(now, c)
	assert.Equal(t, here.Judge(now, c, 1).Standing, Fair)
	assert.Equal(t, len(there.Pressing(now)), 0)
	here.SetPressing(now, nil) // of an old build
	assert.Equal(t, here.Judge(now, c, 1).Measure, 0.0)
}

// Guards against a caller with many users that is held to the mean although there is
// room, and against one that is kept out.
func TestCallersOverTheirShare(t *testing.T) {
	l, nat, small := New(epoch), newCaller("nat"), newCaller("small")
	l.Overloaded(epoch, nat)
	for range 50 {
		l.Admitted(epoch, nat)
	}
	assert.Equal(t, l.Judge(epoch, nat, 1).Standing, Fair, "it is the only caller")
	now := epoch.Add(300 * time.Millisecond)
	for i := range 9 {
		l.Admitted(now, newCaller(fmt.Sprint(i)))
	}
	l.Admitted(now, small)
	assert.Equal(t, l.Judge(now, small, 1).Standing, Fair)
	v := l.Judge(now, nat, 1)
	assert.Assert(t, v.Standing == OverShare && v.Refusal == None, "there may be room: %+v", v)
	l.Full(now, nat, 80*time.Millisecond)
	l.Admitted(now, nat)
	v = l.Judge(now, nat, 1)
	assert.Assert(t, v.Refusal == Share && v.RetryAfter == 80*time.Millisecond, "%+v", v)
	assert.Equal(t, l.Judge(now, small, 1).Refusal, None)
	assert.Equal(t, l.Judge(now.Add(fullTime), nat, 1).Refusal, None, "room has to be looked for again")
	now = now.Add(floorInterval)
	l.Overloaded(now, small)
	l.Full(now, small, 80*time.Millisecond)
	assert.Equal(t, l.Judge(now, nat, 1).Refusal, None, "a single request gets through")
}

// Guards against state that grows with the callers, and against a caller that leaves no
// trace because many others call.
func TestStateIsBounded(t *testing.T) {
	assert.Equal(t, unsafe.Sizeof(shareTable{})+unsafe.Sizeof(waitTable{}), uintptr(4096*(48+16)))
	l, heavy, random := New(epoch), newCaller("heavy"), rand.New(rand.NewPCG(1, 2))
	now := epoch
	for i := range 1_000_000 {
		now = now.Add(10 * time.Microsecond)
		c := NewCaller("", fmt.Sprint("route", i%1000), fmt.Sprint(i))
		l.Judge(now, c, uint64(i))
		l.Admitted(now, c)
		l.Told(now, c, random.Uint64(), time.Second)
		if l.Overloaded(now, c); i%1000 == 0 {
			l.Admitted(now, heavy)
		}
	}
	assert.Assert(t, len(l.groups) <= maxGroups)
	l.Overloaded(now, heavy)
	v := l.Judge(now, heavy, 1)
	assert.Assert(t, v.Measure > 100, "%+v", v)
	c := newCaller("last")
	assert.Equal(t, testing.AllocsPerRun(100, func() { l.Judge(now, c, 1); l.Admitted(now, c); l.Told(now, c, 1, time.Second) }), 0.0)
}

// Guards against state that outlasts a suspension of the VM, and against a clock that
// goes back.
func TestStateExpires(t *testing.T) {
	l, c := New(epoch), newCaller("a")
	l.Overloaded(epoch, c)
	l.Told(epoch, c, 1, time.Second)
	l.Admitted(epoch, c)
	for range 9 {
		l.Judge(epoch, c, 1)
	}
	assert.Equal(t, l.Judge(epoch, c, 1).Measure, maxPressed+1)
	l.Judge(epoch.Add(-time.Hour), c, 1)
	for _, later := range []time.Duration{10 * time.Second, time.Hour, 24 * 365 * time.Hour} {
		now := epoch.Add(later)
		l.Overloaded(now, c)
		v := l.Judge(now, c, 1)
		assert.Assert(t, v.Standing == Fair && v.Refusal == None && v.Measure < 1, "%v: %+v", later, v)
	}
}
