package gateway

import (
	"fmt"
	"io"

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
	holder  bytebudget.Holder // zero for a new one
	total   int64
	end     func() // ends the connection if its memory is needed for others; must not block
	granted chan<- bytebudget.Holder
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
	if h == 0 {
		t.lastID++
		h = t.lastID
	}
	ended, granted := t.budget.Reserve(t.clock.now(), h, m.total)
	for _, e := range ended {
		t.ends[e]()
		delete(t.ends, e)
	}
	if !granted {
		h = 0
	} else {
		t.ends[h] = m.end
	}
	m.granted <- h
}

// memoryHold is the memory of one message that is being read. Its zero value with
// a task and an end function holds none.
type memoryHold struct {
	task   chan<- memoryMsg
	done   <-chan struct{}
	end    func()
	holder bytebudget.Holder
}

// reserve raises the memory of the message to total bytes. The error is a
// *MemoryError if that much is not left.
func (h *memoryHold) reserve(total int64) error {
	granted := make(chan bytebudget.Holder, 1)
	select {
	case h.task <- memoryMsg{holder: h.holder, total: total, end: h.end, granted: granted}:
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
	if b.read > b.held+freeRequestBytes {
		if reserveErr := b.hold.reserve(2 * b.read); reserveErr != nil {
			return n, reserveErr
		}
		b.held = 2 * b.read
	}
	return n, err
}

// freeRequestBytes is the part of a request's body that needs no reservation.
const freeRequestBytes = 32 << 10
