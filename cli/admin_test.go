package cli_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/cli"
	"github.com/anvilfork/anvilfork/daemon"
	"github.com/anvilfork/anvilfork/localfleet"
	"github.com/anvilfork/anvilfork/standin"
)

const (
	fleetTimeout   = 20 * time.Second // upper bound of each wait, which ends as soon as its condition holds
	unreachableURL = "http://127.0.0.1:1"
)

// startFleet starts two VMs with a document that allows three.
func startFleet(t *testing.T) *localfleet.Fleet {
	t.Helper()
	f, err := localfleet.Start(localfleet.Options{
		Document: []byte(strings.Replace(document, "max_vms = 9", "max_vms = 3", 1)), VMs: 2,
		ServiceTime: func(string) time.Duration { return time.Millisecond }, Log: zerolog.Nop(),
	})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	return f
}

func adminURLs(f *localfleet.Fleet) string {
	var urls []string
	for _, m := range f.Members {
		urls = append(urls, m.AdminURL())
	}
	return strings.Join(urls, ",")
}

// fleetStatus holds the fields of the status output that the tests check.
type fleetStatus struct {
	VM          struct{ ID, Zone, State string }
	Serving     bool
	Revision    uint64
	Digest      string
	Coordinator struct {
		VM       string
		Fraction float64
	}
	Live, Answers int
	VMs           []struct {
		ID, Zone, State, Digest string
		Answers                 bool
	}
	Groups []struct {
		Group string
		VMs   []string
	}
	Targets []struct {
		Service string
		States  map[string]int
		Usable  int
	}
	Workspaces []struct {
		Name          string
		RatePerSecond float64 `json:"rate_per_second"`
		HeldPerSecond float64 `json:"held_per_second"`
	}
}

// waitSettled waits until a VM serves, knows a coordinator, both VMs and both owners
// of the shard, and sees the target as ready. It returns the URL and the status of
// this VM.
func waitSettled(t *testing.T, f *localfleet.Fleet) (string, fleetStatus) {
	t.Helper()
	for deadline := time.Now().Add(fleetTimeout); ; time.Sleep(50 * time.Millisecond) {
		for _, m := range f.Members {
			var s fleetStatus
			r := runCLI("status", "-url", m.AdminURL(), "-json")
			assert.Equal(t, r.code, cli.ExitOK, r.stderr)
			assert.NilError(t, json.Unmarshal([]byte(r.stdout), &s))
			if s.Serving && s.Coordinator.VM != "" && len(s.VMs) == 2 && len(s.Groups[0].VMs) == 2 &&
				len(s.Targets) == 1 && s.Targets[0].States["ready"] == 1 {
				return m.AdminURL(), s
			}
		}
		assert.Assert(t, time.Now().Before(deadline), "the fleet did not settle")
	}
}

// Guards against a status that omits or misreports a part of the fleet.
func TestStatus(t *testing.T) {
	f := startFleet(t)
	url, s := waitSettled(t, f)
	assert.Equal(t, s.Revision, f.Revision())
	assert.Equal(t, len(s.Digest), 64)
	assert.Equal(t, s.Coordinator.Fraction, 1.0)
	assert.Equal(t, s.Groups[0].Group, "g0")
	assert.Equal(t, s.Workspaces[0].Name, "matlane")
	assert.Equal(t, s.Workspaces[0].RatePerSecond, 100.0)
	for _, vm := range s.VMs {
		assert.Equal(t, vm.Zone, "a")
		assert.Equal(t, vm.State, "live")
	}
	r := runCLI("status", "-url", url, "-watch", "10ms", "-times", "2")
	assert.Equal(t, r.code, cli.ExitOK, r.stderr)
	assertContains(t, r.stdout, []string{
		"VM             " + s.VM.ID + ", zone a, live, serving\n", fmt.Sprintf("revision %d, digest %.12s\n", s.Revision, s.Digest),
		"coordinator    " + s.Coordinator.VM + ", 1 of every limit", "(2 of at most 3 VMs)",
		s.VMs[0].ID, s.VMs[1].ID, "g0     " + strings.Join(s.Groups[0].VMs, ", "), "1 ready", "matlane    100.0", "ANSWERED",
	})
	assert.Equal(t, strings.Count(r.stdout, "coordinator    "), 2)
}

