package config_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
)

var violationCases = []struct {
	name  string
	pairs []string
	want  []string // all violations, as shown to the operator
}{
	{"revision zero", []string{"revision = 3", "revision = 0"}, []string{`line 1: revision = "0": must be from 1 to 9223372036854775807`}},
	{"revision missing", []string{"revision = 3", ""}, []string{`line 1: revision: is missing`}},
	{"revision negative", []string{"revision = 3", "revision = -3"}, []string{`line 1: revision = "-3": must be a whole number of zero or more`}},
	{"max_vms low", []string{"max_vms = 9", "max_vms = 0"}, []string{`line 3: fleet.max_vms = "0": must be from 1 to 10000`}},
	{"max_vms high", []string{"max_vms = 9", "max_vms = 10001"}, []string{`line 3: fleet.max_vms = "10001": must be from 1 to 10000`}},
	{"max_vms of another type", []string{"max_vms = 9", `max_vms = "9"`}, []string{`line 3: fleet.max_vms = "9": must be a whole number`}},
	{"fleet missing", []string{"[fleet]\nmax_vms = 9\n", ""}, []string{`line 1: fleet.max_vms: is missing`}},
	{"homes_per_group zero", []string{"max_vms = 9", "max_vms = 9\nhomes_per_group = 0"}, []string{`line 4: fleet.homes_per_group = "0": must be from 1 to 2`}},
	{"homes_per_group three", []string{"max_vms = 9", "max_vms = 9\nhomes_per_group = 3"}, []string{`line 4: fleet.homes_per_group = "3": must be from 1 to 2`}},
	{"floor_fraction", []string{"max_vms = 9", "max_vms = 9\nfloor_fraction = 1.5"}, []string{`line 4: fleet.floor_fraction = "1.5": must be from 0 to 1`}},
	{"floor_fraction not a number", []string{"max_vms = 9", "max_vms = 9\nfloor_fraction = nan"}, []string{`line 4: fleet.floor_fraction = "NaN": must be from 0 to 1`}},
	{"unknown fields", []string{"max_vms = 9", "max_vms = 9\nmax_vm = 3\n[extra]\n\"a.b\" = 1"}, []string{
		`line 4: fleet.max_vm: unknown field`, `line 5: extra: unknown field`}},
	{"unknown field in a target", []string{`zone = "b"},`, `zone = "b", weight = 1},`}, []string{`line 18: service[0].group[0].targets[1].weight: unknown field`}},
	{"unknown field in a service", []string{"connections = 40", "connection = 40"}, []string{
		`line 20: service[1].connections: is missing`, `line 24: service[1].connection: unknown field`}},
	{"service named twice", []string{`name = "stock"`, `name = "mats"`, `depends_on = ["stock"]`, "", `service = "stock"`, `service = "mats"`},
		[]string{`line 21: service[1].name = "mats": service is named twice`}},
	{"group named twice", []string{"[[service]]\nname = \"stock\"", "[[service.group]]\nname = \"g0\"\ntargets = [{address = \"192.0.2.3:80\", zone = \"a\"}]\n[[service]]\nname = \"stock\""},
		[]string{`line 21: service[0].group[1].name = "g0": group is named twice`}},
	{"workspace named twice", []string{`name = "hinge"`, `name = "matlane"`, `workspace = "hinge"`, `workspace = "matlane"`},
		[]string{`line 34: workspace[1].name = "matlane": workspace is named twice`}},
	{"zone named twice", []string{`name = "b"`, `name = "a"`, `zone = "b"`, `zone = "a"`}, []string{`line 7: zone[1].name = "a": availability zone is named twice`}},
	{"target twice in a service", []string{"192.0.2.2:80", "192.0.2.1:80"}, []string{
		`line 18: service[0].group[0].targets[1].address = "192.0.2.1:80": target address is already in group "g0" of this service`}},
	{"key in two workspaces", []string{"burst = 1\n", "burst = 1\nkeys = [\"sha256:" + strings.Repeat("1", 64) + "\"]\n"}, []string{
		`line 37: workspace[1].keys[0] = "sha256:` + strings.Repeat("1", 64) + `": key is already a key of workspace "matlane"`}},
	{"key in the clear", []string{`keys = ["sha256:1`, `keys = ["afk_1`}, []string{
		`line 32: workspace[0].keys[0] = "afk_` + strings.Repeat("1", 64) + `": must be sha256: and 64 hexadecimal digits`}},
	{"cycle", []string{"slots = 3", "slots = 3\ndepends_on = [\"mats\"]"}, []string{
		`line 24: service[1].depends_on[0] = "mats": closes the cycle mats -> stock -> mats`}},
	{"cycle of one", []string{`depends_on = ["stock"]`, `depends_on = ["mats"]`}, []string{
		`line 13: service[0].depends_on[0] = "mats": closes the cycle mats -> mats`}},
	{"unknown names", []string{`depends_on = ["stock"]`, `depends_on = ["stack"]`, `zone = "b"`, `zone = "c"`, `service = "stock"`, `service = "stork"`,
		`workspace = "hinge"`, `workspace = "binge"`, "rate = 100", "rate = 100\nservices = [\"mats\",\n \"nats\"]"}, []string{
		`line 13: service[0].depends_on[0] = "stack": service does not exist`,
		`line 18: service[0].group[0].targets[1].zone = "c": availability zone does not exist`,
		`line 32: workspace[0].services[1] = "nats": service does not exist`,
		`line 40: open_route[0].service = "stork": service does not exist`,
		`line 41: open_route[0].workspace = "binge": workspace does not exist`}},
	{"open route to a forbidden service", []string{"rate = 0.5", "rate = 0.5\nservices = [\"mats\"]"}, []string{
		`line 40: open_route[0].workspace = "hinge": workspace may not query service "stock"`}},
	{"two open routes of a service", []string{"[[open_route]]", "[[open_route]]\nservice = \"stock\"\nworkspace = \"hinge\"\n[[open_route]]"}, []string{
		`line 41: open_route[1].service = "stock": service of an open route is named twice`}},
	{"names", []string{`name = "b"`, `name = ""`, `zone = "b"`, `zone = "a"`, `name = "g0"`, `name = "G 0"`, `name = "matlane"`, `name = "` + strings.Repeat("m", 65) + `"`}, []string{
		`line 7: zone[1].name: must have 1 to 64 characters out of a-z, 0-9, dash, underscore and dot`,
		`line 15: service[0].group[0].name = "G 0": must have 1 to 64 characters out of a-z, 0-9, dash, underscore and dot`,
		`line 29: workspace[0].name = "` + strings.Repeat("m", 65) + `": must have 1 to 64 characters out of a-z, 0-9, dash, underscore and dot`}},
	{"slots zero", []string{"slots = 2", "slots = 0"}, []string{`line 11: service[0].slots = "0": must be from 1 to 65534`}},
	{"too few connections", []string{"connections = 25", "connections = 2"}, []string{
		`line 12: service[0].connections = "2": must be at least slots + 1 = 3, because one connection carries status reads`}},
	{"cold_slots above slots", []string{"slots = 2", "slots = 2\ncold_slots = 3"}, []string{`line 12: service[0].cold_slots = "3": must be at most slots = 2`}},
	{"fractions", []string{"slots = 2", "slots = 2\nhedge_budget = -0.1\nleast_coverage = 1.01"}, []string{
		`line 12: service[0].hedge_budget = "-0.1": must be from 0 to 1`, `line 13: service[0].least_coverage = "1.01": must be from 0 to 1`}},
	{"deadline zero", []string{"slots = 2", "slots = 2\ndeadline = \"0s\""}, []string{`line 12: service[0].deadline = "0s": must be from 1ms to 60s`}},
	{"deadline long", []string{"slots = 2", "slots = 2\ndeadline = \"61s\""}, []string{`line 12: service[0].deadline = "61s": must be from 1ms to 60s`}},
	{"durations", []string{"slots = 2", "slots = 2\ndeadline = 5\nconnect_time = \"-1ms\"\ncold_ramp = \"soon\""}, []string{
		`line 12: service[0].deadline = "5": must be a duration such as "250ms" or "30s"`,
		`line 13: service[0].connect_time = "-1ms": must be from 0s to 60s`,
		`line 14: service[0].cold_ramp = "soon": must be a duration such as "250ms" or "30s"`}},
	{"rates", []string{"rate = 100", "rate = 0", "rate = 0.5", "rate = inf"}, []string{
		`line 30: workspace[0].rate = "0": must be above 0 and at most 1000000000`,
		`line 35: workspace[1].rate = "+Inf": must be above 0 and at most 1000000000`}},
	{"bursts", []string{"burst = 50.5", "burst = nan", "burst = 1\n", "burst = 0.9\n"}, []string{
		`line 31: workspace[0].burst = "NaN": must be from 1 to 1000000000`,
		`line 36: workspace[1].burst = "0.9": must be from 1 to 1000000000`}},
	{"weight zero", []string{"rate = 100", "rate = 100\nweight = 0"}, []string{`line 31: workspace[0].weight = "0": must be from 1 to 1000000`}},
	{"host name as address", []string{"192.0.2.2:80", "localhost:80"}, []string{
		`line 18: service[0].group[0].targets[1].address = "localhost:80": must be IP:port, with an IP address and a port from 1 to 65535`}},
	{"empty lists", []string{"targets = [{address = \"192.0.2.1:80\", zone = \"a\"}]", "targets = []"}, []string{
		`line 27: service[1].group[0].targets: must have at least one target`}},
	{"arrays of other types", []string{`keys = ["sha256:`, `keys = 5 # `, "targets = [{address = \"192.0.2.1:80\", zone = \"a\"}]", "targets = [7]", `["stock"]`, `[1.5]`}, []string{
		`line 13: service[0].depends_on[0] = "1.5": must be a string`,
		`line 27: service[1].group[0].targets[0] = "7": must be a table`,
		`line 32: workspace[0].keys = "5": must be an array`}},
	{"no TOML and a limit", []string{`name = "a"`, `name = "a`, "slots = 2", "slots = 0"}, []string{
		`line 5: text: toml: basic strings cannot have new lines`,
		`line 11: service[0].slots = "0": must be from 1 to 65534`}},
	{"key defined twice", []string{"slots = 2", "slots = 2\nslots = 3"}, []string{`line 12: text: toml: key slots is already defined`}},
}

