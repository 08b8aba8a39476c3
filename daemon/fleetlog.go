package daemon

import (
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
)

// fleetState is the state of the fleet as one VM sees it, compared to log changes.
type fleetState struct {
	view        *fleet.View
	coordinator fleet.VMID
}

// logChanges logs the differences between two states. The view of old is nil before
// the first view.
func logChanges(log zerolog.Logger, old, current fleetState) {
	if old.view == nil {
		old.view = &fleet.View{}
	}
	oldView, newView := old.view, current.view
	if newView.Config != nil && newView.Config != oldView.Config {
		log.Info().Str("event", "text_accepted").Uint64("revision", newView.Config.Revision).Str("digest", newView.Config.Digest.String()).
			Msg("configuration document is in force")
	}
	switch {
	case newView.Fenced && !oldView.Fenced:
		log.Error().Str("event", "fenced").Msg("neither the configuration service nor another VM is reachable, requests are refused")
	case oldView.Fenced && !newView.Fenced:
		log.Info().Str("event", "unfenced").Msg("the configuration service or another VM is reachable again")
	}
	switch {
	case newView.Serving && !oldView.Serving:
		log.Info().Str("event", "serving").Msg("VM serves requests")
	case oldView.Serving && !newView.Serving:
		log.Warn().Str("event", "not_serving").Msg("VM refuses requests")
	}
	if old.coordinator != current.coordinator {
		logCoordinator(log, old.coordinator, current.coordinator)
	}
	logMembers(log, oldView, newView)
}

func logCoordinator(log zerolog.Logger, old, current fleet.VMID) {
	if current == "" {
		log.Warn().Str("event", "coordinator_lost").Str("coordinator", string(old)).Msg("no coordinator is known")
		return
	}
	log.Info().Str("event", "coordinator_changed").Str("coordinator", string(current)).Msg("coordinator changed")
}

func logMembers(log zerolog.Logger, oldView, newView *fleet.View) {
	for _, vm := range newView.VMs {
		before, known := oldView.VM(vm.ID)
		if !known || before.State != vm.State {
			log.Info().Str("event", "vm_seen").Str("other", string(vm.ID)).Str("zone", vm.Zone).Str("state", string(vm.State)).
				Msg("VM joined or changed its state")
		}
	}
	for _, vm := range oldView.VMs {
		if _, known := newView.VM(vm.ID); !known {
			log.Info().Str("event", "vm_gone").Str("other", string(vm.ID)).Str("zone", vm.Zone).Msg("VM is not in the fleet any more")
		}
	}
}

// logRejected logs why a configuration document was not accepted.
func logRejected(log zerolog.Logger, source string, err error) {
	var conflict *config.RevisionConflictError
	var stale *config.StaleRevisionError
	switch {
	case errors.As(err, &conflict):
		log.Error().Str("event", "revision_conflict").Str("source", source).Err(err).Msg("two different configuration documents have the same revision")
	case errors.As(err, &stale):
		log.Warn().Str("event", "text_stale").Str("source", source).Err(err).Msg("configuration document with an older revision ignored")
	default:
		log.Error().Str("event", "text_rejected").Str("source", source).Err(err).Msg("configuration document rejected")
	}
}
