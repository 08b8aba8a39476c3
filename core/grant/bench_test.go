package grant_test

import (
	"fmt"
	"math/bits"
	"math/rand"
	"runtime"
	"testing"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/grant"
	"github.com/anvilfork/anvilfork/core/lease"
)

// The load of the scale goal: requests per second of the fleet, over all workspaces.
const (
	benchRequests       = 91_000
	benchWorkspaces     = 300
	benchWarmUp         = 80 // heartbeats of every VM
	heartbeatsPerSecond = int(time.Second / simHeartbeatInterval)
)

// benchFleet is one allocator and the holders of all VMs, without a network.
type benchFleet struct {
	random     *rand.Rand
	now        time.Time
	config     *config.Config
	leadership lease.Leadership
	allocator  *grant.Allocator
	holders    []*grant.Holder
	vms        []fleet.VM
}

func newBenchFleet(vms, shards int) *benchFleet {
	f := &benchFleet{random: rand.New(rand.NewSource(1)), now: simEpoch.Add(time.Hour), allocator: grant.NewAllocator()}
	f.leadership = lease.Leadership{Fraction: lease.Full, Since: simEpoch, FullSince: simEpoch}
	f.config = simConfig(1, vms+vms/8, shards, 0.25, simLimits{slots: 6, connections: 45})
	f.config.Workspaces = nil
	for w := range benchWorkspaces {
		rate := 1.5 * benchRequests * benchWeight(w)
		f.config.Workspaces = append(f.config.Workspaces, config.Workspace{Name: fmt.Sprintf("workspace-%03d", w), Rate: rate, Burst: 3 * rate})
	}
	f.allocator.SetConfig(f.config)
	for i := range vms {
		f.holders = append(f.holders, grant.NewHolder())
		f.vms = append(f.vms, fleet.VM{ID: fleet.VMID(fmt.Sprintf("vm-%08x", f.random.Uint32())), Zone: fmt.Sprintf("zone-%d", i%4), State: fleet.Live})
	}
	return f
}

// benchWeight returns the fraction of all requests that a workspace sends. A few
// workspaces are large, many are small.
func benchWeight(w int) float64 { return 1 / float64(w+1) / 6.28 }

// setDemand gives a VM new demands within 10% of an equal part of the
// requests of each workspace.
func (f *benchFleet) setDemand(vm int) {
	demand := make(map[string]float64, benchWorkspaces)
	for w := range benchWorkspaces {
		demand[f.config.Workspaces[w].Name] = benchRequests * benchWeight(w) / float64(len(f.vms)) * (0.9 + 0.2*f.random.Float64())
	}
	f.holders[vm].SetDemand(demand)
}

// exchange runs one heartbeat with its reply and returns their size in bytes and
// the time spent at both ends.
func (f *benchFleet) exchange(vm int) (size int, atCoordinator, atHolder time.Duration) {
	h := f.holders[vm]
	begin := time.Now()
	r := h.Report(f.now)
	reported := time.Now()
	g := f.allocator.Answer(f.now, grant.Input{Leadership: f.leadership, VM: f.vms[vm], Report: r, SentDuringLeadership: true, ConfigCurrent: true})
	answered := time.Now()
	h.Accept(f.now, g)
	h.MarkApplied(h.Generation())
	return reportSize(r) + grantsSize(g), answered.Sub(reported), reported.Sub(begin) + time.Since(answered)
}

func (f *benchFleet) exchangeAll() {
	f.now = f.now.Add(simHeartbeatInterval)
	for vm := range f.vms {
		f.exchange(vm)
	}
}

