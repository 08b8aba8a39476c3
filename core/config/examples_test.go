package config_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
)

// Guards against example documents that Parse rejects, or whose sizes differ from
// those in section 1 of the design page.
func TestExamples(t *testing.T) {
	cases := []struct {
		file                               string
		zones                              int
		shardedSlots, shardedConns         int
		singleShardSlots, singleShardConns int
		singleShardTargets                 []int // searchers
	}{
		{"matlane.toml", 4, 2, 25, 3, 110, []int{13, 6}},
		{"gulf-hinge.toml", 3, 6, 45, 3, 40, []int{35, 17}},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			document, err := os.ReadFile(filepath.Join("..", "..", "examples", c.file))
			assert.NilError(t, err)
			cfg := parse(t, string(document))
			assert.Equal(t, len(cfg.Zones), c.zones)
			assert.Equal(t, len(cfg.Workspaces), 8)
			assert.Equal(t, cfg.Fleet.MaxVMs, 9)
			assert.Equal(t, len(cfg.Services), 4)
			for i, shards := range []int{10, 15} {
				s := cfg.Services[i]
				assert.Equal(t, len(s.Shards), shards)
				assert.Equal(t, s.Slots, c.shardedSlots)
				assert.Equal(t, s.Connections, c.shardedConns)
				for _, shard := range s.Shards {
					assert.Equal(t, len(zonesOf(shard)), 3, "zones of shard %s", shard.Name)
				}
			}
			for i, targets := range c.singleShardTargets {
				s := cfg.Services[2+i]
				assert.Equal(t, len(s.Shards), 1)
				assert.Equal(t, len(s.Shards[0].Targets), targets)
				assert.Equal(t, len(zonesOf(s.Shards[0])), c.zones)
				assert.Equal(t, s.Slots, c.singleShardSlots)
				assert.Equal(t, s.Connections, c.singleShardConns)
			}
		})
	}
}

func zonesOf(shard config.Shard) map[string]bool {
	zones := make(map[string]bool)
	for _, t := range shard.Targets {
		zones[t.Zone] = true
	}
	return zones
}
