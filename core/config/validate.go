package config

import (
	"fmt"

	"github.com/anvilfork/anvilfork/core/config/strict"
)

const addressReason = "must be IP:port, with an IP address and a port from 1 to 65535"

// validator checks what the schema cannot: names that refer to each other,
// doubled names and limits over several fields.
type validator struct {
	*strict.Report
	config     *Config
	zones      map[string]bool
	services   map[string]bool
	workspaces map[string]bool
}

func validate(c *Config, r *strict.Report) {
	v := &validator{
		Report: r, config: c,
		zones: make(map[string]bool), services: make(map[string]bool), workspaces: make(map[string]bool),
	}
	v.names()
	for i := range c.Services {
		v.service(fmt.Sprintf("service[%d]", i), &c.Services[i])
	}
	v.dependencies()
	v.keys()
	v.openRoutes()
}

// names records the names of the three kinds and reports doubled ones.
func (v *validator) names() {
	for i, z := range v.config.Zones {
		v.unique(v.zones, "availability zone", fmt.Sprintf("zone[%d].name", i), z.Name)
	}
	for i, s := range v.config.Services {
		v.unique(v.services, "service", fmt.Sprintf("service[%d].name", i), s.Name)
	}
	for i, w := range v.config.Workspaces {
		v.unique(v.workspaces, "workspace", fmt.Sprintf("workspace[%d].name", i), w.Name)
	}
	for i, w := range v.config.Workspaces {
		for j, name := range w.Services {
			v.known(v.services, "service", fmt.Sprintf("workspace[%d].services[%d]", i, j), name)
		}
	}
}

func (v *validator) unique(seen map[string]bool, kind, path, name string) {
	if seen[name] && name != "" {
		v.Add(path, name, kind+" is named twice")
	}
	seen[name] = true
}

// known reports a reference to a name that the text does not define.
func (v *validator) known(names map[string]bool, kind, path, name string) {
	if names[name] || !v.Valid(path) {
		return
	}
	v.AddMissing(path, name, kind+" does not exist")
}

func (v *validator) service(path string, s *Service) {
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
	groups := make(map[string]bool, len(s.Shards))
	addresses := make(map[addressKey]string)
	for i := range s.Shards {
		here := fmt.Sprintf("%s.group[%d]", path, i)
		v.unique(groups, "group", here+".name", s.Shards[i].Name)
		v.group(here, &s.Shards[i], addresses)
	}
}

func (v *validator) group(path string, g *Shard, addresses map[addressKey]string) {
	if len(g.Targets) == 0 && v.Valid(path+".targets") {
		v.AddMissing(path+".targets", "", "must have at least one target")
	}
	for i := range g.Targets {
		t := &g.Targets[i]
		key, ok := parseAddress(t.Address)
		if ok && v.zones[t.Zone] && addresses[key] == "" {
			addresses[key] = g.Name
			continue
		}
		here := fmt.Sprintf("%s.targets[%d]", path, i)
		v.target(here, t, ok, addresses[key])
		addresses[key] = g.Name
	}
}

func (v *validator) target(path string, t *Target, addressed bool, twin string) {
	switch field := path + ".address"; {
	case !v.Valid(field):
	case !addressed:
		v.Add(field, t.Address, addressReason)
	case twin != "":
		v.Add(field, t.Address, fmt.Sprintf("target address is already in group %q of this service", twin))
	}
	v.known(v.zones, "availability zone", path+".zone", t.Zone)
}

func (v *validator) keys() {
	owners := make(map[KeyHash]string)
	for i, w := range v.config.Workspaces {
		for j, k := range w.Keys {
			path := fmt.Sprintf("workspace[%d].keys[%d]", i, j)
			owner, taken := owners[k]
			if taken && v.Valid(path) {
				v.Add(path, k.String(), fmt.Sprintf("key is already a key of workspace %q", owner))
			}
			if v.Valid(path) {
				owners[k] = w.Name
			}
		}
	}
}

func (v *validator) openRoutes() {
	seen := make(map[string]bool)
	for i, o := range v.config.OpenRoutes {
		path := fmt.Sprintf("open_route[%d]", i)
		v.known(v.services, "service", path+".service", o.Service)
		v.known(v.workspaces, "workspace", path+".workspace", o.Workspace)
		v.unique(seen, "service of an open route", path+".service", o.Service)
		w, ok := v.config.Workspace(o.Workspace)
		if ok && !w.MayQuery(o.Service) && v.Valid(path+".service") {
			v.Add(path+".workspace", o.Workspace, fmt.Sprintf("workspace may not query service %q", o.Service))
		}
	}
}