// Measures the time and size of a heartbeat at the coordinator and at a holder in
// a fleet whose demand changes by 10% every second.
func BenchmarkAllocator(b *testing.B) {
	for _, size := range []struct{ vms, shards int }{{8, 25}, {64, 150}, {240, 570}, {560, 1333}} {
		b.Run(fmt.Sprintf("vms=%d", size.vms), func(b *testing.B) {
			f := newBenchFleet(size.vms, size.shards)
			for i := range benchWarmUp {
				for vm := range f.vms {
					if i%heartbeatsPerSecond == 0 {
						f.setDemand(vm)
					}
				}
				f.exchangeAll()
			}
			var bytes, maxBytes int
			var atCoordinator, atHolder time.Duration
			b.ResetTimer()
			for i := range b.N {
				vm := i % size.vms
				if vm == 0 {
					f.now = f.now.Add(simHeartbeatInterval)
				}
				if i/size.vms%heartbeatsPerSecond == 0 {
					f.setDemand(vm)
				}
				n, c, h := f.exchange(vm)
				bytes += n
				maxBytes = max(maxBytes, n)
				atCoordinator += c
				atHolder += h
			}
			b.StopTimer()
			n := float64(b.N)
			perHeartbeat := float64(atCoordinator.Nanoseconds()) / n
			b.ReportMetric(perHeartbeat, "coordinator-ns/beat")
			b.ReportMetric(perHeartbeat*float64(size.vms*heartbeatsPerSecond)/1e7, "coordinator-core-%")
			b.ReportMetric(float64(atHolder.Nanoseconds())/n, "holder-ns/beat")
			b.ReportMetric(float64(bytes)/n*float64(heartbeatsPerSecond), "wire-B/s/VM")
			b.ReportMetric(float64(maxBytes), "wire-max-B/beat")
			all := heap()
			f.holders = nil
			coordinator := heap()
			f.allocator = nil
			baseline := heap()
			b.ReportMetric(float64(all-coordinator)/1e3/float64(size.vms), "holder-state-kB")
			b.ReportMetric(float64(coordinator-baseline)/1e6, "coordinator-state-MB")
			runtime.KeepAlive(f)
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// The functions below compute sizes in a plain protobuf encoding.

func varint(n uint64) int { return (bits.Len64(n|1) + 6) / 7 }

func stringSize(s string) int { return 1 + varint(uint64(len(s))) + len(s) }

func uintSize(n uint64) int {
	if n == 0 {
		return 0
	}
	return 1 + varint(n)
}

func messageSize(n int) int { return 1 + varint(uint64(n)) + n }

func shardSize(id fleet.ShardID) int { return stringSize(id.Service) + stringSize(id.Shard) }

func reportSize(r grant.Report) int {
	n := uintSize(r.Seq) + uintSize(r.Base) + 9 + 2
	if r.Full {
		n += 9
	}
	for _, h := range r.ShardShares {
		n += messageSize(shardSize(h.Shard) + uintSize(uint64(h.OwnerIndex)) + uintSize(uint64(h.OwnerCount)) + 2)
	}
	for _, p := range r.Rates {
		n += messageSize(stringSize(p.Workspace) + uintSize(uint64(p.Parts)))
	}
	for _, d := range r.Demand {
		n += messageSize(stringSize(d.Workspace) + 5)
	}
	return n
}

func grantsSize(g grant.Grants) int {
	n := uintSize(g.Seq) + uintSize(g.Base) + 4 + 9
	for _, h := range g.ShardShares {
		n += messageSize(shardSize(h.Shard) + uintSize(uint64(h.OwnerIndex)) + uintSize(uint64(h.OwnerCount)) + 2)
	}
	for _, id := range g.DropShards {
		n += messageSize(shardSize(id))
	}
	for _, p := range g.Rates {
		n += messageSize(stringSize(p.Workspace) + uintSize(uint64(p.Parts)))
	}
	if g.Directory != nil {
		for _, e := range g.Directory.Owners {
			n += messageSize(shardSize(e.Shard) + uintSize(uint64(e.Index)) + stringSize(string(e.VM)))
		}
		for _, e := range g.Directory.Ranges {
			n += messageSize(uintSize(uint64(e.Range)) + stringSize(string(e.VM)))
		}
	}
	return n
}

// Guards against heartbeats that grow with the number of workspaces. Control
// messages may use 4 KB/s per VM, of which heartbeats and replies get 1.5 KB/s.
func TestHeartbeatsStaySmall(t *testing.T) {
	const limit = 1500 // bytes per second
	f := newBenchFleet(64, 150)
	const rounds = 40
	total := 0
	for i := range benchWarmUp + rounds {
		f.now = f.now.Add(simHeartbeatInterval)
		for vm := range f.vms {
			if i%heartbeatsPerSecond == 0 {
				f.setDemand(vm)
			}
			if n, _, _ := f.exchange(vm); i >= benchWarmUp {
				total += n
			}
		}
	}
	if perSecond := total / len(f.vms) / rounds * heartbeatsPerSecond; perSecond > limit {
		t.Errorf("%d bytes/s per VM, limit %d", perSecond, limit)
	}
}
