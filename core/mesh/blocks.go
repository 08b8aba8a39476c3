package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
)

// A request content that crashes targets is blocked on all VMs. Its crashes are counted
// by the VMs that saw them, and added up by the hubs, which keep the counts of VMs that
// are gone. A block is known to every VM, each of which tells it to its hubs, so that it
// ends with none of them: it ends by its age alone.

const (
	// CrashesToBlock is the number of targets that a request content has crashed when
	// it is blocked.
	CrashesToBlock = 3
	// CrashRetention is the time without a crash after which a request content is
	// admitted again.
	CrashRetention = time.Minute
	// MaxCrashContents bounds the request contents whose crashes a VM counts, and those
	// that are blocked.
	MaxCrashContents = 256

	// maxDepartedProcesses bounds the processes that are gone whose crashes are counted.
	maxDepartedProcesses = 128
	// blockAgeTolerance is the difference up to which two times of a content's last
	// crash are the same. It is longer than a heartbeat is under way, so that passing a
	// block on does not prolong it.
	blockAgeTolerance = time.Second
)

// Crash counts the targets that requests with one fingerprint have crashed.
type Crash struct {
	Fingerprint uint64
	Count       uint32
	Age         time.Duration // since the last of them; zero from VMs of earlier versions
}

// Block is a request content that is blocked.
type Block struct {
	Fingerprint uint64
	Age         time.Duration // since the content last crashed a target; negative if it is not known
}

// RequestBlocked reports that requests with a fingerprint are blocked on this VM from
// now on.
type RequestBlocked struct {
	Fingerprint uint64
	Crashes     int           // targets that they crashed, as this VM has added up; zero if another VM told it of the block
	Counters    int           // processes of VMs that counted them
	Age         time.Duration // since the last crash
}

// RequestUnblocked reports that requests with a fingerprint are blocked no longer, since
// they crashed no target for CrashRetention.
type RequestUnblocked struct{ Fingerprint uint64 }

func (RequestBlocked) action()   {}
func (RequestUnblocked) action() {}

// process identifies a process of a VM.
type process struct {
	vm            fleet.VMID
	startedUnixMs int64
}

func (n *Node) process() process { return process{n.ID, n.StartedUnixMs} }

// crashRecord counts the targets that requests with one fingerprint have crashed, as one
// process has seen it.
type crashRecord struct {
	fingerprint uint64
	count       uint32
	lastAt      time.Time
}

// crashCounts holds the crashes that this VM and others report, and what follows.
type crashCounts struct {
	local    []crashRecord
	departed map[process][]crashRecord // of processes that are no members any more
	changed  bool                      // since blocks was updated
	blocks   map[uint64]time.Time      // last crash of each content that is blocked
}

// newCrashRecords returns the records of a report as of now.
func newCrashRecords(now time.Time, reported []Crash) []crashRecord {
	var records []crashRecord
	for _, c := range reported[:min(len(reported), MaxCrashContents)] {
		records = append(records, crashRecord{fingerprint: c.Fingerprint, count: c.Count, lastAt: now.Add(-max(c.Age, 0))})
	}
	return records
}

// setCrashes replaces the records of one process by its new report. Records of the same
// counts stay, so that the time that a report is under way does not make them newer.
func (m *Machine) setCrashes(now time.Time, into *[]crashRecord, reported []Crash) {
	same := slices.EqualFunc(*into, reported, func(r crashRecord, c Crash) bool { return r.fingerprint == c.Fingerprint && r.count == c.Count })
	if !same {
		*into = newCrashRecords(now, reported)
		m.crashes.changed = true
	}
}

// localCrashes returns the crashes that this VM has seen, to report them to others.
func (m *Machine) localCrashes(now time.Time) []Crash {
	var all []Crash
	for _, r := range m.crashes.local {
		all = append(all, Crash{Fingerprint: r.fingerprint, Count: r.count, Age: now.Sub(r.lastAt)})
	}
	return all
}

// setPeerCrashes replaces the crashes that another VM has seen. Those that were kept
// while that process was no member are among them.
func (m *Machine) setPeerCrashes(now time.Time, peer *member, reported []Crash) {
	m.setCrashes(now, &peer.crashes, reported)
	delete(m.crashes.departed, peer.node.process())
}

