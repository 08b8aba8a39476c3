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

// scripted is a fixed behaviour of homes: what each home answers about a group
// and a version does not depend on when or how often it is asked.
type scripted struct {
	groups   []string
	versions map[string][]uint64 // of each group
	dead     map[string]bool     // group and home that answer nothing
	refusing map[string]bool     // group and home that refuse without running
}

func pair(group string, home fleet.VMID) string { return group + "@" + string(home) }

func drawScript(t *rapid.T) scripted {
	s := scripted{versions: map[string][]uint64{}, dead: map[string]bool{}, refusing: map[string]bool{}}
	for i := range rapid.IntRange(1, 8).Draw(t, "groups") {
		g := fmt.Sprintf("g%02d", i)
		s.groups = append(s.groups, g)
		if rapid.IntRange(0, 9).Draw(t, "no replica") > 0 {
			s.versions[g] = []uint64{8, 7}
			if rapid.IntRange(0, 9).Draw(t, "behind") == 0 {
				s.versions[g] = []uint64{7}
			}
		}
		for _, home := range []fleet.VMID{homeA, homeB} {
			s.dead[pair(g, home)] = rapid.IntRange(0, 9).Draw(t, "dead") == 0
			s.refusing[pair(g, home)] = rapid.IntRange(0, 9).Draw(t, "refusing") == 0
		}
	}
	return s
}

// ask returns the home's reply, false when the message fails.
func (s *scripted) ask(home fleet.VMID, sub scatter.SubRequest) (scatter.SubReply, bool) {
	g := sub.Shard.Shard
	rep := scatter.SubReply{ID: sub.ID, Shard: sub.Shard, PartitionMap: 1, IndexVersions: s.versions[g], Attempts: 1}
	switch {
	case s.dead[pair(g, home)]:
		return rep, false
	case sub.IndexVersion == 0:
		rep.Status = scatter.VersionsOnly
	case !slices.Contains(s.versions[g], sub.IndexVersion):
		rep.Status = scatter.VersionGone
	case s.refusing[pair(g, home)]:
		rep.Status, rep.Refusal = scatter.Refused, outcome.New(outcome.CodeOverloaded, outcome.NotRun, "refusing")
	default:
		rep.Status, rep.IndexVersion = scatter.Answered, sub.IndexVersion
		rep.Body = fmt.Appendf(nil, "%s from version %d", g, sub.IndexVersion)
	}
	return rep, true
}

// naive is the simplest correct entry: it asks every group for its versions and
// then each group in turn, first home first, without hedge or new plan.
func naive(s *scripted) (version uint64, parts map[string]string) {
	homes := []fleet.VMID{homeA, homeB}
	counts, alive := map[uint64]int{}, 0
	for _, g := range s.groups {
		for _, home := range homes {
			rep, ok := s.ask(home, scatter.SubRequest{Shard: fleet.ShardID{Service: svcName, Shard: g}})
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
	for _, g := range s.groups {
		for _, home := range homes {
			rep, ok := s.ask(home, scatter.SubRequest{Shard: fleet.ShardID{Service: svcName, Shard: g}, IndexVersion: version})
			if ok && rep.Status == scatter.Answered {
				parts[g] = string(rep.Body)
				break
			}
		}
	}
	return version, parts
}

// Guards against an answer that differs from that of the simplest correct entry.
func TestDifferentialNaive(t *testing.T) {
	both, partial := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		version, want := naive(&s)
		m, now := query.New(entryVM), epoch
		m.Step(now, query.ViewChanged{View: testView(testConfig(len(s.groups)), homeA, homeB)})
		var end *query.Finish
		pending := []query.Event{query.Start{
			ID: 1, Key: testKey, Service: svcName, Workspace: wsName, Deadline: now.Add(time.Second),
			Idempotent: rapid.Bool().Draw(rt, "idempotent"), Request: fleet.NewRequestID(now, [10]byte{}),
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
					if rep, ok := s.ask(a.Owner, a.Sub); ok {
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
				rt.Fatalf("refused %v, the naive entry has %d parts", end.Refusal, len(want))
			}
			return
		}
		if end.Answer.IndexVersion != version {
			rt.Fatalf("version %d, the naive entry has %d", end.Answer.IndexVersion, version)
		}
		got := map[string]string{}
		for _, p := range end.Answer.Parts {
			got[p.Shard] = string(p.Body)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			rt.Fatalf("parts %v, the naive entry has %v", got, want)
		}
		both++
		if len(want) < len(s.groups) {
			partial++
		}
	})
	t.Logf("%d cases where both answered, %d of them partial", both, partial)
	if both < 100 || partial < 20 {
		t.Fatalf("too few cases where both answered: %d, partial %d", both, partial)
	}
}
