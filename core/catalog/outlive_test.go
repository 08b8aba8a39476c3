package catalog

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/mirror"
)

// Guards against each way in which an older copy of the store takes back what the fleet
// has accepted, and against what is kept although the new era has decided it.
func TestOutlives(t *testing.T) {
	config := func(version uint64) Change { return ConfigUpdated{Config: &Config{Version: version}} }
	target := func(started int64, sequence uint64, draining bool) Change {
		return TargetUpdated{Target: &Target{ID: "i", Address: "a", StartedUnixMs: started, Sequence: sequence, Draining: draining}}
	}
	out, in, removed := ZoneOut{Zone: "z"}, ZoneIn{Zone: "z"}, TargetRemoved{ID: "i"}
	for name, c := range map[string]struct {
		past, present Change
		written       bool
		want          mirror.Reason
	}{
		"older configuration":                   {config(7), config(6), false, KeptConfig},
		"older configuration, written again":    {config(7), config(6), true, KeptConfig},
		"other configuration of the version":    {config(7), config(7), true, KeptConfig},
		"higher configuration":                  {config(7), config(8), false, notKept},
		"lost or unreadable configuration":      {config(7), nil, false, KeptConfig},
		"unreadable configuration before":       {nil, config(6), false, notKept},
		"lost zone out":                         {out, in, false, KeptZoneOut},
		"zone out, removed again":               {out, in, true, notKept},
		"zone out, written again":               {out, out, true, notKept},
		"zone that was taken back, listed out":  {in, out, false, notKept},
		"removed target, listed":                {removed, target(1, 3, false), false, KeptRemoved},
		"removed target, written again":         {removed, target(1, 9, false), true, notKept},
		"removed target, gone":                  {removed, removed, false, notKept},
		"draining target, listed as ready":      {target(1, 5, true), target(1, 3, false), false, KeptDraining},
		"draining target, late write":           {target(1, 5, true), target(1, 4, false), true, KeptDraining},
		"draining target, ready again":          {target(1, 5, true), target(1, 6, false), true, notKept},
		"draining without sequence, listed":     {target(1, 0, true), target(1, 0, false), false, KeptDraining},
		"draining without sequence, ready":      {target(1, 0, true), target(1, 0, false), true, notKept},
		"draining target, earlier process":      {target(2, 5, true), target(1, 9, false), false, KeptNewerProcess},
		"draining target, later process":        {target(1, 5, true), target(2, 1, false), true, notKept},
		"ready target, earlier process":         {target(2, 5, false), target(1, 9, false), false, KeptNewerProcess},
		"ready target, earlier process written": {target(2, 5, false), target(1, 9, false), true, notKept},
		"ready target, listed":                  {target(1, 5, false), target(1, 3, false), false, notKept},
		"ready target, listed as draining":      {target(1, 5, false), target(1, 3, true), false, notKept},
		"lost ready target":                     {target(1, 5, false), removed, false, notKept},
	} {
		assert.Equal(t, Outlives(c.past, c.present, c.written), c.want, name)
	}
}
