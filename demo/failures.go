package demo

import (
	"context"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/localfleet"
)

const newIndexVersion = 2 // index version that the targets load during the run

// step is a failure or change that is injected at a time after the start of the load.
type step struct {
	at   time.Duration
	name string
	run  func()
}

// injectFailures runs the steps in order. It returns early when ctx ends.
func (d *demo) injectFailures(ctx context.Context, c *config.Config) {
	zone := c.Zones[0].Name
	steps := []step{
		{1 * time.Second, "a new index version reaches the targets one by one", d.updateIndexVersions},
		{3 * time.Second, "a VM is killed", func() { d.fleet.Kill(d.fleet.Members[vmCount-1]) }},
		{5 * time.Second, "a target is killed", func() { d.fleet.Targets[0].Close() }},
		{6 * time.Second, "availability zone " + zone + " is taken out", func() { d.setZoneOut(zone, true) }},
		{8 * time.Second, "availability zone " + zone + " returns", func() { d.setZoneOut(zone, false) }},
		{9 * time.Second, "a replacement VM starts", d.replaceKilledVM},
	}
	start := time.Now()
	for _, s := range steps {
		timer := time.NewTimer(time.Until(start.Add(s.at)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			d.logf("%s", s.name)
			s.run()
		}
	}
}

func (d *demo) updateIndexVersions() {
	for _, t := range d.fleet.Targets {
		t.SetVersions(1, newIndexVersion)
	}
}

func (d *demo) setZoneOut(zone string, out bool) {
	if err := d.fleet.Edit(func(e *localfleet.Editor) { e.SetZoneOut(zone, out) }); err != nil {
		d.logf("editing the configuration document failed: %v", err)
	}
}

func (d *demo) replaceKilledVM() {
	if _, err := d.fleet.Replace(d.fleet.Members[vmCount-1]); err != nil {
		d.logf("starting a replacement VM failed: %v", err)
	}
}
