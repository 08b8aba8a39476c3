package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Ports of a VM on its own loopback address.
const (
	frontPort     = 8363
	readyPort     = 8364
	controlPort   = 8360
	directoryPort = 8365
	firstInternal = 7740
	lastInternal  = 7755
)

// vm is a process of the query tier.
type vm struct {
	name, ip, zone string
	settings       string // path
	log            *os.File
	cmd            *exec.Cmd
	exited         chan struct{}
}

func (v *vm) front() string { return fmt.Sprintf("%s:%d", v.ip, frontPort) }

// fleet holds the processes of a run.
type fleet struct {
	root, dir string
	command   []string
	rec       *recorder
	vms       []*vm
	network   string // first three bytes of all addresses
}

// newFleet chooses free loopback addresses and writes the settings of one VM for each
// of the zones given. The first seedCount VMs are the seeds.
func newFleet(root, dir string, rec *recorder, storeAddress func(network string) string, zones []string, seedCount int) (*fleet, error) {
	command, err := deployCommand(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, command: command, rec: rec}
	if f.network, err = freeNetwork(len(zones)); err != nil {
		return nil, err
	}
	store := storeAddress(f.network)
	var seeds, zoneLines []string
	for i := range seedCount {
		seeds = append(seeds, fmt.Sprintf("  - %q\n", fmt.Sprintf("%s.%d:%d", f.network, i+1, controlPort)))
	}
	for _, z := range distinct(zones) {
		zoneLines = append(zoneLines, fmt.Sprintf("  %s: \"th-central\"\n", z))
	}
	for i, zone := range zones {
		v := &vm{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", f.network, i+1), zone: zone}
		v.settings = filepath.Join(dir, v.name+".yaml")
		text := fmt.Sprintf(settingsText, v.name, v.ip, zone, strings.Join(zoneLines, ""), v.ip, frontPort, v.ip, readyPort, v.ip, controlPort,
			v.ip, directoryPort, firstInternal, lastInternal, strings.Join(seeds, ""), store)
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if v.log, err = os.Create(filepath.Join(dir, v.name+".log")); err != nil {
			return nil, err
		}
		f.vms = append(f.vms, v)
	}
	return f, nil
}

// settingsText is the settings file of a process, with the parameters of the small
// deployments.
const settingsText = `NodeName: %q
Role: "vm"
MachineClass: "front"
Serves: ["front", "control", "directory"]
Ip: %q
Zone: %q
Region: "th-central"
Zones:
%sListen:
  Front: "%s:%d"
  Ready: "%s:%d"
  Control: "%s:%d"
  directory: "%s:%d"
InternalPorts: [%d, %d]
SeedNodes:
%sBootstrap: true
LossCounted: false
Limits: {CpuShare: 0.4, Cores: 1, MemoryMb: 284, MaxFds: 4100, BandwidthMbps: 1000.0, DiskMb: 0}
DataDir: null
Discovery: "platform"
Entry: "directory"
HeartbeatMs: 1200
Invariants: ["base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "tenants", "quota", "platform"]
FaultTolerance: {Machines: 1, Zones: 1, Regions: 0}
Parameters: {SeedLagS: 3, AddrReuseS: 2, ContactMs: 4000, AckMs: 5000, SyncS: 4, DrainMs: 3000, GraceS: 6, LossSlackMs: 200, ConfigApplyMs: 3000, RollbackSlackMs: 250, MaxSkewMs: 12000, StrictRevoke: true, RevokeMs: 5000, BudgetRatio: 0.2, BudgetWindowS: 10, RetrySlack: 56, QuotaWindowS: 5, QuotaOver: 0.25, QuotaSlack: 20, ColdOver: 1.5, ColdSlack: 5, EvacMs: 5000, RecoverS: 12, ttl_max_s: 5}
platform: {Address: %q, form: "read", WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1048576, TtlMinMs: 1000}
`

func distinct(names []string) []string {
	var all []string
	seen := make(map[string]bool)
	for _, n := range names {
		if !seen[n] {
			seen[n] = true
			all = append(all, n)
		}
	}
	return all
}

// deployCommand returns the words of the run line of the deploy file.
func deployCommand(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), "run = "); found {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s has no run line", path)
}

// freeNetwork returns the first three bytes of loopback addresses on which all ports of
// a VM are free.
func freeNetwork(vms int) (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if isFree(network, vms) {
			return network, nil
		}
	}
	return "", fmt.Errorf("no loopback addresses with free ports")
}

func isFree(network string, vms int) bool {
	for i := range vms {
		for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, lastInternal} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close() // it was only a probe
		}
	}
	return true
}

// start starts the process of a VM.
func (f *fleet) start(v *vm) error {
	cmd := exec.Command(filepath.Join(f.root, f.command[0]), f.command[1:]...)
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ANVILFORK_BOOT=" + v.settings}
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.cmd, v.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		f.rec.add("%s has ended: %v", v.name, err)
		close(exited)
	}()
	f.rec.add("%s is started", v.name)
	return nil
}

// kill ends the process of a VM at once.
func (f *fleet) kill(v *vm) {
	f.rec.add("%s gets SIGKILL", v.name)
	_ = v.cmd.Process.Kill() // it may have ended
	<-v.exited
}

// startAll starts all VMs and waits until they are ready.
func (f *fleet) startAll() error {
	for _, v := range f.vms {
		if err := f.start(v); err != nil {
			return err
		}
	}
	for _, v := range f.vms {
		if !f.awaitReady(v, 10*time.Second) {
			return fmt.Errorf("%s is not ready", v.name)
		}
	}
	return nil
}

func (f *fleet) awaitReady(v *vm, patience time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", v.ip, readyPort))
		if err != nil {
			continue
		}
		_ = resp.Body.Close() // the status is enough
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// stopAll kills all processes.
func (f *fleet) stopAll() {
	for _, v := range f.vms {
		if v.cmd != nil {
			_ = v.cmd.Process.Kill() // it may have ended
			<-v.exited
		}
	}
}
