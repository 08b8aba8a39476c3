package gateway

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/anvilfork/anvilfork/core/bytebudget"
)

// memoryPercent is the share of the process's memory, in percent, that answers of
// targets and requests of callers may hold while they are read, beyond the first
// few KB of each.
const memoryPercent = 10

// defaultProcessBytes is the memory of a process whose limit is not known.
const defaultProcessBytes = 256 << 20

// MemoryError reports that the memory for messages that are being read is used up.
type MemoryError struct{ Bytes int64 }

// Error implements error.
func (e *MemoryError) Error() string {
	return fmt.Sprintf("no memory is left for a message of %d bytes", e.Bytes)
}

// memoryTask owns the budget of bytes that connections hold while their messages
// are read.
type memoryTask struct {
	clock  clock
	budget *bytebudget.Budget
	inbox  chan memoryMsg
	ends   map[bytebudget.Holder]func() // ends the connection of a holder
	lastID bytebudget.Holder
}

// memoryMsg asks for memory or, with zero bytes, gives it back.
type memoryMsg struct {
	holder   bytebudget.Holder // zero for a new one
	total    int64
	patience time.Duration // how long a new holder may take
	end      func()        // ends the reading if its memory is needed for others; must not block
	granted  chan<- bytebudget.Holder
}

// newMemoryTask returns the task of a process that may use processBytes; zero
// stands for defaultProcessBytes.
func newMemoryTask(c clock, processBytes int64) *memoryTask {
	if processBytes <= 0 {
		processBytes = defaultProcessBytes
	}
	return &memoryTask{
		clock: c, budget: bytebudget.New(processBytes * memoryPercent / 100), inbox: make(chan memoryMsg),
		ends: make(map[bytebudget.Holder]func()),
	}
}

func (t *memoryTask) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case m := <-t.inbox:
			t.receive(m)
		}
	}
}

func (t *memoryTask) receive(m memoryMsg) {
	if m.total == 0 {
		t.budget.Release(m.holder)
		delete(t.ends, m.holder)
		return
	}
	h := m.holder
	switch {
	case h == 0:
		t.lastID++
		h = t.lastID
	case t.ends[h] == nil: // it was ended and has not noticed yet
		m.granted <- 0
		return
	}
	ended, granted := t.budget.Reserve(t.clock.now(), h, m.total, m.patience)
	for _, e := range ended {
		t.ends[e]()
		delete(t.ends, e)
	}
	if !granted {
		m.granted <- 0
		return
	}
	t.ends[h] = m.end
	m.granted <- h
}

// memoryHold is the memory of one message that is being read. It holds none until the
// first reserve.
type memoryHold struct {
	task      chan<- memoryMsg
	done      <-chan struct{}
	patience  time.Duration // how long the message may take
	interrupt func()        // ends the reading; must not block
	ended     chan struct{} // closed when the memory was needed for others
	holder    bytebudget.Holder
}

func newMemoryHold(task chan<- memoryMsg, done <-chan struct{}, patience time.Duration, interrupt func()) *memoryHold {
	return &memoryHold{task: task, done: done, patience: patience, interrupt: interrupt, ended: make(chan struct{})}
}

// end is called by the memory task, at most once.
func (h *memoryHold) end() {
	close(h.ended)
	h.interrupt()
}

// wasEnded reports whether the reading was ended. After release the result is final.
func (h *memoryHold) wasEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// reserve raises the memory of the message to total bytes. The error is a
// *MemoryError if that much is not left.
func (h *memoryHold) reserve(total int64) error {
	granted := make(chan bytebudget.Holder, 1)
	select {
	case h.task <- memoryMsg{holder: h.holder, total: total, patience: h.patience, end: h.end, granted: granted}:
	case <-h.done:
		return &MemoryError{Bytes: total}
	}
	holder := <-granted
	if holder == 0 {
		return &MemoryError{Bytes: total}
	}
	h.holder = holder
	return nil
}

// release gives the memory back.
func (h *memoryHold) release() {
	if h.holder == 0 {
		return
	}
	select {
	case h.task <- memoryMsg{holder: h.holder}:
	case <-h.done:
	}
	h.holder = 0
}

// heldBody is the body of a caller's request whose bytes are reserved as they
// arrive.
type heldBody struct {
	io.ReadCloser
	hold *memoryHold
	read int64
	held int64
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if err != nil && !errors.Is(err, io.EOF) && b.hold.wasEnded() {
		return n, &MemoryError{Bytes: b.held}
	}
	if b.read > b.held+freeRequestBytes {
		if reserveErr := b.hold.reserve(2 * b.read); reserveErr != nil {
			return n, reserveErr
		}
		b.held = 2 * b.read
	}
	return n, err
}

// reserveAll reserves the memory of a whole body of a known length, so that a body for
// which there is none is refused before it is sent. The error is a *MemoryError.
func (b *heldBody) reserveAll(length, maxLength int64) error {
	if length <= freeRequestBytes || length > maxLength {
		return nil
	}
	b.held = length
	return b.hold.reserve(length)
}

// failedBody is a body that is not read.
type failedBody struct{ err error }

// Read implements io.Reader.
func (b failedBody) Read([]byte) (int, error) { return 0, b.err }

// Close implements io.Closer.
func (b failedBody) Close() error { return nil }

// freeRequestBytes is the part of a request's body that needs no reservation.
const freeRequestBytes = 32 << 10
