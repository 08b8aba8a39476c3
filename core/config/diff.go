package config

import (
	"fmt"
	"reflect"
	"strconv"
)

// Risk is what may go wrong when a change comes into force.
type Risk string

// The risks of changes.
const (
	RiskNone               Risk = ""
	RiskRevisionNotLarger  Risk = "revision_not_larger"   // VMs will refuse the text
	RiskMaxVMsChanged      Risk = "vote_bound"            // two coordinators are possible while VMs disagree on max_vms
	RiskLimitLowered       Risk = "limit_lowered"         // work that was admitted may be refused
	RiskLimitBelowUse      Risk = "limit_below_use"       // work that is admitted now will be refused
	RiskKeyWithdrawn       Risk = "key_withdrawn"         // callers with this key are refused
	RiskAccessWithdrawn    Risk = "access_withdrawn"      // callers of a workspace or open route are refused
	RiskZoneOut            Risk = "zone_out"              // the targets of the zone get no new work
	RiskZoneRemoved        Risk = "zone_removed"          // VMs and targets of the zone are unknown
	RiskServiceRemoved     Risk = "service_removed"       // its queries are refused
	RiskWorkspaceRemoved   Risk = "workspace_removed"     // its callers are refused
	RiskPartitionMap       Risk = "partition_map"         // queries are planned anew; targets must have the new map
	RiskTargetRemoved      Risk = "target_removed"        // a group has fewer replicas
	RiskLastReplicaZoneOut Risk = "last_replica_zone_out" // the group has no usable replica
)

// Change is one difference between two configurations.
type Change struct {
	Path string `json:"path"` // elements are named: service[stock].group[g01].targets[192.0.2.1:80].zone
	Old  string `json:"old"`  // empty when the text gains the element
	New  string `json:"new"`  // empty when the text loses the element
	Risk Risk   `json:"risk,omitempty"`
	Note string `json:"note,omitempty"` // what the risk means here
}

// Usage is the present use of limits by the path of their change, such as the
// requests a second of workspace[matlane].rate.
type Usage map[string]float64

// Diff returns the differences between two configurations with their risks.
// The risks are those of the text; present use is not known.
func Diff(old, new *Config) []Change { return DiffWithUsage(old, new, nil) }

// DiffWithUsage is Diff with lowered limits compared with their present use.
func DiffWithUsage(old, new *Config, use Usage) []Change {
	d := differ{use: use}
	if new.Revision == old.Revision && new.Digest != old.Digest {
		d.add("revision", u(old.Revision), u(new.Revision), RiskRevisionNotLarger, "the content differs, so the revision must grow")
	}
	d.structs("", reflect.ValueOf(old).Elem(), reflect.ValueOf(new).Elem())
	d.zonesOut(old, new)
	return d.changes
}

func u(n uint64) string { return strconv.FormatUint(n, 10) }

type differ struct {
	use     Usage
	changes []Change
}

func (d *differ) add(path, old, new string, risk Risk, note string) {
	d.changes = append(d.changes, Change{Path: path, Old: old, New: new, Risk: risk, Note: note})
}

// structs compares the tagged fields of two structs of one type, so that a new
// field of the text is compared without further code.
func (d *differ) structs(path string, old, new reflect.Value) {
	t := old.Type()
	for i := range t.NumField() {
		key := t.Field(i).Tag.Get("toml")
		if key == "" || key == "-" {
			continue
		}
		here := key
		if path != "" {
			here = path + "." + key
		}
		a, b := old.Field(i), new.Field(i)
		switch {
		case a.Kind() == reflect.Struct:
			d.structs(here, a, b)
		case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct:
			d.elements(here, a, b)
		case a.Kind() == reflect.Slice:
			d.sets(here, a, b)
		case !a.Equal(b):
			d.scalar(here, a, b)
		}
	}
}

// elements compares two arrays of tables, whose first field names an element.
func (d *differ) elements(path string, old, new reflect.Value) {
	before := byName(old)
	after := byName(new)
	for i := range old.Len() {
		name := old.Index(i).Field(0).String()
		here := fmt.Sprintf("%s[%s]", path, name)
		if now, ok := after[name]; ok {
			d.structs(here, old.Index(i), now)
			continue
		}
		risk, note := removal(path)
		d.add(here, name, "", risk, note)
	}
	for i := range new.Len() {
		name := new.Index(i).Field(0).String()
		if _, ok := before[name]; !ok {
			d.add(fmt.Sprintf("%s[%s]", path, name), "", name, RiskNone, "")
		}
	}
}

func byName(list reflect.Value) map[string]reflect.Value {
	m := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		m[list.Index(i).Field(0).String()] = list.Index(i)
	}
	return m
}

// sets compares two lists of values without regard to their order.
func (d *differ) sets(path string, old, new reflect.Value) {
	before, after := members(old), members(new)
	for i := range old.Len() {
		if value := show(old.Index(i)); !after[value] {
			risk, note := withdrawal(path, new.Len())
			d.add(fmt.Sprintf("%s[%s]", path, value), value, "", risk, note)
		}
	}
	for i := range new.Len() {
		if value := show(new.Index(i)); !before[value] {
			risk, note := entry(path, old.Len())
			d.add(fmt.Sprintf("%s[%s]", path, value), "", value, risk, note)
		}
	}
}

func members(list reflect.Value) map[string]bool {
	m := make(map[string]bool, list.Len())
	for i := range list.Len() {
		m[show(list.Index(i))] = true
	}
	return m
}

func show(v reflect.Value) string {
	return fmt.Sprint(v.Interface())
}

func (d *differ) scalar(path string, old, new reflect.Value) {
	risk, note := d.scalarRisk(path, old, new)
	d.add(path, show(old), show(new), risk, note)
}