// Guards against violations that are accepted, reported with the wrong line or
// field, or hidden by another violation.
func TestViolations(t *testing.T) {
	for _, c := range violationCases {
		t.Run(c.name, func(t *testing.T) {
			_, err := config.Parse([]byte(replacePairs(t, baseDocument, c.pairs...)))
			assert.Equal(t, fmt.Sprint(err), strings.Join(c.want, "\n"))
			var invalid *config.InvalidDocumentError
			assert.Assert(t, errors.As(err, &invalid))
		})
	}
}

// Guards against a report that stops at the first violation: a document with a
// violation in every table must give all of them.
func TestReportsAllViolations(t *testing.T) {
	document := replacePairs(t, baseDocument, "revision = 3", "revision = 0", "max_vms = 9", "max_vms = 0", `name = "b"`, `nome = "b"`,
		"slots = 2", "slots = -1", "connections = 40", "connections = 3", "192.0.2.2:80", "x", "burst = 1\n", "burst = 0\n", `service = "stock"`, `service = "s"`)
	_, err := config.Parse([]byte(document))
	var invalid *config.InvalidDocumentError
	assert.Assert(t, errors.As(err, &invalid))
	var fields []string
	for _, m := range invalid.Violations {
		fields = append(fields, fmt.Sprintf("%d %s", m.Line, m.Field))
	}
	assert.DeepEqual(t, fields, []string{
		"1 revision", "3 fleet.max_vms", "6 zone[1].name", "7 zone[1].nome", "11 service[0].slots",
		"18 service[0].group[0].targets[1].address", "18 service[0].group[0].targets[1].zone", "24 service[1].connections",
		"36 workspace[1].burst", "38 open_route[0].service",
	})
}
