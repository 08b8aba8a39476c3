package localfleet

import (
	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// document is a configuration document whose fields can be edited.
type document struct {
	root map[string]any
}

func newDocument(data []byte) (*document, error) {
	d := &document{}
	if err := toml.Unmarshal(data, &d.root); err != nil {
		return nil, errors.Wrap(err, "parsing the configuration document")
	}
	return d, nil
}

// render encodes the document as TOML and returns it with its revision.
func (d *document) render() ([]byte, uint64, error) {
	data, err := toml.Marshal(d.root)
	return data, d.revision(), errors.Wrap(err, "encoding the configuration document")
}

// revision is 0 when the document has none.
func (d *document) revision() uint64 {
	n, _ := d.root["revision"].(int64)
	return uint64(n)
}

func (d *document) nextRevision() { d.root["revision"] = int64(d.revision() + 1) }

// tableNamed returns the table called name in an array of tables. When there is
// none it returns an empty table outside of the document, so that edits of it have
// no effect.
func tableNamed(parent map[string]any, array, name string) map[string]any {
	tables, _ := parent[array].([]any)
	for _, t := range tables {
		if table, ok := t.(map[string]any); ok && table["name"] == name {
			return table
		}
	}
	return map[string]any{}
}

// setKeys replaces the key hashes of a workspace.
func (d *document) setKeys(workspace string, hashes ...string) {
	keys := make([]any, 0, len(hashes))
	for _, h := range hashes {
		keys = append(keys, h)
	}
	tableNamed(d.root, "workspace", workspace)["keys"] = keys
}

// setAddress sets the address of target i of a shard.
func (d *document) setAddress(service, shard string, i int, address string) {
	targets, _ := tableNamed(tableNamed(d.root, "service", service), "group", shard)["targets"].([]any)
	if i < len(targets) {
		targets[i].(map[string]any)["address"] = address
	}
}

// Editor changes fields of a configuration document. Edits of services, zones and
// workspaces that do not exist have no effect.
type Editor struct{ doc *document }

// SetZoneOut takes an availability zone out of service, or restores it.
func (e *Editor) SetZoneOut(zone string, out bool) {
	tableNamed(e.doc.root, "zone", zone)["out"] = out
}

// SetKeys replaces the key hashes of a workspace.
func (e *Editor) SetKeys(workspace string, hashes ...string) { e.doc.setKeys(workspace, hashes...) }

// SetRate sets the rate and burst of a workspace.
func (e *Editor) SetRate(workspace string, perSecond, burst float64) {
	w := tableNamed(e.doc.root, "workspace", workspace)
	w["rate"], w["burst"] = perSecond, burst
}

// SetMaxVMs sets the maximum number of VMs alive at once.
func (e *Editor) SetMaxVMs(n int) {
	if fleet, ok := e.doc.root["fleet"].(map[string]any); ok {
		fleet["max_vms"] = int64(n)
	}
}

// SetAddressTTL sets how long callers may cache the address list, as text such as
// "1s".
func (e *Editor) SetAddressTTL(text string) {
	if fleet, ok := e.doc.root["fleet"].(map[string]any); ok {
		fleet["address_ttl"] = text
	}
}

// SetServiceField sets a field of a service.
func (e *Editor) SetServiceField(service, field string, value any) {
	tableNamed(e.doc.root, "service", service)[field] = value
}
