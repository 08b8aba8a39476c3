// Package e2e tests fleets of daemon processes against fakes of the platform and
// the targets. Processes are killed, stopped, frozen and partitioned while callers
// send queries.
package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/client"
	"github.com/anvilfork/anvilfork/localfleet"
	"github.com/anvilfork/anvilfork/standin"
)

const (
	service      = "stock"
	workspace    = "league"
	startTimeout = 20 * time.Second
	stopTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	maxOctet     = 254 // of an IPv4 address; 255 ends broadcast addresses
)

var (
	daemonPath   string
	processCount atomic.Int32 // started by this test binary
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "anvilfork-e2e")
	if err != nil {
		panic(err)
	}
	daemonPath = filepath.Join(dir, "anvilforkd")
	build := exec.Command("go", "build", "-o", daemonPath, "../cmd/anvilforkd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// configDocument returns a configuration with one service of the given number of
// shards, each with 3 targets in different zones.
func configDocument(shards int) []byte {
	var b strings.Builder
	b.WriteString("revision = 1\n[fleet]\nmax_vms = 4\naddress_ttl = \"1s\"\n")
	for _, z := range []string{"a", "b", "c"} {
		fmt.Fprintf(&b, "[[zone]]\nname = %q\n", z)
	}
	fmt.Fprintf(&b, "[[service]]\nname = %q\npartition_map = 1\nslots = 2\nconnections = 25\ncold_slots = 1\ncold_ramp = \"1s\"\n", service)
	for shard := range shards {
		fmt.Fprintf(&b, "[[service.group]]\nname = \"g%02d\"\ntargets = [\n", shard)
		for r, zone := range []string{"a", "b", "c"} {
			fmt.Fprintf(&b, "{address = \"192.0.2.1:%d\", zone = %q},\n", 9000+shard*3+r, zone)
		}
		b.WriteString("]\n")
	}
	fmt.Fprintf(&b, "[[workspace]]\nname = %q\nrate = 2000.0\nburst = 2000.0\nkeys = [\"sha256:%064d\"]\n", workspace, 1)
	return []byte(b.String())
}

// process is one anvilforkd process, which is one VM of the fleet.
type process struct {
	name, zone          string
	peer, caller, admin string
	peerLink            *standin.Link // between the other VMs and the peer address
	platformLink        *standin.Link // between this process and the configuration service
	cmd                 *exec.Cmd
	log                 string
	exited              chan error
}

// processFleet is a fleet of daemon processes with a fake platform and fake targets.
type processFleet struct {
	*localfleet.Fleet
	t         *testing.T
	processes []*process
	nextVM    int
}

// startProcesses starts a fleet of n VMs and waits until all of them answer queries.
// edit may be nil; it changes the configuration before the start.
func startProcesses(t *testing.T, n, shards int, edit func(e *localfleet.Editor)) *processFleet {
	t.Helper()
	base, err := localfleet.Start(localfleet.Options{
		Document: configDocument(shards), ServiceTime: func(string) time.Duration { return 2 * time.Millisecond }, Log: zerolog.Nop(),
		Edit: func(e *localfleet.Editor) {
			e.SetMaxVMs(n)
			if edit != nil {
				edit(e)
			}
		},
	})
	assert.NilError(t, err)
	t.Cleanup(base.Close)
	f := &processFleet{Fleet: base, t: t}
	for range n {
		f.start()
	}
	for _, p := range f.processes {
		f.waitServing(p)
	}
	return f
}

// start starts another process and adds it to the platform's list of VMs.
func (f *processFleet) start() *process {
	f.t.Helper()
	p := &process{name: fmt.Sprintf("vm%d", f.nextVM), zone: string(rune('a' + f.nextVM%3)), exited: make(chan error, 1)}
	f.nextVM++
	host := loopbackIP(int(processCount.Add(1)))
	p.peer, p.caller, p.admin = host+":7401", host+":7402", host+":7400"
	link, err := standin.NewLink(p.peer)
	assert.NilError(f.t, err)
	f.t.Cleanup(link.Close)
	p.peerLink = link
	p.platformLink, err = standin.NewLink(strings.TrimPrefix(f.Platform.URL(), "http://"))
	assert.NilError(f.t, err)
	f.t.Cleanup(p.platformLink.Close)
	dir := f.t.TempDir()
	settings := filepath.Join(dir, "settings.toml")
	body := fmt.Sprintf("vm = %q\nzone = %q\npeer_listen = %q\npeer_url = %q\ncaller_listen = %q\ncaller_url = %q\nadmin_listen = %q\nplatform_url = %q\n",
		p.name, p.zone, p.peer, "http://"+link.Address(), p.caller, "http://"+p.caller, p.admin, "http://"+p.platformLink.Address())
	assert.NilError(f.t, os.WriteFile(settings, []byte(body), 0o600))
	p.log = filepath.Join(dir, "log")
	log, err := os.Create(p.log)
	assert.NilError(f.t, err)
	p.cmd = exec.Command(daemonPath, "-settings", settings)
	p.cmd.Stderr = log
	if *measureProcs > 0 {
		p.cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", *measureProcs))
	}
	assert.NilError(f.t, p.cmd.Start())
	go func() {
		p.exited <- p.cmd.Wait()
		log.Close()
	}()
	f.t.Cleanup(func() {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		if f.t.Failed() {
			text, _ := os.ReadFile(p.log)
			f.t.Logf("log of %s:\n%.20000s", p.name, text)
		}
	})
	f.processes = append(f.processes, p)
	f.publishVMs()
	return p
}

func (f *processFleet) publishVMs() {
	var entries []standin.VMEntry
	for _, p := range f.processes {
		entries = append(entries, standin.VMEntry{ID: p.name, Zone: p.zone, Peer: "http://" + p.peerLink.Address(), Caller: "http://" + p.caller, State: "live"})
	}
	f.Platform.SetVMs(entries)
}

// remove removes a process from the fleet and from the platform's list of VMs.
func (f *processFleet) remove(p *process) {
	for i, q := range f.processes {
		if q == p {
			f.processes = append(f.processes[:i:i], f.processes[i+1:]...)
		}
	}
	f.publishVMs()
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s))
}

