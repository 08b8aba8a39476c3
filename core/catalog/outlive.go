package catalog

import "github.com/anvilfork/anvilfork/core/mirror"

// Reasons for which an entry is kept after the store returned from an older copy.
const (
	KeptConfig       mirror.Reason = "configuration"
	KeptZoneOut      mirror.Reason = "zone_out"
	KeptDraining     mirror.Reason = "target_draining"
	KeptRemoved      mirror.Reason = "target_removed"
	KeptNewerProcess mirror.Reason = "target_restarted"
	notKept          mirror.Reason = ""
)

// Outlives decides whether what an entry meant in an earlier era of the store still
// counts in place of what it means in the present one. Written tells that the store
// was seen to write or delete it in the present era, so that it is no remainder of the
// older copy. A meaning is nil if the entry has none or can't be read.
func Outlives(past, present Change, written bool) mirror.Reason {
	switch past := past.(type) {
	case ConfigUpdated:
		// The operator raises the version with each change, and an equal one is not
		// taken over without a rewind either.
		if now, ok := present.(ConfigUpdated); !ok || now.Config.Version <= past.Config.Version {
			return KeptConfig
		}
	case ZoneOut:
		if _, in := present.(ZoneIn); in && !written {
			return KeptZoneOut
		}
	case TargetRemoved:
		if _, listed := present.(TargetUpdated); listed && !written {
			return KeptRemoved
		}
	case TargetUpdated:
		if now, ok := present.(TargetUpdated); ok {
			return targetOutlives(past.Target, now.Target, written)
		}
	}
	return notKept
}

// targetOutlives is Outlives for two registrations under one id.
func targetOutlives(past, present *Target, written bool) mirror.Reason {
	switch {
	case !past.SameProcess(present):
		if !written && present.StartedUnixMs < past.StartedUnixMs {
			return KeptNewerProcess
		}
	case past.Draining && !present.Draining:
		statesSequence := past.Sequence > 0 || present.Sequence > 0
		if statesSequence && present.Sequence <= past.Sequence || !statesSequence && !written {
			return KeptDraining
		}
	}
	return notKept
}
