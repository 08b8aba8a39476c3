package query_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/query"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// BenchmarkQuery runs whole queries, from Start to Finish, with 50 queries in flight,
// and reports the time per sub-request.
func BenchmarkQuery(b *testing.B) {
	for _, shards := range []int{15, 1700} {
		b.Run(fmt.Sprintf("groups=%d", shards), func(b *testing.B) { benchQuery(b, shards) })
	}
}

func benchQuery(b *testing.B, shards int) {
	const inFlight = 50
	m, now := query.New(ingressVM), epoch
	m.Step(now, query.ViewChanged{View: testView(testConfig(shards), ownerA, ownerB)})
	versions, body := []uint64{version}, []byte("mat")
	replied := &query.Replied{}
	sent := make([]*query.SendSub, 0, shards)
	run := func(id query.ID, maxReplies int) {
		sent = sent[:0]
		collect := func(actions []query.Action) {
			for _, a := range actions {
				if s, ok := a.(*query.SendSub); ok {
					sent = append(sent, s)
				}
			}
		}
		collect(m.Step(now, query.Start{
			ID: id, Key: testKey, Service: serviceName, Workspace: workspaceName, Deadline: now.Add(time.Second),
			Idempotent: true, Body: body, RequestID: fleet.NewRequestID(now, [10]byte{}),
		}))
		for i := 0; i < len(sent) && i < maxReplies; i++ {
			s := sent[i]
			status := scatter.Answered
			if s.Sub.IndexVersion == 0 {
				status = scatter.VersionsOnly
			}
			replied.Reply = scatter.SubReply{
				ID: s.Sub.ID, Shard: s.Sub.Shard, Status: status, IndexVersion: s.Sub.IndexVersion,
				IndexVersions: versions, PartitionMap: 1, Attempts: 1, Body: body,
			}
			collect(m.Step(now, replied))
		}
	}
	run(1, 1<<30) // teaches the machine the index versions
	for id := query.ID(2); id < inFlight; id++ {
		run(id, shards-1)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Microsecond)
		run(query.ID(inFlight+i), 1<<30)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/sub")
}
