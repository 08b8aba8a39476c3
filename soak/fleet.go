package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/anvilfork/anvilfork/platform/platformtest"
)

const (
	vmCount       = 4
	targetWork    = 5 * time.Millisecond
	restartPause  = 200 * time.Millisecond
	readyWithin   = 8 * time.Second
	targetsOfEach = 3
	plentyRate    = 1000.0 // requests a second, far above what the callers send
)

var (
	shardNames = []string{"s0", "s1", "s2"}
	single     = "one"
	zones      = []string{"z0", "z1"} // of the VMs
	// farZones are those of the shards' targets in runs where VMs in the first zone
	// have none beside them and relay. The last one has no VM.
	farZones = []string{"z1", "z1", "z2"}
)

// vm is one daemon process.
type vm struct {
	name, ip, dir string
	zone          string
	cmd           *exec.Cmd
	expected      bool // the soak ended it
	exited        chan struct{}
}

// fleet is the processes and stand-ins of one run. The run's goroutine owns it.
type fleet struct {
	bin, dir string
	store    *platformtest.Store
	link     *proxy // between VMs and the store
	vms      []*vm
	targets  []*targetLink
	runs     chan platformtest.Run
	exits    chan string
	config   platformtest.Config
	far      bool // shards have targets in farZones only
	seq      int
}

// targetLink is a target behind its proxy.
type targetLink struct {
	*platformtest.Target
	link *proxy
}

func newFleet(bin, dir string, seed int64) (*fleet, error) {
	f := &fleet{bin: bin, dir: dir, store: platformtest.NewStore(), runs: make(chan platformtest.Run, 4096), exits: make(chan string, 64), far: seed%2 == 1}
	link, err := newProxy(f.store.Address())
	if err != nil {
		return nil, err
	}
	f.link = link
	for _, service := range append([]string{single}, shardNames...) {
		for range targetsOfEach {
			if err := f.addTarget(service); err != nil {
				return nil, err
			}
		}
	}
	f.config = platformtest.Config{Shards: shardNames, Single: single, Rates: map[string]float64{"a": plentyRate, limitedSpace: limitedRate},
		Keys: map[string][]string{"a": {"key-a1", "key-a2"}, limitedSpace: {"key-l"}}}
	f.putConfig()
	for i := range vmCount {
		v := &vm{name: fmt.Sprintf("vm%d", i), ip: loopback(seed, i), zone: zones[i%len(zones)]}
		v.dir = filepath.Join(dir, v.name)
		f.vms = append(f.vms, v)
	}
	for _, v := range f.vms {
		if err := f.start(v); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// loopback returns an address for a VM that other runs at the same time do not use.
func loopback(seed int64, vm int) string {
	const first, nets = 10, 200
	return fmt.Sprintf("127.%d.%d.%d", first+os.Getpid()%nets, seed%nets, vm+1)
}

func (f *fleet) putConfig() {
	f.config.Version += 3
	f.store.Put(platformtest.ConfigKey, f.config.Text())
}

func (f *fleet) targetZone(service string) string {
	if f.far && service != single {
		return farZones[f.seq%len(farZones)]
	}
	return zones[f.seq%len(zones)]
}

func (f *fleet) addTarget(service string) error {
	f.seq++
	t, err := platformtest.NewTarget(fmt.Sprintf("i-%d", f.seq), service, f.targetZone(service), targetWork, f.runs)
	if err != nil {
		return err
	}
	link, err := newProxy(t.Address())
	if err != nil {
		return err
	}
	f.targets = append(f.targets, &targetLink{Target: t, link: link})
	f.store.Put(platformtest.Entry(t.ID, t.Service, t.Zone, link.address(), false))
	return nil
}

// start starts a VM's process; its log goes to a file beside its settings.
func (f *fleet) start(v *vm) error {
	if err := os.MkdirAll(v.dir, 0o755); err != nil {
		return err
	}
	seeds := []string{f.vms[0].ip + ":" + platformtest.PeerPort, f.vms[1].ip + ":" + platformtest.PeerPort}
	path := filepath.Join(v.dir, "settings.yaml")
	text := platformtest.Settings(v.name, v.ip, v.zone, f.link.address(), seeds)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.cmd = exec.Command(f.bin, "-platform")
	v.cmd.Env = append(os.Environ(), platformtest.SettingsVariable+"="+path)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.expected, v.exited = false, make(chan struct{})
	if err := v.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		_ = log.Close() // the process has ended
		f.exits <- fmt.Sprintf("%s: %v", v.name, err)
		close(exited)
	}(v.cmd, v.exited)
	return nil
}

// end ends a VM's process by a signal and waits for it.
func (v *vm) end(s syscall.Signal, wait time.Duration) error {
	v.expected = true
	if err := v.cmd.Process.Signal(s); err != nil {
		return err
	}
	select {
	case <-v.exited:
		return nil
	case <-time.After(wait):
		return fmt.Errorf("%s did not end within %v of %v", v.name, wait, s)
	}
}

func (v *vm) front() string { return v.ip + ":" + platformtest.FrontPort }

// ready waits until a VM says that it is ready.
func (v *vm) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.ip+":"+platformtest.ReadyPort+"/v1/ready", nil)
		if err != nil {
			return false
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close() // nothing is read from it
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

func (f *fleet) close() {
	for _, v := range f.vms {
		v.expected = true
		_ = v.cmd.Process.Signal(syscall.SIGCONT) // it may be paused, or gone
		_ = v.cmd.Process.Kill()
		<-v.exited
	}
	for _, t := range f.targets {
		t.Kill()
	}
	f.store.Close()
}
