// Package localfleet runs a whole fleet on loopback in one process, for the demo,
// benchmarks and tests. It is given a configuration document and starts a stand-in
// platform, a stand-in for each target of the document, and VMs. It returns a Fleet,
// with which the caller kills, stops and adds VMs, publishes changed documents, and
// verifies answers against what the targets served.
package localfleet

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/client"
	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/daemon"
	"github.com/anvilfork/anvilfork/standin"
)

const (
	loopbackAddress = "127.0.0.1:0"
	indexVersion    = 1 // version that all targets have at the start
)

// Options configure a fleet.
type Options struct {
	Document    []byte // configuration document; its target addresses and keys are replaced by local ones
	VMs         int
	Edit        func(e *Editor)                    // changes the document before it is first published; may be nil
	ServiceTime func(service string) time.Duration // service time of the targets of a service, for each request
	Log         zerolog.Logger
}

// Target is a stand-in target and its position in the document.
type Target struct {
	*standin.Target
	Service string
	Shard   string
	Zone    string
	Index   int // index in its shard
}

// Member is one VM of the fleet.
type Member struct {
	*daemon.VM
	Name string
	Zone string
	Gone bool
}

// Fleet is a running fleet. The caller must close it.
type Fleet struct {
	Platform    *standin.Platform
	Targets     []*Target
	Members     []*Member
	options     Options
	doc         *document
	zones       []string
	keys        map[string]string // plain key by workspace
	shardCounts map[string]int    // number of shards by service
	executions  *executionLog
}

