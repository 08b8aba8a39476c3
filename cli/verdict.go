package cli

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// verdict says whether a revision is in force on the whole fleet.
type verdict struct {
	revision uint64
	vms      int
	late     []string // VMs without the revision, and why
	unsure   []string // other reasons that keep it from being certain
}

// judge joins what the VMs that were asked read. A VM is read if one of them
// could read it.
func judge(reads []fleetRead, revision uint64) verdict {
	v := verdict{revision: revision}
	byAddress := make(map[string]vmStatus)
	for _, r := range reads {
		if r.err != nil {
			v.unsure = append(v.unsure, r.err.Error())
			continue
		}
		for _, vm := range r.fleet.VMs {
			if s := statusOf(&vm); s.Answers || byAddress[s.PeerURL].PeerURL == "" {
				byAddress[s.PeerURL] = s
			}
		}
	}
	v.vms = len(byAddress)
	digests := make(map[uint64]string)
	for _, address := range slices.Sorted(maps.Keys(byAddress)) {
		s := byAddress[address]
		if why := s.lacks(revision); why != "" {
			v.late = append(v.late, fmt.Sprintf("%s: %s", s.ID, why))
			continue
		}
		if other, ok := digests[s.Revision]; ok && other != s.Digest {
			v.unsure = append(v.unsure, fmt.Sprintf("%s: another content of revision %d, digest %.12s", s.ID, s.Revision, s.Digest))
		}
		digests[s.Revision] = s.Digest
	}
	slices.Sort(v.unsure)
	return v
}

// lacks says why a VM does not count as having a revision. A VM that is fenced
// may not know all others, and what does not answer may still use an older text.
func (s *vmStatus) lacks(revision uint64) string {
	switch {
	case !s.Answers:
		return s.trouble()
	case s.Fenced:
		return "fenced"
	case s.Revision < revision:
		return fmt.Sprintf("revision %d", s.Revision)
	}
	return ""
}

func (v *verdict) inForce() bool { return v.vms > 0 && len(v.late)+len(v.unsure) == 0 }

func (v *verdict) counted() string {
	return fmt.Sprintf("%d of %d VMs have revision %d", v.vms-len(v.late), v.vms, v.revision)
}

func (v *verdict) String() string {
	return strings.Join(slices.Concat([]string{v.counted()}, v.late, v.unsure), "; ")
}

// failure is the last line of a wait that ended with its timeout.
func (v *verdict) failure() string {
	if v.vms == 0 {
		return "no VM answered"
	}
	if len(v.late) == 0 {
		return fmt.Sprintf("revision %d may not be in force on the whole fleet", v.revision)
	}
	return fmt.Sprintf("%d of %d VMs do not have revision %d", len(v.late), v.vms, v.revision)
}
