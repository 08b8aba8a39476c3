package query_test

import (
	"fmt"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/route"
	"github.com/anvilfork/anvilfork/core/scatter"
)

func targetOf(group, zone string) config.Target {
	return config.Target{Address: group + "-" + zone, Zone: zone}
}

func (p *path) submit(home fleet.VMID, sub scatter.SubRequest) {
	p.reach(home, sub.Shard, &route.Submit{Sub: sub})
}

func (p *path) status(group fleet.ShardID, target string) route.Probed {
	return route.Probed{Target: target, Began: p.now, Status: route.TargetStatus{
		State: route.TargetReady, BootID: "1", IndexVersions: []uint64{version}, PartitionMap: 1, Shard: group.Shard,
	}}
}

// reach steps one group of one home and plays its targets, which answer at
// once. The actions of a step are valid only until the next, so what the
// targets do is collected before the group is stepped again.
func (p *path) reach(home fleet.VMID, id fleet.ShardID, ev route.Event) {
	g := p.homes[home][id]
	var events []route.Event
	var replies []scatter.SubReply
	for _, a := range g.Step(p.now, ev) {
		switch a := a.(type) {
		case route.OpenConn:
			events = append(events, route.ConnOpened(a))
		case route.WatchTarget:
			events = append(events, p.status(id, a.Target))
		case route.ProbeNow:
			events = append(events, p.status(id, a.Target))
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
		p.reach(home, id, e)
	}
}
