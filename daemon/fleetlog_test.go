package daemon

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
)

func loggedEvents(t *testing.T, output []byte) []string {
	t.Helper()
	var names []string
	for d := json.NewDecoder(bytes.NewReader(output)); d.More(); {
		var line struct{ Event string }
		assert.NilError(t, d.Decode(&line))
		names = append(names, line.Event)
	}
	return names
}

// Guards against changes of the fleet that are not logged, and against log lines
// when nothing changed.
func TestLogChanges(t *testing.T) {
	cfg := &config.Config{Revision: 1}
	vms := []fleet.VM{{ID: "a", State: fleet.Live}}
	leaving := []fleet.VM{{ID: "a", State: fleet.Leaving}}
	cases := []struct {
		name         string
		old, current fleetState
		want         []string
	}{
		{"first", fleetState{}, fleetState{view: &fleet.View{Config: cfg, VMs: vms}}, []string{"text_accepted", "vm_seen"}},
		{"same", fleetState{view: &fleet.View{Config: cfg, VMs: vms}}, fleetState{view: &fleet.View{Config: cfg, VMs: vms}}, nil},
		{"leaving", fleetState{view: &fleet.View{VMs: vms}}, fleetState{view: &fleet.View{VMs: leaving}}, []string{"vm_seen"}},
		{"gone", fleetState{view: &fleet.View{VMs: vms}}, fleetState{view: &fleet.View{}}, []string{"vm_gone"}},
		{"fenced", fleetState{view: &fleet.View{Serving: true}}, fleetState{view: &fleet.View{Fenced: true}}, []string{"fenced", "not_serving"}},
		{"unfenced", fleetState{view: &fleet.View{Fenced: true}}, fleetState{view: &fleet.View{Serving: true}}, []string{"unfenced", "serving"}},
		{"coordinator", fleetState{view: &fleet.View{}}, fleetState{view: &fleet.View{}, coordinator: "a"}, []string{"coordinator_changed"}},
		{"no coordinator", fleetState{view: &fleet.View{}, coordinator: "a"}, fleetState{view: &fleet.View{}}, []string{"coordinator_lost"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			logChanges(zerolog.New(&out), c.old, c.current)
			assert.DeepEqual(t, loggedEvents(t, out.Bytes()), c.want)
		})
	}
}

// Guards against a rejected document that is logged with the wrong cause.
func TestLogRejected(t *testing.T) {
	for want, err := range map[string]error{
		"revision_conflict": &config.RevisionConflictError{}, "text_stale": &config.StaleRevisionError{}, "text_rejected": &ListenError{},
	} {
		var out bytes.Buffer
		logRejected(zerolog.New(&out), "service", err)
		assert.DeepEqual(t, loggedEvents(t, out.Bytes()), []string{want})
	}
}
