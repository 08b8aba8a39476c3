package gateway

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a message that goes on and takes memory again after its memory was
// needed for others, and that is ended a second time.
func TestEndedHoldGetsNoMemory(t *testing.T) {
	const limit = 10 * memoryPercent
	done := make(chan struct{})
	defer close(done)
	task := newMemoryTask(newClock(), limit*100/memoryPercent)
	go task.run(done)
	interrupts := 0
	slow := newMemoryHold(task.inbox, done, 0, func() { interrupts++ })
	assert.NilError(t, slow.reserve(limit))
	time.Sleep(1100 * time.Millisecond) // until it counts as slow
	other := newMemoryHold(task.inbox, done, 0, func() {})
	assert.NilError(t, other.reserve(limit))
	assert.Assert(t, slow.wasEnded())
	other.release()
	var noMemory *MemoryError
	assert.Assert(t, errors.As(slow.reserve(limit+1), &noMemory))
	third := newMemoryHold(task.inbox, done, 0, func() {})
	assert.NilError(t, third.reserve(limit))
	third.release()
	slow.release()
	assert.Equal(t, interrupts, 1)
}

// Guards against a message that is ended for another one within the time that it may
// take.
func TestPatientHoldIsKept(t *testing.T) {
	const limit = 10 * memoryPercent
	done := make(chan struct{})
	defer close(done)
	task := newMemoryTask(newClock(), limit*100/memoryPercent)
	go task.run(done)
	patient := newMemoryHold(task.inbox, done, 3*time.Second, func() {})
	assert.NilError(t, patient.reserve(limit))
	time.Sleep(1100 * time.Millisecond)
	other := newMemoryHold(task.inbox, done, 0, func() {})
	assert.Assert(t, other.reserve(1) != nil)
	assert.Assert(t, !patient.wasEnded())
}
