package config_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
)

const otherKey = "sha256:2222222222222222222222222222222222222222222222222222222222222222"

// Guards against a risky change of which the operator is not warned.
func TestDiffRisks(t *testing.T) {
	oneKey := `keys = ["sha256:` + strings.Repeat("1", 64) + `"]`
	cases := []struct {
		name  string
		pairs []string // replacements that make the new document; its revision is larger unless replaced
		want  []string // path, old, new and risk of every change but the revision
	}{
		{"none", nil, nil},
		{"order of tables and lists", []string{"[[zone]]\nname = \"a\"\n[[zone]]\nname = \"b\"", "[[zone]]\nname = \"b\"\n[[zone]]\nname = \"a\""}, nil},
		{"rate lowered", []string{"rate = 100", "rate = 99.5"}, []string{"workspace[matlane].rate 100 99.5 limit_lowered"}},
		{"rate raised", []string{"rate = 100", "rate = 200"}, []string{"workspace[matlane].rate 100 200 "}},
		{"burst and slots lowered", []string{"burst = 50.5", "burst = 50", "slots = 3", "slots = 1"}, []string{
			"service[stock].slots 3 1 limit_lowered", "workspace[matlane].burst 50.5 50 limit_lowered"}},
		{"deadline lowered", []string{"slots = 3", "slots = 3\ndeadline = \"1s\""}, []string{"service[stock].deadline 2s 1s limit_lowered"}},
		{"least coverage raised", []string{"slots = 3", "slots = 3\nleast_coverage = 1"}, []string{"service[stock].least_coverage 0 1 limit_lowered"}},
		{"key withdrawn", []string{oneKey, ""}, []string{"workspace[matlane].keys[sha256:" + strings.Repeat("1", 64) + "] sha256:" + strings.Repeat("1", 64) + " - key_withdrawn"}},
		{"key added", []string{"burst = 1\n", "burst = 1\nkeys = [\"" + otherKey + "\"]\n"}, []string{"workspace[hinge].keys[" + otherKey + "] - " + otherKey + " "}},
		{"zone out", []string{`name = "b"`, "name = \"b\"\nout = true"}, []string{"zone[b].out false true zone_out"}},
		{"last replica", []string{`name = "a"`, "name = \"a\"\nout = true"}, []string{
			"zone[a].out false true zone_out", "service[stock].group[all] 1 usable 0 usable last_replica_zone_out"}},
		{"target moved to another zone", []string{"targets = [{address = \"192.0.2.1:80\", zone = \"a\"}]", "targets = [{address = \"192.0.2.1:80\", zone = \"b\"}]"},
			[]string{"service[stock].group[all].targets[192.0.2.1:80].zone a b "}},
		{"target removed", []string{"  {address = \"192.0.2.2:80\", zone = \"b\"},\n", ""}, []string{"service[mats].group[g0].targets[192.0.2.2:80] 192.0.2.2:80 - target_removed"}},
		{"service removed", []string{baseDocument[strings.Index(baseDocument, "[[service]]\nname = \"stock\""):strings.Index(baseDocument, "[[workspace]]")], "",
			`depends_on = ["stock"]`, "", "[[open_route]]\nservice = \"stock\"\nworkspace = \"hinge\"\n", ""}, []string{
			"service[mats].depends_on[stock] stock - ", "service[stock] stock - service_removed", "open_route[stock] stock - access_withdrawn"}},
		{"workspace removed", []string{"[[workspace]]\nname = \"matlane\"\nrate = 100\nburst = 50.5\n" + oneKey + "\n", ""}, []string{"workspace[matlane] matlane - workspace_removed"}},
		{"workspace held to a list", []string{"rate = 0.5", "rate = 0.5\nservices = [\"stock\"]"}, []string{"workspace[hinge].services[stock] - stock access_withdrawn"}},
		{"vote bound", []string{"max_vms = 9", "max_vms = 10"}, []string{"fleet.max_vms 9 10 vote_bound"}},
		{"partition map", []string{"partition_map = 1", "partition_map = 2"}, []string{"service[mats].partition_map 1 2 partition_map"}},
		{"group renamed", []string{`name = "g0"`, `name = "g1"`}, []string{"service[mats].group[g0] g0 - partition_map", "service[mats].group[g1] - g1 "}},
		{"revision smaller", []string{"revision = 4", "revision = 2"}, []string{"revision 3 2 revision_not_larger"}},
		{"revision equal", []string{"revision = 4", "revision = 3", "rate = 100", "rate = 200"}, []string{
			"revision 3 3 revision_not_larger", "workspace[matlane].rate 100 200 "}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pairs := append([]string{"revision = 3", "revision = 4"}, c.pairs...)
			changes := config.Diff(parse(t, baseDocument), parse(t, replacePairs(t, baseDocument, pairs...)))
			assert.DeepEqual(t, formatChanges(changes), c.want)
		})
	}
}

// formatChanges returns one line per change, without the expected increase of the
// revision.
func formatChanges(changes []config.Change) []string {
	var lines []string
	for _, c := range changes {
		if c.Path == "revision" && c.Risk == config.RiskNone {
			continue
		}
		if c.Old == "" {
			c.Old = "-"
		}
		if c.New == "" {
			c.New = "-"
		}
		lines = append(lines, strings.Join([]string{c.Path, c.Old, c.New, string(c.Risk)}, " "))
	}
	return lines
}

// Guards against a limit that is lowered below its present use without a warning,
// and against a warning where present use fits the new limit.
func TestDiffUse(t *testing.T) {
	old := parse(t, baseDocument)
	lowered := parse(t, replacePairs(t, baseDocument, "revision = 3", "revision = 4", "rate = 100", "rate = 60"))
	cases := []struct {
		name string
		use  config.Usage
		want config.Risk
	}{
		{"unknown", nil, config.RiskLimitLowered},
		{"below the new limit", config.Usage{"workspace[matlane].rate": 59}, config.RiskNone},
		{"above the new limit", config.Usage{"workspace[matlane].rate": 61}, config.RiskLimitBelowUse},
		{"of another workspace", config.Usage{"workspace[hinge].rate": 61}, config.RiskLimitLowered},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			changes := config.DiffWithUsage(old, lowered, c.use)
			assert.Equal(t, len(changes), 2)
			assert.Equal(t, changes[1].Risk, c.want)
		})
	}
}
