package query_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/admit"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/query"
	"github.com/anvilfork/anvilfork/core/route"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// path joins admission, one entry machine and two homes of each group by plain
// function calls, as a front end without HTTP would.
type path struct {
	now      time.Time
	admit    *admit.Admitter
	entry    *query.Machine
	homes    map[fleet.VMID]map[fleet.ShardID]*route.Shard
	finishes []query.Finish
}

func newPath(t *testing.T, groups int) *path {
	t.Helper()
	p := &path{now: epoch, admit: admit.New(), entry: query.New(entryVM), homes: map[fleet.VMID]map[fleet.ShardID]*route.Shard{}}
	c := testConfig(groups)
	c.Fleet.MaxVMs, c.Fleet.FloorFraction = 4, 0.25
	c.Workspaces[0].Rate, c.Workspaces[0].Burst = 10000, 10000
	for i := range c.Services[0].Shards {
		g := &c.Services[0].Shards[i]
		for _, zone := range []string{"x", "y"} {
			g.Targets = append(g.Targets, targetOf(g.Name, zone))
		}
	}
	v := testView(c, homeA, homeB)
	p.admit.SetView(p.now, v)
	p.enter(query.ViewChanged{View: v})
	for h, home := range []fleet.VMID{homeA, homeB} {
		p.homes[home] = map[fleet.ShardID]*route.Shard{}
		for _, g := range c.Services[0].Shards {
			id := fleet.ShardID{Service: svcName, Shard: g.Name}
			p.homes[home][id] = route.NewShard(id, uint64(h+1), rand.New(rand.NewSource(int64(h+1))))
			share := fleet.ShardShare{Shard: id, Slots: testSlot / 2, Connections: testSlot / 2, Expires: epoch.Add(time.Hour)}
			p.reach(home, id, route.Assign{Service: c.Services[0], Shard: g, Share: share})
		}
	}
	return p
}

// enter steps the entry and carries out what it asks for.
func (p *path) enter(ev query.Event) {
	for _, a := range append([]query.Action(nil), p.entry.Step(p.now, ev)...) {
		switch a := a.(type) {
		case *query.SendSub:
			p.submit(a.Owner, a.Sub)
		case query.CancelSub:
			for id := range p.homes[a.Owner] {
				p.reach(a.Owner, id, route.Cancel{ID: a.ID})
			}
		case query.Claim:
			p.enter(query.Claimed{ID: a.ID})
		case query.Finish:
			p.finishes = append(p.finishes, a)
		}
	}
}

// call admits a request and starts its query.
func (p *path) call(t *testing.T, id query.ID, idempotent bool) {
	t.Helper()
	until := p.now.Add(time.Second)
	v, decided := p.admit.Offer(p.now, uint64(id), admit.Request{Service: svcName, HasKey: true, Key: testKey, Deadline: until})
	assert.Assert(t, decided && v.Refusal == nil, "%v", v.Refusal)
	workspace := v.Workspace
	p.enter(query.Start{
		ID: id, Key: testKey, Request: fleet.NewRequestID(p.now, [10]byte{9: byte(id)}), Service: svcName, Workspace: workspace,
		Deadline: until, MinCoverage: 1, Idempotent: idempotent, Fingerprint: fleet.Fingerprint{byte(id)}, Body: []byte("mat"),
	})
}

// Guards against a front end that needs HTTP: admission, entry and homes work
// together by events alone.
func TestPathWithoutHTTP(t *testing.T) {
	p := newPath(t, 15)
	p.now = p.now.Add(100 * time.Millisecond) // the bucket fills
	for id := query.ID(1); id <= 20; id++ {
		p.call(t, id, id%2 == 0)
		assert.Equal(t, len(p.finishes), 1)
		f := p.finishes[0]
		p.finishes = nil
		assert.Assert(t, f.Refusal == nil, "%v", f.Refusal)
		assert.Equal(t, f.Answer.Coverage(), 1.0)
		assert.Equal(t, f.Stats.Attempts, 15)
		for _, part := range f.Answer.Parts {
			assert.Equal(t, string(part.Body), fmt.Sprintf("%s of %d", part.Shard, version))
		}
	}
	assert.Equal(t, p.entry.Running(), 0)
}

func (p *path) replied(r scatter.SubReply) { p.enter(&query.Replied{Reply: r}) }