// keepCrashes goes on counting the crashes that a process has reported when it is no
// member any more.
func (m *Machine) keepCrashes(now time.Time, peer *member) {
	if len(peer.crashes) == 0 {
		return
	}
	departed := m.crashes.departed
	if departed == nil {
		departed = make(map[process][]crashRecord)
		m.crashes.departed = departed
	}
	departed[peer.node.process()] = peer.crashes
	maps.DeleteFunc(departed, func(_ process, records []crashRecord) bool { return now.Sub(lastCrash(records)) > CrashRetention })
	for len(departed) > maxDepartedProcesses {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(departed)), func(a, b process) int {
			return lastCrash(departed[a]).Compare(lastCrash(departed[b]))
		})
		delete(departed, oldest)
	}
}

// lastCrash returns the time of the newest record.
func lastCrash(records []crashRecord) time.Time {
	var last time.Time
	for _, r := range records {
		last = later(last, r.lastAt)
	}
	return last
}

// crashSum adds up the records of one content.
type crashSum struct {
	crashes, counters int
	lastAt            time.Time
}

// sumCrashes adds up the records that are not too old, over this VM, those that send
// heartbeats to it and processes that are gone.
func (m *Machine) sumCrashes(now time.Time) map[uint64]crashSum {
	sums := make(map[uint64]crashSum)
	add := func(records []crashRecord) {
		for _, r := range records {
			if now.Sub(r.lastAt) > CrashRetention {
				continue
			}
			s := sums[r.fingerprint]
			sums[r.fingerprint] = crashSum{s.crashes + int(r.count), s.counters + 1, later(s.lastAt, r.lastAt)}
		}
	}
	add(m.crashes.local)
	for _, peer := range m.members {
		add(peer.crashes)
	}
	for _, records := range m.crashes.departed {
		add(records)
	}
	return sums
}

// updateBlocks blocks the contents that have crashed enough targets, and ends the blocks
// of those that have crashed none for a while.
func (m *Machine) updateBlocks(now time.Time) {
	if m.crashes.changed {
		m.crashes.changed = false
		for fingerprint, s := range m.sumCrashes(now) {
			if s.crashes >= CrashesToBlock {
				m.block(now, fingerprint, s)
			}
		}
	}
	for fingerprint, lastAt := range m.crashes.blocks {
		if now.Sub(lastAt) > CrashRetention {
			delete(m.crashes.blocks, fingerprint)
			m.viewDirty = true
			m.emit(RequestUnblocked{Fingerprint: fingerprint})
		}
	}
}

// addBlocks takes over the blocks that another VM told, as of the given time.
func (m *Machine) addBlocks(now, asOf time.Time, told []Block) {
	for _, b := range told[:min(len(told), MaxCrashContents)] {
		m.block(now, b.Fingerprint, crashSum{lastAt: asOf.Add(-max(b.Age, 0))})
	}
}

// block blocks a content with the given crashes. Those of a block that another VM told
// are not known but for the time of the last one.
func (m *Machine) block(now time.Time, fingerprint uint64, s crashSum) {
	known, isBlocked := m.crashes.blocks[fingerprint]
	if now.Sub(s.lastAt) > CrashRetention || isBlocked && s.lastAt.Sub(known) <= blockAgeTolerance {
		return
	}
	if m.crashes.blocks == nil {
		m.crashes.blocks = make(map[uint64]time.Time)
	}
	m.crashes.blocks[fingerprint] = s.lastAt
	if isBlocked {
		return
	}
	m.viewDirty = true
	m.emit(RequestBlocked{Fingerprint: fingerprint, Crashes: s.crashes, Counters: s.counters, Age: now.Sub(s.lastAt)})
	if len(m.crashes.blocks) > MaxCrashContents {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(m.crashes.blocks)), func(a, b uint64) int {
			return m.crashes.blocks[a].Compare(m.crashes.blocks[b])
		})
		delete(m.crashes.blocks, oldest)
	}
}

// blockList returns the blocks, by fingerprint.
func (m *Machine) blockList(now time.Time) []Block {
	var all []Block
	for _, fingerprint := range slices.Sorted(maps.Keys(m.crashes.blocks)) {
		all = append(all, Block{Fingerprint: fingerprint, Age: now.Sub(m.crashes.blocks[fingerprint])})
	}
	return all
}
