package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	contact      = 4 * time.Second // ContactMs
	configApply  = 3 * time.Second // ConfigApplyMs
	readyTimeout = 10 * time.Second
	startGap     = 30 * time.Millisecond // between the starts of two machines; all start within 0.3 s
)

// machine is a machine of the system with its process.
type machine struct {
	name, ip, zone string
	settings, log  string
	root           string // the repository
	cmd            *exec.Cmd
	exited         chan struct{}
	link           *storeLink // to the store

	mu            guard
	disturbedFrom time.Time // of the current or last disruption; zero for none
	disturbedTo   time.Time // its end; zero while it lasts
}

// inTouch reports whether the machine was without disruption for ContactMs before at.
func (m *machine) inTouch(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.disturbedFrom.IsZero() || at.Before(m.disturbedFrom) {
		return true
	}
	return !m.disturbedTo.IsZero() && at.Sub(m.disturbedTo) > contact
}

func (m *machine) disturb(begin bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if begin {
		m.disturbedFrom, m.disturbedTo = time.Now(), time.Time{}
		return
	}
	m.disturbedTo = time.Now()
}

func (m *machine) front() string { return m.ip + ":8363" }

// fleet is the system's machines.
type fleet struct {
	machines []*machine
	client   *http.Client
}

// startFleet starts count machines in zones z0 and z1.
func startFleet(root, dir, storeAddress string, count int) (*fleet, error) {
	net1, err := freeNetwork(count)
	if err != nil {
		return nil, err
	}
	f := &fleet{client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	var seeds []string
	for i := range count {
		m := &machine{mu: newGuard(), name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", net1, i+1), zone: fmt.Sprintf("z%d", i%2), root: root}
		m.settings, m.log = filepath.Join(dir, m.name+".yaml"), filepath.Join(dir, m.name+".log")
		f.machines = append(f.machines, m)
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", m.ip+":8360"))
		}
	}
	for _, m := range f.machines {
		if m.link, err = newStoreLink(storeAddress); err != nil {
			return nil, err
		}
		text := strings.NewReplacer("NAME", m.name, "IP", m.ip, "ZONE", m.zone, "SEEDS", strings.Join(seeds, ", "), "STORE", m.link.address).Replace(settingsText)
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := m.start(); err != nil {
			return nil, err
		}
		time.Sleep(startGap)
	}
	deadline := time.Now().Add(readyTimeout)
	for _, m := range f.machines {
		for !f.ready(m) {
			if time.Now().After(deadline) {
				f.kill()
				return nil, fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return f, nil
}

const settingsText = `NodeName: "NAME"
Role: "vm"
MachineClass: "front"
Serves: ["front", "control", "directory"]
Ip: "IP"
Zone: "ZONE"
Region: "r"
Zones: {z0: "r", z1: "r"}
Listen: {Front: "IP:8363", Ready: "IP:8364", Control: "IP:8360", directory: "IP:8365"}
InternalPorts: [7740, 7755]
SeedNodes: [SEEDS]
Bootstrap: true
LossCounted: false
Limits: {CpuShare: 0.4, Cores: 1, MemoryMb: 284, MaxFds: 4100, BandwidthMbps: 1000.0, DiskMb: 0}
DataDir: null
Discovery: "platform"
Entry: "directory"
HeartbeatMs: 1200
Invariants: ["base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "tenants", "quota", "platform"]
FaultTolerance: {Machines: 1, Zones: 1, Regions: 0}
Parameters: {SeedLagS: 3, AddrReuseS: 2, ContactMs: 4000, AckMs: 5000, SyncS: 4, DrainMs: 3000, GraceS: 6, LossSlackMs: 200, ConfigApplyMs: 3000, RollbackSlackMs: 250, MaxSkewMs: 12000, StrictRevoke: true, RevokeMs: 5000, BudgetRatio: 0.2, BudgetWindowS: 10, RetrySlack: 56, QuotaWindowS: 5, QuotaOver: 0.25, QuotaSlack: 20, ColdOver: 1.5, ColdSlack: 5, EvacMs: 5000, RecoverS: 12, ttl_max_s: 5}
platform: {Address: "STORE", form: "read", WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1048576, TtlMinMs: 1000}
`

// freeNetwork returns the first three numbers of loopback addresses whose ports are free.
func freeNetwork(machines int) (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+i)
		free := true
		for m := range machines {
			for _, port := range []int{8360, 8363, 8364, 8365, 7755} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", prefix, m+1, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// start runs the command of the deploy file.
func (m *machine) start() error {
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command("sh", "-c", "ulimit -n 4100 && exec target/anvilforkd -platform") // MaxFds
	m.cmd.Dir = m.root
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "ANVILFORK_BOOT=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	started.Lock()
	err = m.cmd.Start()
	if err == nil {
		started.processes = append(started.processes, m.cmd.Process)
	}
	started.Unlock()
	if err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(m.cmd, m.exited)
	return nil
}

// killAndRestart kills the process, and starts it again after a while.
func (m *machine) killAndRestart(down time.Duration) error {
	m.disturb(true)
	_ = m.cmd.Process.Kill()
	<-m.exited
	time.Sleep(down)
	if err := m.start(); err != nil {
		return err
	}
	m.disturb(false)
	return nil
}

// started holds all processes that were started. A process that was waited for is not
// signalled by os.Process.Kill.
var started = struct {
	guard
	processes []*os.Process
}{guard: newGuard()}

// killStarted kills all processes that were started, and lets no other one start.
func killStarted() {
	started.Lock() // never unlocked: this program ends
	for _, p := range started.processes {
		_ = p.Kill()
	}
}

func (f *fleet) kill() {
	for _, m := range f.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
}

func (f *fleet) ready(m *machine) bool {
	resp, err := f.client.Get("http://" + m.ip + ":8364/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// resolve asks the directories for addresses, as a client of a zone does: three of them,
// the nearest first. It returns nil without an answer.
func (f *fleet) resolve(zone string) []*machine {
	var near, far []*machine
	for _, m := range f.machines {
		if m.zone == zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	for _, m := range append(near, far...)[:min(3, len(f.machines))] {
		resp, err := f.client.Get("http://" + m.ip + ":8365/v1/resolve?" + url.Values{"Name": {host}, "Region": {"r"}, "Zone": {zone}}.Encode())
		if err != nil {
			continue
		}
		var answer struct {
			Addrs []string `json:"addrs"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err != nil || len(answer.Addrs) == 0 {
			continue
		}
		var all []*machine
		for _, o := range f.machines {
			for _, a := range answer.Addrs {
				if a == o.front() {
					all = append(all, o)
				}
			}
		}
		return all
	}
	return nil
}
