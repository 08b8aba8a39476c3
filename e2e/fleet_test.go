// Package e2e tests fleets of real processes: they are killed, stopped, frozen
// and cut off while callers send queries.
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
	poll         = 20 * time.Millisecond
	maxOctet     = 254 // of an IPv4 address; 255 ends broadcast addresses
)

var (
	daemonPath string
	processes  atomic.Int32 // started by this test binary
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

// text is a configuration with one service of groups x 3 targets.
func text(groups int) []byte {
	var b strings.Builder
	b.WriteString("revision = 1\n[fleet]\nmax_vms = 4\naddress_ttl = \"1s\"\n")
	for _, z := range []string{"a", "b", "c"} {
		fmt.Fprintf(&b, "[[zone]]\nname = %q\n", z)
	}
	fmt.Fprintf(&b, "[[service]]\nname = %q\npartition_map = 1\nslots = 2\nconnections = 25\ncold_slots = 1\ncold_ramp = \"1s\"\n", service)
	for g := range groups {
		fmt.Fprintf(&b, "[[service.group]]\nname = \"g%02d\"\ntargets = [\n", g)
		for r, zone := range []string{"a", "b", "c"} {
			fmt.Fprintf(&b, "{address = \"192.0.2.1:%d\", zone = %q},\n", 9000+g*3+r, zone)
		}
		b.WriteString("]\n")
	}
	fmt.Fprintf(&b, "[[workspace]]\nname = %q\nrate = 2000.0\nburst = 2000.0\nkeys = [\"sha256:%064d\"]\n", workspace, 1)
	return []byte(b.String())
}

// process is one anvilforkd.
type process struct {
	name, zone          string
	peer, caller, admin string
	link                *standin.Link // relay in front of the peer address
	service             *standin.Link // this process's relay to the configuration service
	cmd                 *exec.Cmd
	log                 string
	ended               chan error
}

// processFleet is a fleet of processes with stand-in platform and targets.
type processFleet struct {
	*localfleet.Fleet
	t         *testing.T
	processes []*process
	started   int
}

func startProcesses(t *testing.T, n, groups int, edit func(e *localfleet.Editor)) *processFleet {
	t.Helper()
	inner, err := localfleet.Start(localfleet.Options{
		Text: text(groups), Service: func(string) time.Duration { return 2 * time.Millisecond }, Log: zerolog.Nop(),
		Edit: func(e *localfleet.Editor) {
			e.MaxVMs(n)
			if edit != nil {
				edit(e)
			}
		},
	})
	assert.NilError(t, err)
	t.Cleanup(inner.Close)
	f := &processFleet{Fleet: inner, t: t}
	for range n {
		f.start()
	}
	for _, p := range f.processes {
		f.waitServing(p)
	}
	return f
}

// start starts one more process and names it in the platform's list.
func (f *processFleet) start() *process {
	f.t.Helper()
	p := &process{name: fmt.Sprintf("vm%d", f.started), zone: string(rune('a' + f.started%3)), ended: make(chan error, 1)}
	f.started++
	host := loopback(int(processes.Add(1)))
	p.peer, p.caller, p.admin = host+":7401", host+":7402", host+":7400"
	link, err := standin.NewLink(p.peer)
	assert.NilError(f.t, err)
	f.t.Cleanup(link.Close)
	p.link = link
	p.service, err = standin.NewLink(strings.TrimPrefix(f.Platform.URL(), "http://"))
	assert.NilError(f.t, err)
	f.t.Cleanup(p.service.Close)
	dir := f.t.TempDir()
	settings := filepath.Join(dir, "settings.toml")
	body := fmt.Sprintf("vm = %q\nzone = %q\npeer_listen = %q\npeer_url = %q\ncaller_listen = %q\ncaller_url = %q\nadmin_listen = %q\nplatform_url = %q\n",
		p.name, p.zone, p.peer, "http://"+link.Address(), p.caller, "http://"+p.caller, p.admin, "http://"+p.service.Address())
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
		p.ended <- p.cmd.Wait()
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
	f.list()
	return p
}

func (f *processFleet) list() {
	var entries []standin.VMEntry
	for _, p := range f.processes {
		entries = append(entries, standin.VMEntry{ID: p.name, Zone: p.zone, Peer: "http://" + p.link.Address(), Caller: "http://" + p.caller, State: "live"})
	}
	f.Platform.SetVMs(entries)
}

// remove takes a process from the fleet and from the platform's list.
func (f *processFleet) remove(p *process) {
	for i, q := range f.processes {
		if q == p {
			f.processes = append(f.processes[:i:i], f.processes[i+1:]...)
		}
	}
	f.list()
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s))
}

// waitEnd waits for the end of the process and returns its error.
func (p *process) waitEnd(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.ended:
		return err
	case <-time.After(stopTimeout):
		t.Fatalf("process %s did not end", p.name)
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

func (f *processFleet) waitServing(p *process) {
	f.t.Helper()
	var last error
	defer func() {
		if f.t.Failed() {
			f.t.Logf("last refusal of %s: %v", p.name, last)
		}
	}()
	f.eventually(startTimeout, "process "+p.name+" does not serve", func() bool {
		s, ok := p.status()
		if !ok || !s.Serving {
			return false
		}
		last = f.send(p, client.Request{Service: service, Body: []byte("ready")})
		return last == nil
	})
}

// eventually polls until ok holds and returns the time that it took.
func (f *processFleet) eventually(limit time.Duration, what string, ok func() bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > limit {
			f.t.Fatalf("%s after %v", what, limit)
		}
		time.Sleep(poll)
	}
	return time.Since(began)
}

func (f *processFleet) client() *client.Client {
	var seeds []string
	for _, p := range f.processes {
		seeds = append(seeds, "http://"+p.caller)
	}
	c := client.New(client.Options{Seeds: seeds, Key: f.Key(workspace), Zone: "a"})
	f.t.Cleanup(c.Close)
	return c
}

// send sends a query to one process, without the retries of the client library.
func (f *processFleet) send(p *process, r client.Request) error {
	return sendOnce(f.t, "http://"+p.caller, f.Key(workspace), r)
}

// loopback returns the loopback address of the n-th process that this test
// binary starts. Each process has an address of its own, so that its fixed
// ports are free: a port found free on 127.0.0.1 was taken again, by another
// process or an outgoing connection, before the process could listen on it.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%maxOctet, pid%(maxOctet+1), 1+n%maxOctet)
}
