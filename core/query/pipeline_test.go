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

// pipeline connects admission, one ingress machine and two owners per shard by plain
// function calls, as a front end without HTTP would.
type pipeline struct {
	now      time.Time
	admit    *admit.Admitter
	ingress  *query.Machine
	owners   map[fleet.VMID]map[fleet.ShardID]*route.Shard
	finishes []query.Finish
}

func newPipeline(t *testing.T, shards int) *pipeline {
	t.Helper()
	p := &pipeline{now: epoch, admit: admit.New(), ingress: query.New(ingressVM), owners: map[fleet.VMID]map[fleet.ShardID]*route.Shard{}}
	c := testConfig(shards)
	c.Fleet.MaxVMs, c.Fleet.FloorFraction = 4, 0.25
	c.Workspaces[0].Rate, c.Workspaces[0].Burst = 10000, 10000
	for i := range c.Services[0].Shards {
		shard := &c.Services[0].Shards[i]
		for _, zone := range []string{"x", "y"} {
			shard.Targets = append(shard.Targets, newTarget(shard.Name, zone))
		}
	}
	v := testView(c, ownerA, ownerB)
	p.admit.SetView(p.now, v)
	p.stepIngress(query.ViewChanged{View: v})
	for h, owner := range []fleet.VMID{ownerA, ownerB} {
		p.owners[owner] = map[fleet.ShardID]*route.Shard{}
		for _, shard := range c.Services[0].Shards {
			id := fleet.ShardID{Service: serviceName, Shard: shard.Name}
			p.owners[owner][id] = route.NewShard(id, uint64(h+1), rand.New(rand.NewSource(int64(h+1))))
			share := fleet.ShardShare{Shard: id, Slots: testSlots / 2, Connections: testSlots / 2, Expires: epoch.Add(time.Hour)}
			p.stepShard(owner, id, route.Assignment{Service: c.Services[0], Shard: shard, Share: share})
		}
	}
	return p
}

// stepIngress steps the ingress and carries out its actions.
func (p *pipeline) stepIngress(ev query.Event) {
	for _, a := range append([]query.Action(nil), p.ingress.Step(p.now, ev)...) {
		switch a := a.(type) {
		case *query.SendSub:
			p.submit(a.Owner, a.Sub)
		case query.CancelSub:
			for id := range p.owners[a.Owner] {
				p.stepShard(a.Owner, id, route.Cancel{ID: a.ID})
			}
		case query.Claim:
			p.stepIngress(query.Claimed{ID: a.ID})
		case query.Finish:
			p.finishes = append(p.finishes, a)
		}
	}
}

// startQuery admits a request and starts its query.
func (p *pipeline) startQuery(t *testing.T, id query.ID, idempotent bool) {
	t.Helper()
	until := p.now.Add(time.Second)
	v, decided := p.admit.Offer(p.now, uint64(id), admit.Request{Service: serviceName, HasKey: true, Key: testKey, Deadline: until})
	assert.Assert(t, decided && v.Refusal == nil, "%v", v.Refusal)
	workspace := v.Workspace
	p.stepIngress(query.Start{
		ID: id, Key: testKey, RequestID: fleet.NewRequestID(p.now, [10]byte{9: byte(id)}), Service: serviceName, Workspace: workspace,
		Deadline: until, MinCoverage: 1, Idempotent: idempotent, Fingerprint: fleet.Fingerprint{byte(id)}, Body: []byte("mat"),
	})
}

// Guards against a core that depends on HTTP: admission, ingress and owners must work
// together through events alone.
func TestPipelineWithoutHTTP(t *testing.T) {
	p := newPipeline(t, 15)
	p.now = p.now.Add(100 * time.Millisecond) // the bucket fills
	for id := query.ID(1); id <= 20; id++ {
		p.startQuery(t, id, id%2 == 0)
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
	assert.Equal(t, p.ingress.Running(), 0)
}

func (p *pipeline) replied(r scatter.SubReply) { p.stepIngress(&query.Replied{Reply: r}) }
