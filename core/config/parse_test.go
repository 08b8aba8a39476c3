package config_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
)

// baseText is a valid text; the cases replace parts of it.
const baseText = `revision = 3
[fleet]
max_vms = 9
[[zone]]
name = "a"
[[zone]]
name = "b"
[[service]]
name = "mats"
partition_map = 1
slots = 2
connections = 25
depends_on = ["stock"]
[[service.group]]
name = "g0"
targets = [
  {address = "192.0.2.1:80", zone = "a"},
  {address = "192.0.2.2:80", zone = "b"},
]
[[service]]
name = "stock"
partition_map = 1
slots = 3
connections = 40
[[service.group]]
name = "all"
targets = [{address = "192.0.2.1:80", zone = "a"}]
[[workspace]]
name = "matlane"
rate = 100
burst = 50.5
keys = ["sha256:1111111111111111111111111111111111111111111111111111111111111111"]
[[workspace]]
name = "hinge"
rate = 0.5
burst = 1
[[open_route]]
service = "stock"
workspace = "hinge"
`

// swap replaces each first string of a pair, which must occur, by the second.
func swap(t testing.TB, text string, pairs ...string) string {
	t.Helper()
	for i := 0; i < len(pairs); i += 2 {
		assert.Assert(t, strings.Contains(text, pairs[i]), "%q is not in the text", pairs[i])
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return text
}

func parse(t testing.TB, text string) *config.Config {
	t.Helper()
	c, err := config.Parse([]byte(text))
	assert.NilError(t, err)
	return c
}

// Guards against wrong defaults and values lost between text and Config.
func TestParseValid(t *testing.T) {
	c := parse(t, baseText)
	assert.Equal(t, c.Revision, uint64(3))
	assert.DeepEqual(t, c.Fleet, config.Fleet{MaxVMs: 9, OwnersPerShard: 2, FloorFraction: 0.25, AddressTTL: 5 * time.Second})
	s, ok := c.Service("mats")
	assert.Assert(t, ok)
	assert.DeepEqual(t, *s, config.Service{
		Name: "mats", DependsOn: []string{"stock"}, PartitionMap: 1, Slots: 2, Connections: 25,
		ColdSlots: 1, ColdRamp: 30 * time.Second, Deadline: 2 * time.Second, HedgeBudget: 0.05,
		Shards: []config.Shard{{Name: "g0", Targets: []config.Target{{Address: "192.0.2.1:80", Zone: "a"}, {Address: "192.0.2.2:80", Zone: "b"}}}},
	})
	assert.Equal(t, c.Workspaces[0].Burst, 50.5)
	assert.Equal(t, c.Workspaces[0].Weight, 1)
	assert.Equal(t, c.Workspaces[0].Keys[0].String(), "sha256:"+strings.Repeat("1", 64))
	assert.DeepEqual(t, c.OpenRoutes, []config.OpenRoute{{Service: "stock", Workspace: "hinge"}})
}

// Guards against a Config that changes when the caller reuses its buffer.
func TestParseCopiesItsInput(t *testing.T) {
	text := []byte(baseText)
	c, err := config.Parse(text)
	assert.NilError(t, err)
	for i := range text {
		text[i] = '#'
	}
	assert.DeepEqual(t, c, parse(t, baseText))
}
