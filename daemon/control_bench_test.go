package daemon

import (
	"fmt"
	"math/rand"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/control"
	"github.com/anvilfork/anvilfork/internal/controltest"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

const (
	benchSeed       = 1
	benchSettleTime = 10 * time.Second // runs after all VMs serve, before the measurement
	benchDuration   = 20 * time.Second
	benchTimeout    = 30 * time.Second // for the start and for the distribution of a document
	benchWorkspaces = 8
)

// benchDocument returns a configuration document for a fleet of vms VMs: 25 shards
// up to 64 VMs, beyond that in proportion up to 1,333 shards (4,000 targets) at 560
// VMs.
func benchDocument(revision, vms int) []byte {
	shards := 25
	if vms > 64 {
		shards = 1333 * vms / 560
	}
	var b strings.Builder
	fmt.Fprintf(&b, "revision = %d\n[fleet]\nmax_vms = %d\n", revision, vms)
	for z := range 8 {
		fmt.Fprintf(&b, "[[zone]]\nname = \"zone%d\"\n", z)
	}
	b.WriteString("[[service]]\nname = \"stock\"\npartition_map = 1\nslots = 6\nconnections = 45\n")
	for shard := range shards {
		fmt.Fprintf(&b, "[[service.group]]\nname = \"g%04d\"\ntargets = [\n", shard)
		for r := range 3 {
			fmt.Fprintf(&b, "{address = \"10.%d.%d.%d:9000\", zone = \"zone%d\"},\n", r, shard/250, shard%250, (shard+r)%8)
		}
		b.WriteString("]\n")
	}
	for w := range benchWorkspaces {
		key := config.HashKey(fmt.Sprint(w))
		fmt.Fprintf(&b, "[[workspace]]\nname = \"workspace%d\"\nrate = 10000.0\nburst = 10000.0\nkeys = [%q]\n", w, key)
	}
	return []byte(b.String())
}

// codec encodes and decodes each message as sender and receiver do, and measures
// its size and the time.
type codec struct {
	elapsed time.Duration
	err     error
}

func (c *codec) heartbeat(h control.Heartbeat) int {
	began := time.Now()
	b, err := proto.Marshal(heartbeatToWire(&h))
	var p peer.HeartbeatRequest
	if err == nil {
		err = proto.Unmarshal(b, &p)
	}
	if err == nil {
		_, err = heartbeatFromWire(&p)
	}
	return c.record(began, len(b), err)
}

func (c *codec) reply(r control.HeartbeatReply) int {
	began := time.Now()
	b, err := proto.Marshal(replyToWire(&r))
	var p peer.HeartbeatReply
	if err == nil {
		err = proto.Unmarshal(b, &p)
	}
	if err == nil {
		_, err = replyFromWire(&p)
	}
	return c.record(began, len(b), err)
}

func (c *codec) record(began time.Time, size int, err error) int {
	c.elapsed += time.Since(began)
	if err != nil {
		c.err = err
	}
	return size
}

type controlBench struct {
	*testing.B
	f     *controltest.Fleet
	codec codec
	vms   int
}

// BenchmarkControl measures the cost of the control protocol for each VM of a
// simulated fleet, without HTTP and sockets: encoded bytes sent, CPU time of the
// state machine and of encoding, and how long a change of the configuration takes.
func BenchmarkControl(b *testing.B) {
	for _, vms := range []int{8, 64, 240, 560} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			for range b.N {
				c := &controlBench{B: b, vms: vms, f: controltest.New(benchSeed)}
				c.start()
				c.steady()
				c.change()
			}
		})
	}
}

func (c *controlBench) start() {
	f := c.f
	f.HeartbeatSize, f.ReplySize = c.codec.heartbeat, c.codec.reply
	f.Platform.SetDocument(1, benchDocument(1, c.vms))
	for i, name := range controltest.Names(c.vms) {
		f.Start(name, fmt.Sprintf("zone%d", i%8))
	}
	f.Platform.ListRunning()
	elapsed, ok := f.RunUntil(benchTimeout, func() bool {
		for _, n := range f.Nodes {
			if !n.View.Serving || len(n.View.Addresses) != c.vms || len(n.View.RateShares) == 0 || len(n.View.Owners) == 0 {
				return false
			}
		}
		return true
	})
	if !ok {
		c.Fatalf("%d VMs did not start within %v", c.vms, elapsed)
	}
	c.ReportMetric(elapsed.Seconds(), "start-s")
	f.Run(benchSettleTime)
}