// waitExit waits until the process exits and returns its error.
func (p *process) waitExit(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.exited:
		return err
	case <-time.After(stopTimeout):
		t.Fatalf("process %s did not exit", p.name)
		return nil
	}
}

type status struct {
	Serving  bool   `json:"serving"`
	Revision uint64 `json:"revision"`
}

func (p *process) status() (status, bool) {
	var s status
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + p.admin + "/v1/status")
	if err != nil {
		return s, false
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s) == nil
}

// waitServing waits until a process reports that it serves and answers a query.
func (f *processFleet) waitServing(p *process) {
	f.t.Helper()
	var lastErr error
	defer func() {
		if f.t.Failed() {
			f.t.Logf("last refusal of %s: %v", p.name, lastErr)
		}
	}()
	f.eventually(startTimeout, "process "+p.name+" does not serve", func() bool {
		s, ok := p.status()
		if !ok || !s.Serving {
			return false
		}
		lastErr = f.send(p, client.Request{Service: service, Body: []byte("ready")})
		return lastErr == nil
	})
}

// eventually polls until ok returns true and returns the elapsed time. It fails the
// test with the given message after limit.
func (f *processFleet) eventually(limit time.Duration, what string, ok func() bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > limit {
			f.t.Fatalf("%s after %v", what, limit)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(began)
}

// client returns a client library instance in zone "a" with all VMs as seeds.
func (f *processFleet) client() *client.Client {
	var seeds []string
	for _, p := range f.processes {
		seeds = append(seeds, "http://"+p.caller)
	}
	c := client.New(client.Options{Seeds: seeds, Key: f.Key(workspace), Zone: "a"})
	f.t.Cleanup(c.Close)
	return c
}

// send sends a query to one process without the retries of the client library.
func (f *processFleet) send(p *process, r client.Request) error {
	return sendOnce(f.t, "http://"+p.caller, f.Key(workspace), r)
}

// loopbackIP returns the loopback address of the n-th process that this test binary
// starts. A separate address for each process keeps its fixed ports free: a port
// that was found free on 127.0.0.1 could be taken by another process or an outgoing
// connection before the process listened on it.
func loopbackIP(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%maxOctet, pid%(maxOctet+1), 1+n%maxOctet)
}
