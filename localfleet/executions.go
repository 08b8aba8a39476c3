package localfleet

// execution is a request that a stand-in target ran to completion. The zero value
// stands for an attempt that no target ran.
type execution struct {
	service string
	group   string
	version uint64
}

type recordMsg struct {
	attempt   string
	execution execution
}

type lookupMsg struct {
	attempt string
	reply   chan<- execution
}

// recordBacklog is the number of executions that may wait to be recorded.
const recordBacklog = 1024

// executionLog records which attempts the stand-in targets ran to completion. One
// goroutine owns the records; it ends when stop is closed.
type executionLog struct {
	records chan recordMsg
	lookups chan lookupMsg
	stop    chan struct{}
}

func newExecutionLog() *executionLog {
	l := &executionLog{
		records: make(chan recordMsg, recordBacklog),
		lookups: make(chan lookupMsg),
		stop:    make(chan struct{}),
	}
	go l.run()
	return l
}

func (l *executionLog) run() {
	executions := make(map[string]execution)
	for {
		select {
		case m := <-l.records:
			executions[m.attempt] = m.execution
		case q := <-l.lookups:
			l.drain(executions)
			q.reply <- executions[q.attempt]
		case <-l.stop:
			return
		}
	}
}

// drain records all executions that were sent before a lookup.
func (l *executionLog) drain(executions map[string]execution) {
	for {
		select {
		case m := <-l.records:
			executions[m.attempt] = m.execution
		default:
			return
		}
	}
}

// add records an execution. A target calls it before it sends its answer, so that
// a lookup by the receiver of the answer finds the record.
func (l *executionLog) add(attempt string, e execution) {
	select {
	case l.records <- recordMsg{attempt: attempt, execution: e}:
	case <-l.stop:
	}
}

// lookup returns the execution of an attempt.
func (l *executionLog) lookup(attempt string) execution {
	reply := make(chan execution, 1)
	select {
	case l.lookups <- lookupMsg{attempt: attempt, reply: reply}:
		return <-reply
	case <-l.stop:
		return execution{}
	}
}
