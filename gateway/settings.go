package gateway

import (
	"fmt"
	"net"
	"time"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/quota"
	"github.com/anvilfork/anvilfork/core/retry"
)

// Settings are the settings of one process.
type Settings struct {
	ID     fleet.VMID
	Zone   string
	Region string

	FrontAddress     string // for callers
	ReadyAddress     string // for the platform's readiness checks
	DirectoryAddress string // for callers that ask for the addresses of VMs
	PeerAddress      string // for other VMs
	MetricsAddress   string // for operators

	Seeds []string // addresses of the VMs to contact first
	Cores float64  // CPU cores that the process may use, possibly a fraction

	MemoryBytes  int64           // limit on the memory of the process
	RevokeWithin time.Duration   // a withdrawn key must stop working within this time
	DrainWithin  time.Duration   // a target that leaves gets no more requests within this time
	StopGrace    time.Duration   // between the signal to stop and the forced end of the process
	DirectoryTTL time.Duration   // for how long callers may keep the directory's answers
	Retry        retry.Settings  // limits on extra attempts
	Quota        quota.Tolerance // by how much a workspace may exceed its rate
}

// SettingError reports a setting that is missing or invalid.
type SettingError struct {
	Field  string
	Value  string // empty for a missing setting
	Reason string
}

// Error implements error.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s: %s (value %q)", e.Field, e.Reason, e.Value)
}

// Validate returns a *SettingError for the first setting that is missing or invalid.
func (s *Settings) Validate() error {
	if s.ID == "" {
		return &SettingError{Field: "ID", Reason: "is missing"}
	}
	if s.Zone == "" {
		return &SettingError{Field: "Zone", Reason: "is missing"}
	}
	addresses := []struct{ field, value string }{
		{"FrontAddress", s.FrontAddress}, {"ReadyAddress", s.ReadyAddress}, {"DirectoryAddress", s.DirectoryAddress},
		{"PeerAddress", s.PeerAddress}, {"MetricsAddress", s.MetricsAddress},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return &SettingError{Field: a.field, Value: a.value, Reason: "is not an address with a port"}
		}
	}
	durations := []struct {
		field string
		value time.Duration
	}{{"RevokeWithin", s.RevokeWithin}, {"DrainWithin", s.DrainWithin}, {"StopGrace", s.StopGrace}, {"DirectoryTTL", s.DirectoryTTL}, {"Quota.Window", s.Quota.Window}}
	for _, d := range durations {
		if d.value <= 0 {
			return &SettingError{Field: d.field, Value: d.value.String(), Reason: "must be above zero"}
		}
	}
	if s.Retry.Ratio < 0 || s.Retry.Slack < 0 {
		return &SettingError{Field: "Retry", Value: fmt.Sprint(s.Retry), Reason: "must not be below zero"}
	}
	if s.Quota.OverRatio < 0 || s.Quota.SlackRequests < 0 {
		return &SettingError{Field: "Quota", Value: fmt.Sprint(s.Quota), Reason: "must not be below zero"}
	}
	return nil
}