// Start starts the platform, the targets and the VMs. It does not wait until the
// fleet serves.
func Start(o Options) (*Fleet, error) {
	parsed, err := config.Parse(o.Document)
	if err != nil {
		return nil, errors.Wrap(err, "parsing the configuration document")
	}
	doc, err := newDocument(o.Document)
	if err != nil {
		return nil, err
	}
	f := &Fleet{options: o, doc: doc, keys: make(map[string]string), shardCounts: make(map[string]int), executions: newExecutionLog(), Platform: standin.NewPlatform()}
	for _, z := range parsed.Zones {
		f.zones = append(f.zones, z.Name)
	}
	f.startTargets(parsed)
	for _, w := range parsed.Workspaces {
		key := standin.KeyMarker + w.Name
		f.keys[w.Name] = key
		doc.setKeys(w.Name, config.HashKey(key).String())
	}
	if o.Edit != nil {
		o.Edit(&Editor{doc: doc})
	}
	if err := f.Publish(); err != nil {
		f.Close()
		return nil, err
	}
	for range o.VMs {
		if _, err := f.StartVM(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// startTargets starts a stand-in for each target and sets its address in the document.
func (f *Fleet) startTargets(c *config.Config) {
	for _, s := range c.Services {
		f.shardCounts[s.Name] = len(s.Shards)
		for _, sh := range s.Shards {
			for i, tc := range sh.Targets {
				t := &Target{Service: s.Name, Shard: sh.Name, Zone: tc.Zone, Index: i}
				t.Target = standin.NewTarget(standin.TargetOptions{
					Group: sh.Name, PartitionMap: s.PartitionMap, Versions: []uint64{indexVersion},
					Slots: s.Slots, ServiceTime: f.options.ServiceTime(s.Name),
					BeforeAnswer: func(attempt string, version uint64) {
						f.executions.add(attempt, execution{service: s.Name, group: sh.Name, version: version})
					},
				})
				f.doc.setAddress(s.Name, sh.Name, i, t.Address())
				f.Targets = append(f.Targets, t)
			}
		}
	}
}

// StartVM starts another VM and adds it to the platform's list. VMs are placed in
// the zones in rotation.
func (f *Fleet) StartVM() (*Member, error) {
	n := len(f.Members)
	m := &Member{Name: fmt.Sprintf("vm%d", n), Zone: f.zones[n%len(f.zones)]}
	return m, f.start(m, true)
}

// Replace starts a new VM in the zone of old, which must be gone, and adds it to the
// platform's list.
func (f *Fleet) Replace(old *Member) (*Member, error) {
	m := &Member{Name: fmt.Sprintf("vm%d", len(f.Members)), Zone: old.Zone}
	return m, f.start(m, true)
}

func (f *Fleet) start(m *Member, register bool) error {
	vm, err := daemon.Start(daemon.Settings{
		VM: m.Name, Zone: m.Zone,
		PeerListen: loopbackAddress, CallerListen: loopbackAddress, AdminListen: loopbackAddress, PlatformURL: f.Platform.URL(),
	}, f.options.Log)
	if err != nil {
		return err
	}
	m.VM = vm
	f.Members = append(f.Members, m)
	if register {
		f.publishVMs()
	}
	return nil
}

// publishVMs gives the platform the list of all VMs that are not gone.
func (f *Fleet) publishVMs() {
	var entries []standin.VMEntry
	for _, m := range f.Members {
		if !m.Gone {
			entries = append(entries, standin.VMEntry{ID: m.Name, Zone: m.Zone, Peer: m.PeerURL(), Caller: m.CallerURL(), State: "live"})
		}
	}
	f.Platform.SetVMs(entries)
}

// Kill ends a VM without notice, as a crash does. It stays in the platform's list
// until the list is published again, as RemoveGoneVMs does.
func (f *Fleet) Kill(m *Member) {
	m.Gone = true
	m.VM.Kill()
}

// Stop shuts a VM down gracefully and then removes it from the platform's list.
func (f *Fleet) Stop(m *Member) {
	m.VM.Stop()
	m.Gone = true
	f.publishVMs()
}

// RemoveGoneVMs removes all VMs that are gone from the platform's list.
func (f *Fleet) RemoveGoneVMs() { f.publishVMs() }

// Edit changes the document and publishes it as the next revision.
func (f *Fleet) Edit(edit func(d *Editor)) error {
	edit(&Editor{doc: f.doc})
	f.doc.nextRevision()
	return f.Publish()
}

// Publish gives the current document to the platform. It returns an error when the
// document is not valid.
func (f *Fleet) Publish() error {
	document, revision, err := f.doc.render()
	if err != nil {
		return err
	}
	if _, err := config.Parse(document); err != nil {
		return errors.Wrap(err, "parsing the edited document")
	}
	f.Platform.SetDocument(revision, document)
	return nil
}

// Config returns the parsed current document.
func (f *Fleet) Config() (*config.Config, error) {
	document, _, err := f.doc.render()
	if err != nil {
		return nil, err
	}
	return config.Parse(document)
}

// Revision returns the revision of the current document.
func (f *Fleet) Revision() uint64 { return f.doc.revision() }

// Key returns the plain key of a workspace.
func (f *Fleet) Key(workspace string) string { return f.keys[workspace] }

// Client returns a client with the key of a workspace, for a caller in a zone. Its
// seeds are the VMs that are not gone.
func (f *Fleet) Client(workspace, zone string) *client.Client {
	var seeds []string
	for _, m := range f.Members {
		if !m.Gone {
			seeds = append(seeds, m.CallerURL())
		}
	}
	return client.New(client.Options{Seeds: seeds, Key: f.keys[workspace], Zone: zone})
}

// Counts returns the sums of the counts of all targets, and the maximum of
// MaxRunning.
func (f *Fleet) Counts() standin.TargetCounts {
	var sum standin.TargetCounts
	for _, t := range f.Targets {
		c := t.Counts()
		sum.Ran += c.Ran
		sum.Shed += c.Shed
		sum.Cancelled += c.Cancelled
		sum.KeyLeaks += c.KeyLeaks
		sum.MaxRunning = max(sum.MaxRunning, c.MaxRunning)
	}
	return sum
}

// Close kills all VMs and ends the targets and the platform.
func (f *Fleet) Close() {
	for _, m := range f.Members {
		if !m.Gone {
			m.VM.Kill()
		}
	}
	for _, t := range f.Targets {
		t.Close()
	}
	f.Platform.Close()
	close(f.executions.stop)
}
