package daemon

import (
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
)

// fleetState is what changes of the fleet are reported against.
type fleetState struct {
	view        *fleet.View
	coordinator fleet.VMID
}

// logChanges reports how a VM's view of the fleet changed. A nil view is one
// before the first.
func logChanges(log zerolog.Logger, old, now fleetState) {
	if old.view == nil {
		old.view = &fleet.View{}
	}
	a, b := old.view, now.view
	if b.Config != nil && b.Config != a.Config {
		log.Info().Str("event", "text_accepted").Uint64("revision", b.Config.Revision).Str("digest", b.Config.Digest.String()).
			Msg("configuration text is in force")
	}
	switch {
	case b.Fenced && !a.Fenced:
		log.Error().Str("event", "fenced").Msg("neither the configuration service nor a VM was heard of, requests are refused")
	case a.Fenced && !b.Fenced:
		log.Info().Str("event", "unfenced").Msg("the configuration service or a VM was heard of again")
	}
	switch {
	case b.Serving && !a.Serving:
		log.Info().Str("event", "serving").Msg("VM serves requests")
	case a.Serving && !b.Serving:
		log.Warn().Str("event", "not_serving").Msg("VM refuses requests")
	}
	if old.coordinator != now.coordinator {
		logCoordinator(log, old.coordinator, now.coordinator)
	}
	logMembers(log, a, b)
}

func logCoordinator(log zerolog.Logger, old, now fleet.VMID) {
	if now == "" {
		log.Warn().Str("event", "coordinator_lost").Str("coordinator", string(old)).Msg("no coordinator is known")
		return
	}
	log.Info().Str("event", "coordinator_changed").Str("coordinator", string(now)).Msg("coordinator is known")
}

func logMembers(log zerolog.Logger, a, b *fleet.View) {
	for _, vm := range b.VMs {
		before, known := a.VM(vm.ID)
		if !known || before.State != vm.State {
			log.Info().Str("event", "vm_seen").Str("other", string(vm.ID)).Str("zone", vm.Zone).Str("state", string(vm.State)).
				Msg("VM joined or changed its state")
		}
	}
	for _, vm := range a.VMs {
		if _, known := b.VM(vm.ID); !known {
			log.Info().Str("event", "vm_gone").Str("other", string(vm.ID)).Str("zone", vm.Zone).Msg("VM is not in the fleet any more")
		}
	}
}

// logRejected reports a configuration text that was not taken.
func logRejected(log zerolog.Logger, source string, err error) {
	var conflict *config.RevisionConflictError
	var stale *config.StaleRevisionError
	switch {
	case errors.As(err, &conflict):
		log.Error().Str("event", "revision_conflict").Str("source", source).Err(err).Msg("one revision has two contents")
	case errors.As(err, &stale):
		log.Warn().Str("event", "text_stale").Str("source", source).Err(err).Msg("older configuration text ignored")
	default:
		log.Error().Str("event", "text_rejected").Str("source", source).Err(err).Msg("configuration text rejected")
	}
}
