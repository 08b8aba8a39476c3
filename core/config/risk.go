package config

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// loweredLimits are the fields whose reduction may refuse or slow work, by the
// last part of their path and the table that holds them.
var loweredLimits = map[string]bool{
	"workspace.rate": true, "workspace.burst": true, "workspace.weight": true,
	"service.slots": true, "service.connections": true, "service.cold_slots": true,
	"service.deadline": true, "service.hedge_budget": true,
	"fleet.floor_fraction": true, "fleet.homes_per_group": true,
}

// general drops the names of elements from a path: service[stock].slots becomes service.slots.
func general(path string) string {
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

// scalarRisk returns the risk of one changed value and what it means.
func (d *differ) scalarRisk(path string, old, new reflect.Value) (Risk, string) {
	switch field := general(path); {
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
	case loweredLimits[field] && number(new) < number(old):
		return d.lowered(path, number(new))
	}
	return RiskNone, ""
}

// lowered compares a reduced limit with its present use.
func (d *differ) lowered(path string, limit float64) (Risk, string) {
	used, ok := d.use[path]
	switch {
	case !ok:
		return RiskLimitLowered, "present use is not known"
	case used > limit:
		return RiskLimitBelowUse, fmt.Sprintf("present use is %g", used)
	}
	return RiskNone, fmt.Sprintf("present use is %g", used)
}

// number returns a limit in the unit of the text; a duration in seconds.
func number(v reflect.Value) float64 {
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

// removal returns the risk of losing an element of the array of tables at path.
func removal(path string) (Risk, string) {
	switch general(path) {
	case "zone":
		return RiskZoneRemoved, "VMs and targets of the availability zone lose it"
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

// withdrawal returns the risk of losing a value of the list at path.
func withdrawal(path string, left int) (Risk, string) {
	switch general(path) {
	case "workspace.keys":
		return RiskKeyWithdrawn, "callers with this key are refused"
	case "workspace.services":
		if left > 0 {
			return RiskAccessWithdrawn, "the workspace may no longer query the service"
		}
	}
	return RiskNone, ""
}

// entry returns the risk of a new value in the list at path, which had as many before.
func entry(path string, before int) (Risk, string) {
	if general(path) == "workspace.services" && before == 0 {
		return RiskAccessWithdrawn, "the workspace could query every service and is now held to a list"
	}
	return RiskNone, ""
}

// zonesOut reports every group that loses its last usable replica, or comes
// without one: no target of it is outside the availability zones that are out.
func (d *differ) zonesOut(old, new *Config) {
	for i := range new.Services {
		s := &new.Services[i]
		for j := range s.Shards {
			g := &s.Shards[j]
			before := old.group(s.Name, g.Name)
			if g.usable(new) > 0 || before != nil && before.usable(old) == 0 {
				continue
			}
			was := ""
			if before != nil {
				was = fmt.Sprintf("%d usable", before.usable(old))
			}
			d.add(fmt.Sprintf("service[%s].group[%s]", s.Name, g.Name), was, "0 usable",
				RiskLastReplicaZoneOut, "all replicas of the group are in availability zones that are out")
		}
	}
}

// group returns the group called name of a service, nil when there is none.
func (c *Config) group(service, name string) *Shard {
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

// usable counts the replicas of the group outside zones that are out.
func (g *Shard) usable(c *Config) int {
	n := 0
	for _, t := range g.Targets {
		if !c.ZoneOut(t.Zone) {
			n++
		}
	}
	return n
}
