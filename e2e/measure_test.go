package e2e

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/load"
	"github.com/anvilfork/anvilfork/localfleet"
)

var measureCPU = flag.Bool("measure-cpu", false, "measure the CPU time of the VMs per sub-request")

// measureProcs makes the VMs run as on a host with that many processors. With
// more processors, the Go scheduler spends CPU time on looking for work.
var measureProcs = flag.Int("measure-procs", 0, "GOMAXPROCS of the VM processes; 0 keeps the default")

const (
	clockTicksPerSecond = 100 // unit of the CPU times in /proc on Linux
	measureDuration     = 5 * time.Second
	measureShards       = 10
)

// Measures the CPU time and memory of the VM processes, without callers and targets,
// at several query rates. The results are in docs/CAPACITY.md.
func TestMeasureCPU(t *testing.T) {
	if !*measureCPU {
		t.Skip("a measurement; run it with -measure-cpu")
	}
	f := startProcesses(t, 4, measureShards, func(e *localfleet.Editor) { e.SetRate(workspace, 20000, 20000) })
	for _, rate := range []float64{0, 50, 100, 200, 400, 800} {
		before := f.cpuSeconds()
		queries := 0
		if rate == 0 {
			time.Sleep(measureDuration)
		} else {
			samples := load.Run(context.Background(), []load.Source{{
				Workspace: workspace, Service: service, RatePerSecond: rate, Deadline: queryDeadline, Client: f.client(),
				Body: func(n int) []byte { return fmt.Appendf(nil, "query %d", n) },
			}}, measureDuration, 1)
			s := load.Summarize(samples)
			queries = s.AnsweredWhole
			t.Logf("%4.0f queries/s: p50 %v, p99 %v, refusals %v", rate, s.P50, s.P99, s.Refusals)
		}
		cpuTime := f.cpuSeconds() - before
		t.Logf("%4.0f queries/s: %d answered, %.2f s of processor time of 4 VMs, %.1f us a sub-request, largest VM %d MB",
			rate, queries, cpuTime, cpuTime/float64(max(queries, 1)*measureShards)*1e6, f.maxResidentMB())
	}
}

// cpuSeconds returns the CPU time that all VM processes have used so far.
func (f *processFleet) cpuSeconds() float64 {
	f.t.Helper()
	sum := 0.0
	for _, p := range f.processes {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		assert.NilError(f.t, err)
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		for _, field := range fields[11:13] { // user and system time
			ticks, err := strconv.ParseFloat(field, 64)
			assert.NilError(f.t, err)
			sum += ticks / clockTicksPerSecond
		}
	}
	return sum
}

// maxResidentMB returns the resident memory of the largest VM process.
func (f *processFleet) maxResidentMB() int {
	f.t.Helper()
	maxMB := 0
	for _, p := range f.processes {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
		assert.NilError(f.t, err)
		_, remainder, _ := strings.Cut(string(status), "VmRSS:")
		kb, err := strconv.Atoi(strings.Fields(remainder)[0])
		assert.NilError(f.t, err)
		maxMB = max(maxMB, kb>>10)
	}
	return maxMB
}