// readStatus runs status -json and returns the output and the exit code.
func readStatus(t *testing.T, url string) (fleetStatus, cli.ExitCode) {
	t.Helper()
	var s fleetStatus
	r := runCLI("status", "-url", url, "-json")
	assert.NilError(t, json.Unmarshal([]byte(r.stdout), &s), r.stderr)
	return s, r.code
}

// Guards against a status that shows the view of one VM as that of the whole fleet,
// and against an unresponsive VM that is omitted, or counted as having the revision,
// once the others no longer count it as alive.
func TestStatusNamesUnresponsiveVM(t *testing.T) {
	f := startFleet(t)
	waitSettled(t, f)
	reporting, unresponsive := f.Members[0].AdminURL(), f.Members[1]
	deadline := time.Now().Add(fleetTimeout)
	s, code := readStatus(t, reporting)
	for ; s.Workspaces[0].HeldPerSecond < 85; s, code = readStatus(t, reporting) {
		assert.Assert(t, time.Now().Before(deadline), "two of at most three VMs hold %v of the rate", s.Workspaces[0].HeldPerSecond)
	}
	assert.Equal(t, code, cli.ExitOK)
	assert.Equal(t, s.Answers, 2)
	assert.Equal(t, s.VMs[0].Digest, s.VMs[1].Digest)
	assert.Assert(t, s.Workspaces[0].HeldPerSecond <= s.Workspaces[0].RatePerSecond)

	f.Kill(unresponsive)
	for s.Live == 2 {
		s, code = readStatus(t, reporting)
		assert.Equal(t, code, cli.ExitFailed)
		assert.Assert(t, s.Answers == 1 && len(s.VMs) == 2, "%+v", s.VMs)
	}
	r := runCLI("status", "-url", reporting)
	assert.Equal(t, r.code, cli.ExitFailed)
	assertContains(t, r.stdout, []string{"1 of 2 VMs answer", unresponsive.Name, "missing  does not answer: dial tcp "})
	r = runCLI("wait", "-url", reporting, "-timeout", "300ms", fmt.Sprint(f.Revision()))
	assert.Equal(t, r.code, cli.ExitFailed)
	assertContains(t, r.stderr, []string{"1 of 2 VMs have revision", unresponsive.Name + ": does not answer"})

	f.RemoveGoneVMs()
	for code != cli.ExitOK {
		assert.Assert(t, time.Now().Before(deadline), "a VM that is no longer listed still counts as unresponsive")
		s, code = readStatus(t, reporting)
	}
	assert.Equal(t, len(s.VMs), 1)
}

// Guards against a dump that lacks a part of the state.
func TestDump(t *testing.T) {
	f := startFleet(t)
	url, s := waitSettled(t, f)
	r := runCLI("dump", "-url", url+"/")
	assert.Equal(t, r.code, cli.ExitOK, r.stderr)
	var d daemon.Dump
	assert.NilError(t, json.Unmarshal([]byte(r.stdout), &d))
	assert.Equal(t, d.Control.Revision, s.Revision)
	assert.Equal(t, string(d.Control.Coordinator.VM), s.Coordinator.VM)
	assert.Equal(t, len(d.Control.Owners), 1)
	assert.Equal(t, len(d.Control.IDHolders), 64)
	assert.Equal(t, len(d.Control.ShardShares), 1)
	assert.Assert(t, d.Control.ShardShares[0].ExpiresMs > 0)
	assert.Equal(t, len(d.Owner.Shards), 1)
}

// Guards against a wait that ends before all VMs have the revision, returns the
// wrong exit code, or prints no progress.
func TestWait(t *testing.T) {
	f := startFleet(t)
	waitSettled(t, f)
	all, next := adminURLs(f), fmt.Sprint(f.Revision()+1)
	r := runCLI("wait", "-url", all, "-timeout", "300ms", next)
	assert.Equal(t, r.code, cli.ExitFailed)
	assert.Equal(t, r.stdout, "")
	assertContains(t, r.stderr, []string{"0 of 2 VMs have revision " + next, fmt.Sprintf("revision %d", f.Revision()), "2 of 2 VMs do not have revision " + next})

	done := make(chan result, 1)
	go func() { done <- runCLI("wait", "-url", all, next, "-timeout", fleetTimeout.String()) }()
	assert.NilError(t, f.Edit(func(e *localfleet.Editor) { e.SetRate("matlane", 90, 50) }))
	r = <-done
	assert.Equal(t, r.code, cli.ExitOK, r.stderr)
	assertContains(t, r.stdout, []string{"2 of 2 VMs have revision " + next})

	f.Kill(f.Members[1])
	r = runCLI("wait", "-url", all, "-timeout", "300ms", next)
	assert.Equal(t, r.code, cli.ExitFailed)
	assertContains(t, r.stderr, []string{"1 of 2 VMs have revision " + next, f.Members[1].AdminURL() + ":"})
}

