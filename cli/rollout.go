package cli

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// rollout is the state of the rollout of a revision to all VMs of the fleet.
type rollout struct {
	revision uint64
	vms      int      // VMs of the fleet
	lagging  []string // VMs that do not count as having the revision, each with the reason
	problems []string // other reasons for which the revision may not be in force everywhere
}

// assessRollout merges the responses of several VMs. A report of a VM counts if at
// least one response holds it, so that a VM which only some others can reach is not
// taken for unresponsive. VMs with the same revision must agree on its digest.
func assessRollout(responses []fleetResponse, revision uint64) rollout {
	result := rollout{revision: revision}
	byPeerURL := make(map[string]vmStatus)
	for _, r := range responses {
		if r.err != nil {
			result.problems = append(result.problems, r.err.Error())
			continue
		}
		for _, vm := range r.dump.VMs {
			if s := newVMStatus(&vm); s.Responsive || byPeerURL[s.PeerURL].PeerURL == "" {
				byPeerURL[s.PeerURL] = s
			}
		}
	}
	result.vms = len(byPeerURL)
	digests := make(map[uint64]string)
	for _, peerURL := range slices.Sorted(maps.Keys(byPeerURL)) {
		s := byPeerURL[peerURL]
		if reason := s.lagReason(revision); reason != "" {
			result.lagging = append(result.lagging, fmt.Sprintf("%s: %s", s.ID, reason))
			continue
		}
		if other, ok := digests[s.Revision]; ok && other != s.Digest {
			result.problems = append(result.problems, fmt.Sprintf("%s: another content of revision %d, digest %.12s", s.ID, s.Revision, s.Digest))
		}
		digests[s.Revision] = s.Digest
	}
	slices.Sort(result.problems)
	return result
}

// lagReason says why a VM does not count as having a revision; it is empty for a VM
// that does. A fenced VM may not know all others, and a task that does not respond
// may still use an older document.
func (s *vmStatus) lagReason(revision uint64) string {
	switch {
	case !s.Responsive:
		return s.unresponsiveReason()
	case s.Fenced:
		return "fenced"
	case s.Revision < revision:
		return fmt.Sprintf("revision %d", s.Revision)
	}
	return ""
}

func (r *rollout) inForce() bool { return r.vms > 0 && len(r.lagging)+len(r.problems) == 0 }

func (r *rollout) progress() string {
	return fmt.Sprintf("%d of %d VMs have revision %d", r.vms-len(r.lagging), r.vms, r.revision)
}

func (r *rollout) String() string {
	return strings.Join(slices.Concat([]string{r.progress()}, r.lagging, r.problems), "; ")
}

// timeoutText is the error message of a wait that timed out.
func (r *rollout) timeoutText() string {
	if r.vms == 0 {
		return "no VM answered"
	}
	if len(r.lagging) == 0 {
		return fmt.Sprintf("revision %d may not be in force on the whole fleet", r.revision)
	}
	return fmt.Sprintf("%d of %d VMs do not have revision %d", len(r.lagging), r.vms, r.revision)
}
