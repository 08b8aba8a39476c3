package config

import (
	"fmt"

	"github.com/anvilfork/anvilfork/core/config/strict"
)

const addressReason = "must be IP:port, with an IP address and a port from 1 to 65535"

// validator checks what the schema cannot express: references between names,
// duplicate names and limits that involve several fields. The maps hold the
// defined names.
type validator struct {
	*strict.Report
	config     *Config
	zones      map[string]bool
	services   map[string]bool
	workspaces map[string]bool
}

// validate adds the violations of a decoded document to r.
func validate(c *Config, r *strict.Report) {
	v := &validator{
		Report: r, config: c,
		zones: make(map[string]bool), services: make(map[string]bool), workspaces: make(map[string]bool),
	}
	v.checkNames()
	for i := range c.Services {
		v.checkService(fmt.Sprintf("service[%d]", i), &c.Services[i])
	}
	v.checkDependencies()
	v.checkKeys()
	v.checkOpenRoutes()
}

// checkNames records the names of zones, services and workspaces, and reports
// duplicates and unknown services of workspaces.
func (v *validator) checkNames() {
	for i, z := range v.config.Zones {
		v.checkUnique(v.zones, "availability zone", fmt.Sprintf("zone[%d].name", i), z.Name)
	}
	for i, s := range v.config.Services {
		v.checkUnique(v.services, "service", fmt.Sprintf("service[%d].name", i), s.Name)
	}
	for i, w := range v.config.Workspaces {
		v.checkUnique(v.workspaces, "workspace", fmt.Sprintf("workspace[%d].name", i), w.Name)
	}
	for i, w := range v.config.Workspaces {
		for j, name := range w.Services {
			v.checkReference(v.services, "service", fmt.Sprintf("workspace[%d].services[%d]", i, j), name)
		}
	}
}

// checkUnique adds name to seen and reports it if it was there already.
func (v *validator) checkUnique(seen map[string]bool, kind, path, name string) {
	if seen[name] && name != "" {
		v.Add(path, name, kind+" is named twice")
	}
	seen[name] = true
}

// checkReference reports a reference to a name that the document does not define.
func (v *validator) checkReference(names map[string]bool, kind, path, name string) {
	if names[name] || !v.Valid(path) {
		return
	}
	v.AddMissing(path, name, kind+" does not exist")
}

func (v *validator) checkService(path string, s *Service) {
	if s.Connections < s.Slots+1 && v.Valid(path+".slots", path+".connections") {
		v.Add(path+".connections", fmt.Sprint(s.Connections),
			fmt.Sprintf("must be at least slots + 1 = %d, because one connection carries status reads", s.Slots+1))
	}
	if s.ColdSlots > s.Slots && v.Valid(path+".slots", path+".cold_slots") {
		v.Add(path+".cold_slots", fmt.Sprint(s.ColdSlots), fmt.Sprintf("must be at most slots = %d", s.Slots))
	}
	if len(s.Shards) == 0 && v.Valid(path+".group") {
		v.AddMissing(path+".group", "", "must have at least one group")
	}
	shardNames := make(map[string]bool, len(s.Shards))
	addresses := make(map[addressKey]string)
	for i := range s.Shards {
		shardPath := fmt.Sprintf("%s.group[%d]", path, i)
		v.checkUnique(shardNames, "group", shardPath+".name", s.Shards[i].Name)
		v.checkShard(shardPath, &s.Shards[i], addresses)
	}
}

// checkShard checks the targets of a shard. addresses maps the targets that the
// service has so far to the names of their shards.
func (v *validator) checkShard(path string, s *Shard, addresses map[addressKey]string) {
	if len(s.Targets) == 0 && v.Valid(path+".targets") {
		v.AddMissing(path+".targets", "", "must have at least one target")
	}
	for i := range s.Targets {
		t := &s.Targets[i]
		key, ok := parseAddress(t.Address)
		if ok && v.zones[t.Zone] && addresses[key] == "" {
			addresses[key] = s.Name
			continue
		}
		targetPath := fmt.Sprintf("%s.targets[%d]", path, i)
		v.checkTarget(targetPath, t, ok, addresses[key])
		addresses[key] = s.Name
	}
}

func (v *validator) checkTarget(path string, t *Target, validAddress bool, duplicateIn string) {
	switch field := path + ".address"; {
	case !v.Valid(field):
	case !validAddress:
		v.Add(field, t.Address, addressReason)
	case duplicateIn != "":
		v.Add(field, t.Address, fmt.Sprintf("target address is already in group %q of this service", duplicateIn))
	}
	v.checkReference(v.zones, "availability zone", path+".zone", t.Zone)
}

func (v *validator) checkKeys() {
	workspaceOf := make(map[KeyHash]string)
	for i, w := range v.config.Workspaces {
		for j, k := range w.Keys {
			path := fmt.Sprintf("workspace[%d].keys[%d]", i, j)
			workspace, exists := workspaceOf[k]
			if exists && v.Valid(path) {
				v.Add(path, k.String(), fmt.Sprintf("key is already a key of workspace %q", workspace))
			}
			if v.Valid(path) {
				workspaceOf[k] = w.Name
			}
		}
	}
}

func (v *validator) checkOpenRoutes() {
	seen := make(map[string]bool)
	for i, o := range v.config.OpenRoutes {
		path := fmt.Sprintf("open_route[%d]", i)
		v.checkReference(v.services, "service", path+".service", o.Service)
		v.checkReference(v.workspaces, "workspace", path+".workspace", o.Workspace)
		v.checkUnique(seen, "service of an open route", path+".service", o.Service)
		w, ok := v.config.Workspace(o.Workspace)
		if ok && !w.MayQuery(o.Service) && v.Valid(path+".service") {
			v.Add(path+".workspace", o.Workspace, fmt.Sprintf("workspace may not query service %q", o.Service))
		}
	}
}