// Guards against an admin key that is not sent, and against one that is printed.
func TestAdminKey(t *testing.T) {
	const key = "an-admin-key-of-the-test"
	platform := standin.NewPlatform()
	t.Cleanup(platform.Close)
	vm, err := daemon.Start(daemon.Settings{
		VM: "one", Zone: "a", PeerListen: "127.0.0.1:0", CallerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		PlatformURL: platform.URL(), AdminKey: key,
	}, zerolog.Nop())
	assert.NilError(t, err)
	t.Cleanup(vm.Kill)
	for _, args := range [][]string{{"status", "-url", vm.AdminURL()}, {"dump", "-url", vm.AdminURL()}, {"wait", "-url", vm.AdminURL(), "-timeout", "200ms", "1"}} {
		for _, c := range []struct {
			key  string
			good bool
		}{{key, true}, {"", false}, {"a-wrong-admin-key", false}} {
			t.Run(args[0]+" "+c.key, func(t *testing.T) {
				t.Setenv("ANVILFORK_ADMIN_KEY", c.key)
				r := runCLI(args...)
				assert.Equal(t, !strings.Contains(r.stderr, "unauthorized"), c.good, r.stderr)
				assert.Assert(t, !strings.Contains(r.stdout+r.stderr, "an-admin-key"))
				assert.Assert(t, !strings.Contains(r.stdout+r.stderr, "a-wrong-admin-key"))
			})
		}
	}
}

// Guards against invalid command lines that are accepted, and against exit code 0
// for an unreachable VM.
func TestAdminVerbsFail(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code cli.ExitCode
		text string
	}{
		{"status without URL", []string{"status"}, cli.ExitUsage, `flag -url "" must be the base URL`},
		{"status of two", []string{"status", "-url", unreachableURL + "," + unreachableURL}, cli.ExitUsage, "must be one base URL"},
		{"status backwards", []string{"status", "-url", unreachableURL, "-watch", "-1s"}, cli.ExitUsage, "flag -watch"},
		{"status times", []string{"status", "-url", unreachableURL, "-times", "-1"}, cli.ExitUsage, "flag -times"},
		{"status of none", []string{"status", "-url", unreachableURL}, cli.ExitFailed, unreachableURL + ":"},
		{"dump without URL", []string{"dump"}, cli.ExitUsage, `flag -url "" must be the base URL`},
		{"dump with operand", []string{"dump", "-url", unreachableURL, "x"}, cli.ExitUsage, "dump takes 0 arguments"},
		{"dump of none", []string{"dump", "-url", unreachableURL}, cli.ExitFailed, unreachableURL + ":"},
		{"wait without revision", []string{"wait", "-url", unreachableURL}, cli.ExitUsage, "wait takes 1 arguments"},
		{"wait for a word", []string{"wait", "-url", unreachableURL, "last"}, cli.ExitUsage, `revision "last" must be`},
		{"wait for zero", []string{"wait", "-url", unreachableURL, "0"}, cli.ExitUsage, `revision "0" must be`},
		{"wait no time", []string{"wait", "-url", unreachableURL, "1", "-timeout", "0s"}, cli.ExitUsage, "flag -timeout"},
		{"wait for none", []string{"wait", "-url", unreachableURL, "1", "-timeout", "50ms"}, cli.ExitFailed, "no VM answered"},
		{"wait names none", []string{"wait", "-url", unreachableURL, "1", "-timeout", "50ms"}, cli.ExitFailed, "0 of 0 VMs have revision 1; " + unreachableURL + ":"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := runCLI(c.args...)
			assert.Equal(t, r.code, c.code, r.stderr)
			assert.Equal(t, r.stdout, "")
			assertContains(t, r.stderr, []string{c.text})
		})
	}
}
