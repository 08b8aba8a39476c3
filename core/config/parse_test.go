package config_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
)

// baseDocument is a valid document; test cases replace parts of it.
const baseDocument = `revision = 3
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

// replacePairs replaces the first occurrence of pairs[0], which must exist, by
// pairs[1], and so on.
func replacePairs(t testing.TB, document string, pairs ...string) string {
	t.Helper()
	for i := 0; i < len(pairs); i += 2 {
		assert.Assert(t, strings.Contains(document, pairs[i]), "%q is not in the document", pairs[i])
		document = strings.Replace(document, pairs[i], pairs[i+1], 1)
	}
	return document
}

func parse(t testing.TB, document string) *config.Config {
	t.Helper()
	c, err := config.Parse([]byte(document))
	assert.NilError(t, err)
	return c
}

// Guards against wrong defaults, and against values that are lost between the
// document and Config.
func TestParseValid(t *testing.T) {
	c := parse(t, baseDocument)
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

// Guards against a Config that aliases the caller's buffer and changes with it.
func TestParseCopiesItsInput(t *testing.T) {
	document := []byte(baseDocument)
	c, err := config.Parse(document)
	assert.NilError(t, err)
	for i := range document {
		document[i] = '#'
	}
	assert.DeepEqual(t, c, parse(t, baseDocument))
}
