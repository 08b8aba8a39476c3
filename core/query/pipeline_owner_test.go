package query_test

import (
	"fmt"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/route"
	"github.com/anvilfork/anvilfork/core/scatter"
)

func newTarget(shard, zone string) config.Target {
	return config.Target{Address: shard + "-" + zone, Zone: zone}
}

func (p *pipeline) submit(owner fleet.VMID, sub scatter.SubRequest) {
	p.stepShard(owner, sub.Shard, &route.Submit{Sub: sub})
}

func (p *pipeline) readyStatus(shard fleet.ShardID, target string) route.ProbeResult {
	return route.ProbeResult{Target: target, Began: p.now, Status: route.TargetStatus{
		State: route.TargetReady, BootID: "1", IndexVersions: []uint64{version}, PartitionMap: 1, Shard: shard.Shard,
	}}
}

// stepShard steps one shard of one owner and simulates its targets, which answer at
// once. The actions of a step are valid only until the next step, so the replies and the
// events of the targets are collected before the shard is stepped again.
func (p *pipeline) stepShard(owner fleet.VMID, id fleet.ShardID, ev route.Event) {
	shard := p.owners[owner][id]
	var events []route.Event
	var replies []scatter.SubReply
	for _, a := range shard.Step(p.now, ev) {
		switch a := a.(type) {
		case route.OpenConn:
			events = append(events, route.ConnOpened(a))
		case route.WatchTarget:
			events = append(events, p.readyStatus(id, a.Target))
		case route.ProbeNow:
			events = append(events, p.readyStatus(id, a.Target))
		case *route.StartAttempt:
			events = append(events, &route.AttemptDone{
				Attempt: a.Attempt, Result: route.ResultOK, BootID: "1", IndexVersion: a.Sub.IndexVersion,
				Body: fmt.Appendf(nil, "%s of %d", a.Sub.Shard.Shard, a.Sub.IndexVersion),
			})
		case *route.Respond:
			replies = append(replies, a.Reply)
		}
	}
	for _, r := range replies {
		p.replied(r)
	}
	for _, e := range events {
		p.stepShard(owner, id, e)
	}
}
