package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/client"
	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/daemon"
	"github.com/anvilfork/anvilfork/standin"
)

const testKey = standin.KeyMarker + "test"

// testFleet is one service with fake targets, a fake platform and real VMs.
type testFleet struct {
	platform  *standin.Platform
	targets   []*standin.Target
	vms       []*daemon.VM
	vmEntries []standin.VMEntry
	maxVMs    int
}

func startFleet(t *testing.T, vms, shards int) *testFleet {
	t.Helper()
	return startFleetOf(t, vms, vms, shards)
}

// startFleetOf starts vms of maxVMs VMs.
func startFleetOf(t *testing.T, vms, maxVMs, shards int) *testFleet {
	t.Helper()
	f := &testFleet{platform: standin.NewPlatform(), maxVMs: maxVMs}
	t.Cleanup(f.platform.Close)
	f.platform.SetDocument(1, f.document(t, 1, shards))
	for i := range vms {
		f.startVM(t, i)
	}
	f.platform.SetVMs(f.vmEntries)
	return f
}

func (f *testFleet) startVM(t *testing.T, i int) {
	t.Helper()
	zone := string(rune('a' + i%3))
	peer, caller, admin := freeAddress(t), freeAddress(t), freeAddress(t)
	s := daemon.Settings{
		VM: fmt.Sprintf("vm%d", i), Zone: zone,
		PeerListen: peer, PeerURL: "http://" + peer, CallerListen: caller, CallerURL: "http://" + caller,
		AdminListen: admin, PlatformURL: f.platform.URL(),
	}
	vm, err := daemon.Start(s, zerolog.Nop())
	assert.NilError(t, err)
	t.Cleanup(vm.Kill)
	f.vms = append(f.vms, vm)
	f.vmEntries = append(f.vmEntries, standin.VMEntry{ID: s.VM, Zone: zone, Peer: s.PeerURL, Caller: s.CallerURL, State: "live"})
}

// document starts three targets for each shard and returns the configuration.
func (f *testFleet) document(t *testing.T, revision, shards int) []byte {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "revision = %d\n[fleet]\nmax_vms = %d\n", revision, f.maxVMs)
	for _, z := range []string{"a", "b", "c"} {
		fmt.Fprintf(&b, "[[zone]]\nname = %q\n", z)
	}
	b.WriteString("[[service]]\nname = \"stock\"\npartition_map = 1\nslots = 2\nconnections = 25\n")
	for shard := range shards {
		name := fmt.Sprintf("g%02d", shard)
		fmt.Fprintf(&b, "[[service.group]]\nname = %q\ntargets = [\n", name)
		for _, zone := range []string{"a", "b", "c"} {
			target := standin.NewTarget(standin.TargetOptions{Group: name, PartitionMap: 1, Versions: []uint64{7}, Slots: 2, ServiceTime: time.Millisecond})
			t.Cleanup(target.Close)
			f.targets = append(f.targets, target)
			fmt.Fprintf(&b, "{address = %q, zone = %q},\n", target.Address(), zone)
		}
		b.WriteString("]\n")
	}
	fmt.Fprintf(&b, "[[workspace]]\nname = \"league\"\nrate = 1000.0\nburst = 1000.0\nkeys = [%q]\n", config.HashKey(testKey))
	return []byte(b.String())
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func (f *testFleet) client(t *testing.T) *client.Client {
	t.Helper()
	c := client.New(client.Options{Seeds: []string{f.vmEntries[0].Caller}, Key: testKey, Zone: "a"})
	t.Cleanup(c.Close)
	return c
}

// query repeats a request until the fleet answers it: a starting fleet refuses.
func (f *testFleet) query(t *testing.T, c *client.Client) *client.Answer {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for {
		answer, err := c.Query(context.Background(), client.Request{Service: "stock", Body: []byte("mat"), LeastCoverage: 1})
		if err == nil {
			return answer
		}
		assert.Assert(t, time.Now().Before(deadline), "no answer: %v", err)
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against two shards of one owner that generate the same attempt ids: an
// answer of one shard would then be accepted as an answer of the other.
func TestAttemptIDsAreUnique(t *testing.T) {
	f := startFleet(t, 1, 5)
	c := f.client(t)
	seen := make(map[string]bool)
	for range 3 {
		for _, p := range f.query(t, c).Parts {
			var body struct {
				Attempt string `json:"attempt"`
			}
			assert.NilError(t, json.Unmarshal(p.Body, &body))
			assert.Assert(t, !seen[body.Attempt], "attempt id %s came twice", body.Attempt)
			seen[body.Attempt] = true
		}
	}
}

// Guards against a failure anywhere between the configuration document and the
// answer to a query, and against a caller's key that reaches a target.
func TestQueryEndToEnd(t *testing.T) {
	for _, vms := range []int{1, 3} {
		t.Run(fmt.Sprintf("vms=%d", vms), func(t *testing.T) {
			f := startFleet(t, vms, 5)
			answer := f.query(t, f.client(t))
			assert.Equal(t, answer.Coverage.Answered, 5)
			assert.Equal(t, answer.IndexVersion, uint64(7))
			for _, p := range answer.Parts {
				assert.Assert(t, strings.Contains(string(p.Body), p.Group))
			}
			for _, target := range f.targets {
				assert.Equal(t, target.Counts().KeyLeaks, 0)
			}
		})
	}
}
