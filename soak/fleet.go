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
	vmCount           = 4
	targetServiceTime = 5 * time.Millisecond
	restartDelay      = 200 * time.Millisecond
	readyTimeout      = 8 * time.Second
	targetsPerService = 3
	unthrottledRate   = 1000.0 // requests per second, far above what the callers send
)

var (
	shardNames    = []string{"s0", "s1", "s2"}
	singleService = "one"
	zones         = []string{"z0", "z1"} // of the VMs
	// remoteZones replaces zones for the targets of sharded services in runs that
	// exercise relaying: VMs in z0 have no target in their own zone, and z2 has
	// no VM.
	remoteZones = []string{"z1", "z1", "z2"}
)

// vm is one daemon process.
type vm struct {
	name, ip, dir string
	zone          string
	storeProxy    *proxy // between this VM and the store
	cmd           *exec.Cmd
	expectedExit  bool // the soak has signaled the process to exit
	exited        chan struct{}
}

// fleet holds the daemon processes and the fakes of one run. Only the goroutine
// of the run uses it.
type fleet struct {
	daemonPath, dir string
	store           *platformtest.Store
	vms             []*vm
	targets         []*proxiedTarget
	runs            chan platformtest.Run
	exits           chan string // VM name and error of each process that exited
	config          platformtest.Config
	written         map[string]string // by key: what was written last; empty if it was removed
	remoteTargets   bool              // targets of shards are in remoteZones
	targetSeq       int
}

// proxiedTarget is a target that the VMs reach through a proxy.
type proxiedTarget struct {
	*platformtest.Target
	proxy *proxy
}

// newFleet starts the store, the targets and the VMs of a run. Runs with an odd seed
// exercise relaying.
func newFleet(daemonPath, dir string, seed int64) (*fleet, error) {
	f := &fleet{daemonPath: daemonPath, dir: dir, store: platformtest.NewStore(), runs: make(chan platformtest.Run, 4096), exits: make(chan string, 64), written: make(map[string]string), remoteTargets: seed%2 == 1}
	for _, service := range append([]string{singleService}, shardNames...) {
		for range targetsPerService {
			if err := f.addTarget(service); err != nil {
				return nil, err
			}
		}
	}
	f.config = platformtest.Config{Shards: shardNames, Single: singleService, Rates: map[string]float64{"a": unthrottledRate, limitedWorkspace: limitedRate},
		Keys: map[string][]string{"a": {"key-a1", "key-a2"}, limitedWorkspace: {"key-l"}}}
	f.publishConfig()
	for i := range vmCount {
		v := &vm{name: fmt.Sprintf("vm%d", i), ip: loopbackIP(seed, i), zone: zones[i%len(zones)]}
		v.dir = filepath.Join(dir, v.name)
		storeProxy, err := newProxy(f.store.Address())
		if err != nil {
			return nil, err
		}
		v.storeProxy = storeProxy
		f.vms = append(f.vms, v)
	}
	for _, v := range f.vms {
		if err := f.start(v); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// loopbackIP returns the address of a VM. It depends on the process ID and the
// seed, so that parallel runs do not share addresses.
func loopbackIP(seed int64, vm int) string {
	const first, netCount = 10, 200
	return fmt.Sprintf("127.%d.%d.%d", first+os.Getpid()%netCount, seed%netCount, vm+1)
}

// put writes an entry of the store.
func (f *fleet) put(key, value string) {
	f.written[key] = value
	f.store.Put(key, value)
}

// remove removes an entry of the store.
func (f *fleet) remove(key string) {
	f.written[key] = ""
	f.store.Delete(key)
}

// writeAgain repeats the last write of each key, as operators and targets do when the
// store has lost it.
func (f *fleet) writeAgain() {
	for key, value := range f.written {
		if value == "" {
			f.store.Delete(key)
			continue
		}
		f.store.Put(key, value)
	}
}

// publishConfig publishes the configuration under a higher version. It skips version
// numbers on purpose.
func (f *fleet) publishConfig() {
	f.config.Version += 3
	f.put(platformtest.ConfigKey, f.config.JSON())
}

func (f *fleet) nextTargetZone(service string) string {
	if f.remoteTargets && service != singleService {
		return remoteZones[f.targetSeq%len(remoteZones)]
	}
	return zones[f.targetSeq%len(zones)]
}

// addTarget starts a target of a service behind a proxy and registers it in the store.
func (f *fleet) addTarget(service string) error {
	f.targetSeq++
	t, err := platformtest.NewTarget(fmt.Sprintf("i-%d", f.targetSeq), service, f.nextTargetZone(service), targetServiceTime, f.runs)
	if err != nil {
		return err
	}
	targetProxy, err := newProxy(t.Address())
	if err != nil {
		return err
	}
	f.targets = append(f.targets, &proxiedTarget{Target: t, proxy: targetProxy})
	f.put(platformtest.Entry(t.ID, t.Service, t.Zone, targetProxy.address(), false))
	return nil
}

// start starts the process of a VM. Its log is appended to a file in the
// directory of its settings.
func (f *fleet) start(v *vm) error {
	if err := os.MkdirAll(v.dir, 0o755); err != nil {
		return err
	}
	seeds := []string{f.vms[0].ip + ":" + platformtest.PeerPort, f.vms[1].ip + ":" + platformtest.PeerPort}
	path := filepath.Join(v.dir, "settings.yaml")
	settings := platformtest.Settings(v.name, v.ip, v.zone, v.storeProxy.address(), seeds)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(v.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.cmd = exec.Command(f.daemonPath, "-platform")
	v.cmd.Env = append(os.Environ(), platformtest.SettingsVariable+"="+path)
	v.cmd.Stdout, v.cmd.Stderr = log, log
	v.expectedExit, v.exited = false, make(chan struct{})
	if err := v.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		_ = log.Close() // the process has exited
		f.exits <- fmt.Sprintf("%s: %v", v.name, err)
		close(exited)
	}(v.cmd, v.exited)
	return nil
}

// terminate sends a signal to the process of a VM and waits for its exit.
func (v *vm) terminate(s syscall.Signal, wait time.Duration) error {
	v.expectedExit = true
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

func (v *vm) frontAddress() string { return v.ip + ":" + platformtest.FrontPort }

// waitReady polls the readiness endpoint of a VM and returns false if it is not
// ready within readyTimeout.
func (v *vm) waitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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

// close kills all processes and targets and stops the store.
func (f *fleet) close() {
	for _, v := range f.vms {
		v.expectedExit = true
		_ = v.cmd.Process.Signal(syscall.SIGCONT) // it may be paused, or gone
		_ = v.cmd.Process.Kill()
		<-v.exited
	}
	for _, t := range f.targets {
		t.Kill()
	}
	f.store.Close()
}
