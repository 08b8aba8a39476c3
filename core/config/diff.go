package config

import (
	"fmt"
	"reflect"
	"strconv"
)

// Risk classifies what may go wrong when a change comes into force.
type Risk string

// The risks of changes.
const (
	RiskNone               Risk = ""
	RiskRevisionNotLarger  Risk = "revision_not_larger"   // VMs will reject the document
	RiskMaxVMsChanged      Risk = "vote_bound"            // two coordinators are possible while VMs disagree on max_vms
	RiskLimitLowered       Risk = "limit_lowered"         // work that was admitted may be refused
	RiskLimitBelowUse      Risk = "limit_below_use"       // work that is admitted now will be refused
	RiskKeyWithdrawn       Risk = "key_withdrawn"         // requests with this key are refused
	RiskAccessWithdrawn    Risk = "access_withdrawn"      // requests of a workspace or over an open route are refused
	RiskZoneOut            Risk = "zone_out"              // the targets of the zone get no new requests
	RiskZoneRemoved        Risk = "zone_removed"          // VMs and targets refer to an unknown zone
	RiskServiceRemoved     Risk = "service_removed"       // queries of the service are refused
	RiskWorkspaceRemoved   Risk = "workspace_removed"     // requests of the workspace are refused
	RiskPartitionMap       Risk = "partition_map"         // queries are planned with the new map; targets must have loaded it
	RiskTargetRemoved      Risk = "target_removed"        // a shard has fewer replicas
	RiskLastReplicaZoneOut Risk = "last_replica_zone_out" // a shard has no usable replica
)

// Change is one difference between two configurations.
type Change struct {
	Path string `json:"path"` // array elements by name, as in service[stock].group[g01].targets[192.0.2.1:80].zone
	Old  string `json:"old"`  // empty when the element is added
	New  string `json:"new"`  // empty when the element is removed
	Risk Risk   `json:"risk,omitempty"`
	Note string `json:"note,omitempty"` // consequence of the change, for the operator
}

// Usage maps the path of a limit, as in Change.Path, to its present use in the
// unit of the limit: for workspace[matlane].rate, requests per second.
type Usage map[string]float64

// Diff returns the changes from old to new with their risks, judged from the
// two configurations alone, without present use.
func Diff(old, new *Config) []Change { return DiffWithUsage(old, new, nil) }

// DiffWithUsage is like Diff, but compares lowered limits with their present
// use. Limits that are not in usage are treated as by Diff.
func DiffWithUsage(old, new *Config, usage Usage) []Change {
	d := differ{usage: usage}
	if new.Revision == old.Revision && new.Digest != old.Digest {
		d.add("revision", formatUint(old.Revision), formatUint(new.Revision), RiskRevisionNotLarger, "the content differs, so the revision must increase")
	}
	d.diffStructs("", reflect.ValueOf(old).Elem(), reflect.ValueOf(new).Elem())
	d.addShardsWithoutReplicas(old, new)
	return d.changes
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// differ collects the changes between two configurations.
type differ struct {
	usage   Usage
	changes []Change
}

func (d *differ) add(path, old, new string, risk Risk, note string) {
	d.changes = append(d.changes, Change{Path: path, Old: old, New: new, Risk: risk, Note: note})
}

// diffStructs compares the fields of two structs of one type that have a toml
// tag. It works by reflection, so that a new field needs no code here.
func (d *differ) diffStructs(path string, old, new reflect.Value) {
	t := old.Type()
	for i := range t.NumField() {
		key := t.Field(i).Tag.Get("toml")
		if key == "" || key == "-" {
			continue
		}
		fieldPath := key
		if path != "" {
			fieldPath = path + "." + key
		}
		a, b := old.Field(i), new.Field(i)
		switch {
		case a.Kind() == reflect.Struct:
			d.diffStructs(fieldPath, a, b)
		case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
			d.diffTables(fieldPath, a, b)
		case a.Kind() == reflect.Slice:
			d.diffSets(fieldPath, a, b)
		case !a.Equal(b):
			d.diffScalar(fieldPath, a, b)
		}
	}
}

// diffTables compares two arrays of tables. It matches elements by their first
// field, which is their name.
func (d *differ) diffTables(path string, old, new reflect.Value) {
	before := elementsByName(old)
	after := elementsByName(new)
	for i := range old.Len() {
		name := old.Index(i).Field(0).String()
		elementPath := fmt.Sprintf("%s[%s]", path, name)
		if element, ok := after[name]; ok {
			d.diffStructs(elementPath, old.Index(i), element)
			continue
		}
		risk, note := removalRisk(path)
		d.add(elementPath, name, "", risk, note)
	}
	for i := range new.Len() {
		name := new.Index(i).Field(0).String()
		if _, ok := before[name]; !ok {
			d.add(fmt.Sprintf("%s[%s]", path, name), "", name, RiskNone, "")
		}
	}
}

func elementsByName(list reflect.Value) map[string]reflect.Value {
	m := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		m[list.Index(i).Field(0).String()] = list.Index(i)
	}
	return m
}

// diffSets compares two lists of values and ignores their order.
func (d *differ) diffSets(path string, old, new reflect.Value) {
	before, after := valueSet(old), valueSet(new)
	for i := range old.Len() {
		if value := formatValue(old.Index(i)); !after[value] {
			risk, note := withdrawalRisk(path, new.Len())
			d.add(fmt.Sprintf("%s[%s]", path, value), value, "", risk, note)
		}
	}
	for i := range new.Len() {
		if value := formatValue(new.Index(i)); !before[value] {
			risk, note := additionRisk(path, old.Len())
			d.add(fmt.Sprintf("%s[%s]", path, value), "", value, risk, note)
		}
	}
}

func valueSet(list reflect.Value) map[string]bool {
	m := make(map[string]bool, list.Len())
	for i := range list.Len() {
		m[formatValue(list.Index(i))] = true
	}
	return m
}

func formatValue(v reflect.Value) string {
	return fmt.Sprint(v.Interface())
}

func (d *differ) diffScalar(path string, old, new reflect.Value) {
	risk, note := d.scalarRisk(path, old, new)
	d.add(path, formatValue(old), formatValue(new), risk, note)
}
