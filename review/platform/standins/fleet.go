package main

import (
	"fmt"
	"log"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		log.Printf("the case could not run: %v", err)
		os.Exit(2)
	}
}

// restartDelay is the pause before a process that has ended is started again.
const restartDelay = 300 * time.Millisecond

// machine is one process of the system.
type machine struct {
	fleet    *fleet
	name, ip string
	zone     string
	mu       guard
	cmd      *exec.Cmd
	exited   chan struct{}
	stopped  bool // not started again
	expected bool // the script has sent a signal that ends it
	ends     int  // ends by itself
}

// fleet is the system, with settings as DEPLOY.md shows them.
type fleet struct {
	rec      *recorder
	store    string // address
	dir      string
	root     string // of the repository
	machines []*machine
	ports    [6]int // front, ready, control, directory, internal first and last
	seeds    []string
	seedOf   func(m *machine) []string // replaces seeds
	cold     bool
}

func newFleet(rec *recorder, root, storeAddress string, zones []string) *fleet {
	dir, err := os.MkdirTemp("", "review")
	check(err)
	f := &fleet{rec: rec, store: storeAddress, dir: dir, root: root}
	net3 := 20 + os.Getpid()%200
	for try := 0; ; try++ {
		f.machines = nil
		for i, z := range zones {
			f.machines = append(f.machines, &machine{mu: newGuard(), fleet: f, name: fmt.Sprintf("front-%s-%d", z, i+1), ip: fmt.Sprintf("127.%d.%d.%d", net3, 1+try, i+1), zone: z})
		}
		base := 21000 + (os.Getpid()+try*97)%20000
		for i := range f.ports {
			f.ports[i] = base + i
		}
		if f.portsFree() {
			break
		}
		if try == 20 {
			check(fmt.Errorf("no free ports"))
		}
	}
	for i := 0; i < len(f.machines) && i < 3; i++ {
		f.seeds = append(f.seeds, f.machines[i].control())
	}
	return f
}

func (f *fleet) portsFree() bool {
	for _, m := range f.machines {
		for _, p := range f.ports {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", m.ip, p))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, m.fleet.ports[port]) }
func (m *machine) front() string      { return m.at(0) }
func (m *machine) ready() string      { return m.at(1) }
func (m *machine) control() string    { return m.at(2) }
func (m *machine) directory() string  { return m.at(3) }

func (f *fleet) directories() []string {
	var all []string
	for _, m := range f.machines {
		all = append(all, m.directory())
	}
	return all
}

func (m *machine) settings() string {
	f := m.fleet
	seeds := f.seeds
	if f.seedOf != nil {
		seeds = f.seedOf(m)
	}
	var zones strings.Builder
	seen := map[string]bool{}
	for _, o := range f.machines {
		if !seen[o.zone] {
			seen[o.zone] = true
			fmt.Fprintf(&zones, "  %s: \"r1\"\n", o.zone)
		}
	}
	return fmt.Sprintf(`NodeName: %q
Role: "vm"
MachineClass: "front"
Serves: ["front", "control", "directory"]
Ip: %q
Zone: %q
Region: "r1"
Zones:
%sListen:
  Front: %q
  Ready: %q
  Control: %q
  directory: %q
InternalPorts: [%d, %d]
SeedNodes: ["%s"]
Bootstrap: true
LossCounted: false
Limits: {CpuShare: 0.4, Cores: 1, MemoryMb: 284, MaxFds: 4100, BandwidthMbps: 1000.0, DiskMb: 0}
DataDir: null
Discovery: "platform"
Entry: "directory"
HeartbeatMs: 1200
FaultTolerance: {Machines: 1, Zones: 1, Regions: 0}
Parameters: {SeedLagS: 3, AddrReuseS: 2, ContactMs: 4000, AckMs: 5000, SyncS: 4, DrainMs: 3000, GraceS: 6, LossSlackMs: 200, ConfigApplyMs: 3000, RollbackSlackMs: 250, MaxSkewMs: 12000, StrictRevoke: true, RevokeMs: 5000, BudgetRatio: 0.2, BudgetWindowS: 10, RetrySlack: 56, QuotaWindowS: 5, QuotaOver: 0.25, QuotaSlack: 20, ColdOver: 1.5, ColdSlack: 5, EvacMs: 5000, RecoverS: 12, ttl_max_s: 5}
platform: {Address: %q, form: "read", WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1048576, TtlMinMs: 1000}
`, m.name, m.ip, m.zone, zones.String(), m.front(), m.ready(), m.control(), m.directory(), f.ports[4], f.ports[5],
		strings.Join(seeds, `", "`), f.store)
}

// start starts the process with the command of the deploy file.
func (m *machine) start() {
	f := m.fleet
	dir := filepath.Join(f.dir, m.name)
	check(os.MkdirAll(dir, 0o755))
	path := filepath.Join(dir, "node.yaml")
	check(os.WriteFile(path, []byte(m.settings()), 0o600))
	out, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command("target/anvilforkd", "-platform")
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "ANVILFORK_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	check(cmd.Start())
	exited := make(chan struct{})
	m.mu.lock()
	m.cmd, m.exited, m.expected = cmd, exited, false
	m.mu.unlock()
	go func() {
		err := cmd.Wait()
		out.Close()
		m.mu.lock()
		own := !m.expected && !m.stopped
		if own {
			m.ends++
		}
		again := !m.stopped
		m.mu.unlock()
		if own {
			f.rec.note("%s ended by itself: %v", m.name, err)
		}
		close(exited)
		if again {
			time.Sleep(restartDelay)
			m.mu.lock()
			again = !m.stopped
			m.mu.unlock()
			if again {
				m.start()
			}
		}
	}()
}

// signal sends a signal to the process. ends tells that the process is to end.
func (m *machine) signal(s syscall.Signal, ends bool) {
	m.mu.lock()
	defer m.mu.unlock()
	m.expected = m.expected || ends
	_ = m.cmd.Process.Signal(s) // it may have ended
}

func (f *fleet) start() {
	for _, m := range f.machines {
		m.start()
	}
}

func (f *fleet) close() {
	for _, m := range f.machines {
		m.mu.lock()
		m.stopped = true
		cmd, exited := m.cmd, m.exited
		m.mu.unlock()
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}
