package config_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
)

// Guards against example texts that the program refuses, or that differ from
// the sizes in section 1 of the design page.
func TestExamples(t *testing.T) {
	cases := []struct {
		file                       string
		zones                      int
		groupedSlots, groupedConns int
		pooledSlots, pooledConns   int
		pooledCounts               []int // searchers
	}{
		{"matlane.toml", 4, 2, 25, 3, 110, []int{13, 6}},
		{"gulf-hinge.toml", 3, 6, 45, 3, 40, []int{35, 17}},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("..", "..", "examples", c.file))
			assert.NilError(t, err)
			cfg := parse(t, string(text))
			assert.Equal(t, len(cfg.Zones), c.zones)
			assert.Equal(t, len(cfg.Workspaces), 8)
			assert.Equal(t, cfg.Fleet.MaxVMs, 9)
			assert.Equal(t, len(cfg.Services), 4)
			for i, groups := range []int{10, 15} {
				s := cfg.Services[i]
				assert.Equal(t, len(s.Shards), groups)
				assert.Equal(t, s.Slots, c.groupedSlots)
				assert.Equal(t, s.Connections, c.groupedConns)
				for _, g := range s.Shards {
					assert.Equal(t, len(zonesOf(g)), 3, "zones of group %s", g.Name)
				}
			}
			for i, searchers := range c.pooledCounts {
				s := cfg.Services[2+i]
				assert.Equal(t, len(s.Shards), 1)
				assert.Equal(t, len(s.Shards[0].Targets), searchers)
				assert.Equal(t, len(zonesOf(s.Shards[0])), c.zones)
				assert.Equal(t, s.Slots, c.pooledSlots)
				assert.Equal(t, s.Connections, c.pooledConns)
			}
		})
	}
}

func zonesOf(g config.Shard) map[string]bool {
	zones := make(map[string]bool)
	for _, t := range g.Targets {
		zones[t.Zone] = true
	}
	return zones
}
