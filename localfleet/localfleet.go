// Package localfleet starts a whole fleet on loopback in one process: the
// stand-in platform, a stand-in for every target of a configuration text, and
// VMs. The demo, the measurements and tests use it.
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
	listen       = "127.0.0.1:0"
	indexVersion = 1 // version that the stand-in targets start with
)

// Options set up a fleet.
type Options struct {
	Text    []byte // configuration text; its targets and keys are replaced by local ones
	VMs     int
	Edit    func(e *Editor)                    // changes the text before it is published; may be nil
	Service func(service string) time.Duration // time that a target takes for one request
	Log     zerolog.Logger
}

// Target is a stand-in target together with its place in the text.
type Target struct {
	*standin.Target
	Service string
	Group   string
	Zone    string
	Index   int // place in its group
}

// Member is one VM of the fleet.
type Member struct {
	*daemon.VM
	Name string
	Zone string
	Gone bool
}

// Fleet is a running fleet.
type Fleet struct {
	Platform *standin.Platform
	Targets  []*Target
	Members  []*Member
	options  Options
	doc      *document
	zones    []string
	keys     map[string]string // key of each workspace
	groups   map[string]int    // groups of each service
	ledger   *ledger
}

// Start starts the platform, the targets and the VMs.
func Start(o Options) (*Fleet, error) {
	parsed, err := config.Parse(o.Text)
	if err != nil {
		return nil, errors.Wrap(err, "configuration text")
	}
	doc, err := newDocument(o.Text)
	if err != nil {
		return nil, err
	}
	f := &Fleet{options: o, doc: doc, keys: make(map[string]string), groups: make(map[string]int), ledger: newLedger(), Platform: standin.NewPlatform()}
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

func (f *Fleet) startTargets(c *config.Config) {
	for _, s := range c.Services {
		f.groups[s.Name] = len(s.Shards)
		for _, g := range s.Shards {
			for i, tc := range g.Targets {
				t := &Target{Service: s.Name, Group: g.Name, Zone: tc.Zone, Index: i}
				t.Target = standin.NewTarget(standin.TargetOptions{
					Group: g.Name, PartitionMap: s.PartitionMap, Versions: []uint64{indexVersion},
					Slots: s.Slots, Service: f.options.Service(s.Name),
					Served: func(attempt string, version uint64) {
						f.ledger.add(attempt, served{service: s.Name, group: g.Name, version: version})
					},
				})
				f.doc.setAddress(s.Name, g.Name, i, t.Address())
				f.Targets = append(f.Targets, t)
			}
		}
	}
}

// StartVM starts one more VM, in the next zone in turn.
func (f *Fleet) StartVM() (*Member, error) {
	n := len(f.Members)
	m := &Member{Name: fmt.Sprintf("vm%d", n), Zone: f.zones[n%len(f.zones)]}
	return m, f.start(m, true)
}

// Replace starts a new VM in the zone of one that is gone.
func (f *Fleet) Replace(old *Member) (*Member, error) {
	m := &Member{Name: fmt.Sprintf("vm%d", len(f.Members)), Zone: old.Zone}
	return m, f.start(m, true)
}

func (f *Fleet) start(m *Member, list bool) error {
	vm, err := daemon.Start(daemon.Settings{
		VM: m.Name, Zone: m.Zone,
		PeerListen: listen, CallerListen: listen, AdminListen: listen, PlatformURL: f.Platform.URL(),
	}, f.options.Log)
	if err != nil {
		return err
	}
	m.VM = vm
	f.Members = append(f.Members, m)
	if list {
		f.listVMs()
	}
	return nil
}

func (f *Fleet) listVMs() {
	var entries []standin.VMEntry
	for _, m := range f.Members {
		if !m.Gone {
			entries = append(entries, standin.VMEntry{ID: m.Name, Zone: m.Zone, Peer: m.PeerURL(), Caller: m.CallerURL(), State: "live"})
		}
	}
	f.Platform.SetVMs(entries)
}

// Kill ends a VM at once, as a crash would. The platform's list still names it
// until Unlist.
func (f *Fleet) Kill(m *Member) {
	m.Gone = true
	m.VM.Kill()
}

// Stop stops a VM as planned and takes it from the platform's list.
func (f *Fleet) Stop(m *Member) {
	m.VM.Stop()
	m.Gone = true
	f.listVMs()
}

// Unlist takes VMs that are gone from the platform's list.
func (f *Fleet) Unlist() { f.listVMs() }

// Edit changes the text and publishes it under the next revision.
func (f *Fleet) Edit(change func(d *Editor)) error {
	change(&Editor{doc: f.doc})
	f.doc.nextRevision()
	return f.Publish()
}

// Publish gives the present text to the platform.
func (f *Fleet) Publish() error {
	text, revision, err := f.doc.render()
	if err != nil {
		return err
	}
	if _, err := config.Parse(text); err != nil {
		return errors.Wrap(err, "edited text")
	}
	f.Platform.SetText(revision, text)
	return nil
}

// Config returns the present text, parsed.
func (f *Fleet) Config() (*config.Config, error) {
	text, _, err := f.doc.render()
	if err != nil {
		return nil, err
	}
	return config.Parse(text)
}

// Revision returns the revision of the present text.
func (f *Fleet) Revision() uint64 { return f.doc.revision() }

// Key returns the key of a workspace.
func (f *Fleet) Key(workspace string) string { return f.keys[workspace] }

// Client returns a caller's client for a workspace in a zone.
func (f *Fleet) Client(workspace, zone string) *client.Client {
	var seeds []string
	for _, m := range f.Members {
		if !m.Gone {
			seeds = append(seeds, m.CallerURL())
		}
	}
	return client.New(client.Options{Seeds: seeds, Key: f.keys[workspace], Zone: zone})
}

// Counts adds up what all targets saw.
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

// Close ends everything.
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
	close(f.ledger.stop)
}
