package localfleet

// served is one request that a stand-in target ran to its end.
type served struct {
	service string
	group   string
	version uint64
}

type servedMsg struct {
	attempt string
	record  served
}

type askServed struct {
	attempt string
	reply   chan<- served
}

const ledgerBacklog = 1024

// ledger remembers what the stand-in targets really served. One goroutine owns
// the records.
type ledger struct {
	records chan servedMsg
	asks    chan askServed
	stop    chan struct{}
}

func newLedger() *ledger {
	l := &ledger{
		records: make(chan servedMsg, ledgerBacklog),
		asks:    make(chan askServed),
		stop:    make(chan struct{}),
	}
	go l.run()
	return l
}

func (l *ledger) run() {
	all := make(map[string]served)
	for {
		select {
		case m := <-l.records:
			all[m.attempt] = m.record
		case a := <-l.asks:
			l.drain(all)
			a.reply <- all[a.attempt]
		case <-l.stop:
			return
		}
	}
}

// drain takes the records that were sent before a question.
func (l *ledger) drain(all map[string]served) {
	for {
		select {
		case m := <-l.records:
			all[m.attempt] = m.record
		default:
			return
		}
	}
}

// add is called by a target before its answer leaves.
func (l *ledger) add(attempt string, r served) {
	select {
	case l.records <- servedMsg{attempt: attempt, record: r}:
	case <-l.stop:
	}
}

func (l *ledger) lookup(attempt string) served {
	reply := make(chan served, 1)
	select {
	case l.asks <- askServed{attempt: attempt, reply: reply}:
		return <-reply
	case <-l.stop:
		return served{}
	}
}
