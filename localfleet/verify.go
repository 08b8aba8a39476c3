package localfleet

import (
	"encoding/json"

	"github.com/anvilfork/anvilfork/client"
	"github.com/anvilfork/anvilfork/load"
)

// targetAnswer is the answer of a stand-in target.
type targetAnswer struct {
	Group        string `json:"group"`
	IndexVersion uint64 `json:"index_version"`
	Attempt      string `json:"attempt"`
}

// Verify compares an answer with what the targets of the service served. Each part
// must stem from an execution of its own shard, in the index version that the answer
// names, and the coverage must match the parts.
func (f *Fleet) Verify(service string, a *client.Answer) load.Verdict {
	var v load.Verdict
	seen := make(map[string]bool)
	for _, p := range a.Parts {
		var body targetAnswer
		if err := json.Unmarshal(p.Body, &body); err != nil {
			v.WrongCoverage = true
			continue
		}
		executed := f.executions.lookup(body.Attempt)
		v.MixedSnapshot = v.MixedSnapshot || body.IndexVersion != a.IndexVersion || executed.version != a.IndexVersion
		valid := executed.service == service && executed.group == p.Group && body.Group == p.Group && !seen[p.Group]
		v.WrongCoverage = v.WrongCoverage || !valid
		seen[p.Group] = true
	}
	totalMatches := a.Coverage.Groups == f.shardCounts[service]
	countsMatch := a.Coverage.Answered == len(seen) && len(a.Coverage.Missing) == a.Coverage.Groups-len(seen)
	for _, name := range a.Coverage.Missing {
		countsMatch = countsMatch && !seen[name]
	}
	v.WrongCoverage = v.WrongCoverage || !totalMatches || !countsMatch
	return v
}
