package config

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// limitFields holds the schema paths of the limits whose reduction may cause
// requests to be refused or delayed.
var limitFields = map[string]bool{
	"workspace.rate": true, "workspace.burst": true, "workspace.weight": true,
	"service.slots": true, "service.connections": true, "service.cold_slots": true,
	"service.deadline": true, "service.hedge_budget": true,
	"fleet.floor_fraction": true, "fleet.homes_per_group": true,
}

// schemaPath removes the element names from a path: service[stock].slots becomes
// service.slots.
func schemaPath(path string) string {
	var b strings.Builder
	depth := 0
	for _, c := range path {
		switch {
		case c == '[':
			depth++
		case c == ']':
			depth--
		case depth == 0:
			b.WriteRune(c)
		}
	}
	return b.String()
}

// scalarRisk returns the risk of one changed value, with a note for the operator.
func (d *differ) scalarRisk(path string, old, new reflect.Value) (Risk, string) {
	switch field := schemaPath(path); {
	case field == "revision" && new.Uint() < old.Uint():
		return RiskRevisionNotLarger, "VMs refuse a smaller revision"
	case field == "fleet.max_vms":
		return RiskMaxVMsChanged, "two coordinators are possible while VMs disagree, unless no more VMs are alive than the smaller value: raise it before starting VMs, lower it after stopping them"
	case field == "zone.out" && new.Bool():
		return RiskZoneOut, "targets of the availability zone get no new work"
	case field == "service.partition_map":
		return RiskPartitionMap, "targets must report the new map before queries can use it"
	case field == "open_route.workspace":
		return RiskAccessWithdrawn, "requests without a key run for another workspace"
	case field == "service.least_coverage" && new.Float() > old.Float():
		return RiskLimitLowered, "answers with less coverage become refusals"
	case limitFields[field] && numericValue(new) < numericValue(old):
		return d.loweredLimitRisk(path, numericValue(new))
	}
	return RiskNone, ""
}

// loweredLimitRisk compares a reduced limit with its present use.
func (d *differ) loweredLimitRisk(path string, limit float64) (Risk, string) {
	used, ok := d.usage[path]
	switch {
	case !ok:
		return RiskLimitLowered, "present use is not known"
	case used > limit:
		return RiskLimitBelowUse, fmt.Sprintf("present use is %g", used)
	}
	return RiskNone, fmt.Sprintf("present use is %g", used)
}

// numericValue returns a limit as a number; a duration in seconds.
func numericValue(v reflect.Value) float64 {
	switch x := v.Interface().(type) {
	case time.Duration:
		return x.Seconds()
	case float64:
		return x
	}
	if v.CanUint() {
		return float64(v.Uint())
	}
	return float64(v.Int())
}

// removalRisk returns the risk of removing an element from the array of tables at
// path.
func removalRisk(path string) (Risk, string) {
	switch schemaPath(path) {
	case "zone":
		return RiskZoneRemoved, "VMs and targets of the availability zone refer to an unknown zone"
	case "service":
		return RiskServiceRemoved, "its queries are refused"
	case "workspace":
		return RiskWorkspaceRemoved, "its callers are refused"
	case "open_route":
		return RiskAccessWithdrawn, "requests without a key are refused"
	case "service.group":
		return RiskPartitionMap, "the group's documents are no longer searched"
	case "service.group.targets":
		return RiskTargetRemoved, "the group has one replica less"
	}
	return RiskNone, ""
}

// withdrawalRisk returns the risk of removing a value from the list at path, which
// then has remaining values.
func withdrawalRisk(path string, remaining int) (Risk, string) {
	switch schemaPath(path) {
	case "workspace.keys":
		return RiskKeyWithdrawn, "callers with this key are refused"
	case "workspace.services":
		if remaining > 0 {
			return RiskAccessWithdrawn, "the workspace may no longer query the service"
		}
	}
	return RiskNone, ""
}

// additionRisk returns the risk of adding a value to the list at path, which had
// oldLen values.
func additionRisk(path string, oldLen int) (Risk, string) {
	if schemaPath(path) == "workspace.services" && oldLen == 0 {
		return RiskAccessWithdrawn, "the workspace could query every service and is now restricted to a list"
	}
	return RiskNone, ""
}

// addShardsWithoutReplicas adds a change for every shard that loses its last
// usable replica, or is new and has none, because all its targets are in
// availability zones that are out of service.
func (d *differ) addShardsWithoutReplicas(old, new *Config) {
	for i := range new.Services {
		s := &new.Services[i]
		for j := range s.Shards {
			shard := &s.Shards[j]
			oldShard := old.shard(s.Name, shard.Name)
			if shard.usableReplicas(new) > 0 || oldShard != nil && oldShard.usableReplicas(old) == 0 {
				continue
			}
			oldUsable := ""
			if oldShard != nil {
				oldUsable = fmt.Sprintf("%d usable", oldShard.usableReplicas(old))
			}
			d.add(fmt.Sprintf("service[%s].group[%s]", s.Name, shard.Name), oldUsable, "0 usable",
				RiskLastReplicaZoneOut, "all replicas of the group are in availability zones that are out")
		}
	}
}

// shard returns the shard called name of a service, nil if there is none.
func (c *Config) shard(service, name string) *Shard {
	s, ok := c.Service(service)
	if !ok {
		return nil
	}
	for i := range s.Shards {
		if s.Shards[i].Name == name {
			return &s.Shards[i]
		}
	}
	return nil
}

// usableReplicas counts the replicas that are not in a zone that is out of service.
func (s *Shard) usableReplicas(c *Config) int {
	n := 0
	for _, t := range s.Targets {
		if !c.IsZoneOut(t.Zone) {
			n++
		}
	}
	return n
}
