package query_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
	"github.com/anvilfork/anvilfork/core/scatter"
)

// scriptedOwners is a fixed behaviour of owners: what an owner answers about a shard and
// a version does not depend on when or how often it is asked.
type scriptedOwners struct {
	shards   []string
	versions map[string][]uint64 // by shard
	dead     map[string]bool     // shard and owner that do not answer
	refusing map[string]bool     // shard and owner that refuse without running
}

func shardOwnerKey(shard string, owner fleet.VMID) string { return shard + "@" + string(owner) }

func drawScript(t *rapid.T) scriptedOwners {
	s := scriptedOwners{versions: map[string][]uint64{}, dead: map[string]bool{}, refusing: map[string]bool{}}
	for i := range rapid.IntRange(1, 8).Draw(t, "groups") {
		shard := fmt.Sprintf("g%02d", i)
		s.shards = append(s.shards, shard)
		if rapid.IntRange(0, 9).Draw(t, "no replica") > 0 {
			s.versions[shard] = []uint64{8, 7}
			if rapid.IntRange(0, 9).Draw(t, "behind") == 0 {
				s.versions[shard] = []uint64{7}
			}
		}
		for _, owner := range []fleet.VMID{ownerA, ownerB} {
			s.dead[shardOwnerKey(shard, owner)] = rapid.IntRange(0, 9).Draw(t, "dead") == 0
			s.refusing[shardOwnerKey(shard, owner)] = rapid.IntRange(0, 9).Draw(t, "refusing") == 0
		}
	}
	return s
}

// reply returns the owner's reply, or false if the message is lost.
func (s *scriptedOwners) reply(owner fleet.VMID, sub scatter.SubRequest) (scatter.SubReply, bool) {
	shard := sub.Shard.Shard
	rep := scatter.SubReply{ID: sub.ID, Shard: sub.Shard, PartitionMap: 1, IndexVersions: s.versions[shard], Attempts: 1}
	switch {
	case s.dead[shardOwnerKey(shard, owner)]:
		return rep, false
	case sub.IndexVersion == 0:
		rep.Status = scatter.VersionsOnly
	case !slices.Contains(s.versions[shard], sub.IndexVersion):
		rep.Status = scatter.VersionGone
	case s.refusing[shardOwnerKey(shard, owner)]:
		rep.Status, rep.Refusal = scatter.Refused, outcome.New(outcome.CodeOverloaded, outcome.NotRun, "refusing")
	default:
		rep.Status, rep.IndexVersion = scatter.Answered, sub.IndexVersion
		rep.Body = fmt.Appendf(nil, "%s from version %d", shard, sub.IndexVersion)
	}
	return rep, true
}

// naive is the reference implementation of an ingress: it asks every shard for its
// versions and then each shard in turn, the primary owner first, without hedges or new
// plans.
func naive(s *scriptedOwners) (version uint64, parts map[string]string) {
	owners := []fleet.VMID{ownerA, ownerB}
	counts, alive := map[uint64]int{}, 0
	for _, shard := range s.shards {
		for _, owner := range owners {
			rep, ok := s.reply(owner, scatter.SubRequest{Shard: fleet.ShardID{Service: serviceName, Shard: shard}})
			if !ok || len(rep.IndexVersions) == 0 {
				continue
			}
			alive++
			for _, v := range rep.IndexVersions {
				counts[v]++
			}
			break
		}
	}
	for v, n := range counts {
		if n == alive {
			version = max(version, v)
		}
	}
	parts = map[string]string{}
	for _, shard := range s.shards {
		for _, owner := range owners {
			rep, ok := s.reply(owner, scatter.SubRequest{Shard: fleet.ShardID{Service: serviceName, Shard: shard}, IndexVersion: version})
			if ok && rep.Status == scatter.Answered {
				parts[shard] = string(rep.Body)
				break
			}
		}
	}
	return version, parts
}

// Guards against an answer that differs from that of the reference implementation.
func TestDifferentialNaive(t *testing.T) {
	bothAnswered, partial := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		version, want := naive(&s)
		m, now := query.New(ingressVM), epoch
		m.Step(now, query.ViewChanged{View: testView(testConfig(len(s.shards)), ownerA, ownerB)})
		var end *query.Finish
		pending := []query.Event{query.Start{
			ID: 1, Key: testKey, Service: serviceName, Workspace: workspaceName, Deadline: now.Add(time.Second),
			Idempotent: rapid.Bool().Draw(rt, "idempotent"), RequestID: fleet.NewRequestID(now, [10]byte{}),
		}}
		for end == nil {
			ev := query.Event(query.Tick{})
			if len(pending) > 0 {
				ev, pending = pending[0], pending[1:]
			} else {
				now = m.Next()
			}
			for _, a := range m.Step(now, ev) {
				switch a := a.(type) {
				case *query.SendSub:
					if rep, ok := s.reply(a.Owner, a.Sub); ok {
						pending = append(pending, &query.Replied{Reply: rep})
					} else {
						pending = append(pending, query.SendFailed{Sub: a.Sub.ID, NotWritten: true})
					}
				case query.Claim:
					pending = append(pending, query.Claimed{ID: a.ID})
				case query.Finish:
					end = &a
				}
			}
		}
		if end.Answer == nil {
			if len(want) > 0 && version != 0 {
				rt.Fatalf("refused %v, the naive ingress has %d parts", end.Refusal, len(want))
			}
			return
		}
		if end.Answer.IndexVersion != version {
			rt.Fatalf("version %d, the naive ingress has %d", end.Answer.IndexVersion, version)
		}
		got := map[string]string{}
		for _, p := range end.Answer.Parts {
			got[p.Shard] = string(p.Body)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			rt.Fatalf("parts %v, the naive ingress has %v", got, want)
		}
		bothAnswered++
		if len(want) < len(s.shards) {
			partial++
		}
	})
	t.Logf("%d cases where both answered, %d of them partial", bothAnswered, partial)
	if bothAnswered < 100 || partial < 20 {
		t.Fatalf("too few cases where both answered: %d, partial %d", bothAnswered, partial)
	}
}