// steady measures the fleet while only the demand changes.
func (c *controlBench) steady() {
	f := c.f
	random := rand.New(rand.NewSource(benchSeed))
	for _, n := range f.Nodes {
		n.BytesSent, n.StepTime = 0, 0
	}
	c.codec.elapsed, f.Measure = 0, true
	calls := len(f.Platform.Calls)
	for range int(benchDuration / time.Second) {
		for _, n := range f.Nodes {
			demand := make(map[string]float64, benchWorkspaces)
			for w := range benchWorkspaces {
				demand[fmt.Sprintf("workspace%d", w)] = 20 * (0.7 + 0.6*random.Float64())
			}
			n.Deliver(control.Demand{RatePerSecond: demand})
		}
		f.Run(time.Second)
	}
	c.report(len(f.Platform.Calls) - calls)
}

func (c *controlBench) report(calls int) {
	if c.codec.err != nil {
		c.Fatal(c.codec.err)
	}
	var sent, maxSender, maxSent int
	var busy time.Duration
	for i, n := range c.f.Nodes {
		sent += n.BytesSent
		busy += n.StepTime
		if n.BytesSent > maxSent {
			maxSender, maxSent = i, n.BytesSent
		}
	}
	seconds := benchDuration.Seconds()
	c.ReportMetric(float64(sent)/seconds/float64(c.vms), "mean-B/s")
	c.ReportMetric(float64(sent-maxSent)/seconds/float64(c.vms-1), "others-B/s")
	c.ReportMetric(float64(maxSent)/seconds, "coordinator-B/s")
	c.ReportMetric(100*(busy+c.codec.elapsed).Seconds()/seconds/float64(c.vms), "mean-%core")
	c.ReportMetric(100*c.f.Nodes[maxSender].StepTime.Seconds()/seconds, "coordinator-machine-%core")
	c.ReportMetric(float64(calls)/seconds, "service-calls/s")
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	c.ReportMetric(float64(mem.HeapAlloc)/(1<<20)/float64(c.vms), "MB/VM")
}

// change measures how a new configuration document reaches all VMs.
func (c *controlBench) change() {
	f := c.f
	f.Measure = false
	document := benchDocument(2, c.vms)
	accepted := func(n *controltest.Node) bool { return n.View.Config.Revision == 2 }
	published := f.Now
	f.Platform.SetDocument(2, document)
	_, anyAccepted := f.RunUntil(benchTimeout, func() bool {
		for _, n := range f.Nodes {
			if accepted(n) {
				return true
			}
		}
		return false
	})
	first := f.Now
	_, allAccepted := f.RunUntil(benchTimeout, func() bool {
		for _, n := range f.Nodes {
			if !accepted(n) {
				return false
			}
		}
		return true
	})
	if !anyAccepted || !allAccepted {
		c.Fatal("revision 2 of the document did not reach all VMs")
	}
	documentsSent, maxDocumentsSent := 0, 0
	for _, n := range f.Nodes {
		documentsSent += n.DocumentsSent
		maxDocumentsSent = max(maxDocumentsSent, n.DocumentsSent)
	}
	c.ReportMetric(f.Now.Sub(published).Seconds(), "change-published-s")
	c.ReportMetric(f.Now.Sub(first).Seconds(), "change-accepted-s")
	c.ReportMetric(float64(len(document)), "text-B")
	c.ReportMetric(float64(len(documentToWire(document).Text)), "text-gzip-B")
	c.ReportMetric(float64(documentsSent)/float64(c.vms), "texts-sent/VM")
	c.ReportMetric(float64(maxDocumentsSent), "texts-sent-most")
}
