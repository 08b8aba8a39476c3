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
	benchSettle     = 10 * time.Second // after all VMs serve
	benchTime       = 20 * time.Second
	benchLimit      = 30 * time.Second // on the start and on the spread of a text
	benchWorkspaces = 8
)

// benchText returns a text for a fleet of a size: 25 groups up to 64 VMs,
// beyond that in proportion up to 1,333 groups (4,000 searchers) at 560 VMs.
func benchText(revision, vms int) []byte {
	groups := 25
	if vms > 64 {
		groups = 1333 * vms / 560
	}
	var b strings.Builder
	fmt.Fprintf(&b, "revision = %d\n[fleet]\nmax_vms = %d\n", revision, vms)
	for z := range 8 {
		fmt.Fprintf(&b, "[[zone]]\nname = \"zone%d\"\n", z)
	}
	b.WriteString("[[service]]\nname = \"stock\"\npartition_map = 1\nslots = 6\nconnections = 45\n")
	for g := range groups {
		fmt.Fprintf(&b, "[[service.group]]\nname = \"g%04d\"\ntargets = [\n", g)
		for r := range 3 {
			fmt.Fprintf(&b, "{address = \"10.%d.%d.%d:9000\", zone = \"zone%d\"},\n", r, g/250, g%250, (g+r)%8)
		}
		b.WriteString("]\n")
	}
	for w := range benchWorkspaces {
		key := config.HashKey(fmt.Sprint(w))
		fmt.Fprintf(&b, "[[workspace]]\nname = \"workspace%d\"\nrate = 10000.0\nburst = 10000.0\nkeys = [%q]\n", w, key)
	}
	return []byte(b.String())
}

// codec encodes and decodes each message as two daemons do, and measures the
// size and the time.
type codec struct {
	busy   time.Duration
	broken error
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
	return c.done(began, len(b), err)
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
	return c.done(began, len(b), err)
}

func (c *codec) done(began time.Time, size int, err error) int {
	c.busy += time.Since(began)
	if err != nil {
		c.broken = err
	}
	return size
}

type controlBench struct {
	*testing.B
	f     *controltest.Fleet
	codec codec
	vms   int
}

// BenchmarkControl measures what control costs each VM of a fleet, without HTTP
// and sockets: encoded bytes sent, processor time of machine and encoding, and
// how long a change of the text takes.
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
	f.Platform.SetText(1, benchText(1, c.vms))
	for i, name := range controltest.Names(c.vms) {
		f.Start(name, fmt.Sprintf("zone%d", i%8))
	}
	f.Platform.List()
	took, ok := f.RunUntil(benchLimit, func() bool {
		for _, n := range f.Nodes {
			if !n.View.Serving || len(n.View.Addresses) != c.vms || len(n.View.RateShares) == 0 || len(n.View.Owners) == 0 {
				return false
			}
		}
		return true
	})
	if !ok {
		c.Fatalf("%d VMs did not start within %v", c.vms, took)
	}
	c.ReportMetric(took.Seconds(), "start-s")
	f.Run(benchSettle)
}

// steady measures the fleet while nothing but the demand changes.
func (c *controlBench) steady() {
	f := c.f
	random := rand.New(rand.NewSource(benchSeed))
	for _, n := range f.Nodes {
		n.Sent, n.Busy = 0, 0
	}
	c.codec.busy, f.Measure = 0, true
	calls := len(f.Platform.Calls)
	for range int(benchTime / time.Second) {
		for _, n := range f.Nodes {
			demand := make(map[string]float64, benchWorkspaces)
			for w := range benchWorkspaces {
				demand[fmt.Sprintf("workspace%d", w)] = 20 * (0.7 + 0.6*random.Float64())
			}
			n.Do(control.Demand{RatePerSecond: demand})
		}
		f.Run(time.Second)
	}
	c.report(len(f.Platform.Calls) - calls)
}

func (c *controlBench) report(calls int) {
	if c.codec.broken != nil {
		c.Fatal(c.codec.broken)
	}
	var sent, most, mostBytes int
	var busy time.Duration
	for i, n := range c.f.Nodes {
		sent += n.Sent
		busy += n.Busy
		if n.Sent > mostBytes {
			most, mostBytes = i, n.Sent
		}
	}
	seconds := benchTime.Seconds()
	c.ReportMetric(float64(sent)/seconds/float64(c.vms), "mean-B/s")
	c.ReportMetric(float64(sent-mostBytes)/seconds/float64(c.vms-1), "others-B/s")
	c.ReportMetric(float64(mostBytes)/seconds, "coordinator-B/s")
	c.ReportMetric(100*(busy+c.codec.busy).Seconds()/seconds/float64(c.vms), "mean-%core")
	c.ReportMetric(100*c.f.Nodes[most].Busy.Seconds()/seconds, "coordinator-machine-%core")
	c.ReportMetric(float64(calls)/seconds, "service-calls/s")
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	c.ReportMetric(float64(mem.HeapAlloc)/(1<<20)/float64(c.vms), "MB/VM")
}

// change measures the way of a new text.
func (c *controlBench) change() {
	f := c.f
	f.Measure = false
	text := benchText(2, c.vms)
	accepted := func(n *controltest.Node) bool { return n.View.Config.Revision == 2 }
	published := f.Now
	f.Platform.SetText(2, text)
	_, ok := f.RunUntil(benchLimit, func() bool {
		for _, n := range f.Nodes {
			if accepted(n) {
				return true
			}
		}
		return false
	})
	first := f.Now
	_, okAll := f.RunUntil(benchLimit, func() bool {
		for _, n := range f.Nodes {
			if !accepted(n) {
				return false
			}
		}
		return true
	})
	if !ok || !okAll {
		c.Fatal("the text did not reach all VMs")
	}
	texts, most := 0, 0
	for _, n := range f.Nodes {
		texts += n.Texts
		most = max(most, n.Texts)
	}
	c.ReportMetric(f.Now.Sub(published).Seconds(), "change-published-s")
	c.ReportMetric(f.Now.Sub(first).Seconds(), "change-accepted-s")
	c.ReportMetric(float64(len(text)), "text-B")
	c.ReportMetric(float64(len(documentToWire(text).Text)), "text-gzip-B")
	c.ReportMetric(float64(texts)/float64(c.vms), "texts-sent/VM")
	c.ReportMetric(float64(most), "texts-sent-most")
}
