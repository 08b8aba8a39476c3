package config

import (
	"bytes"
	"fmt"
)

// StaleRevisionError reports a text that is older than the accepted one.
type StaleRevisionError struct {
	Revision uint64
	Accepted uint64
}

// Error implements error.
func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("revision %d is older than the accepted revision %d", e.Revision, e.Accepted)
}

// RevisionConflictError reports two texts with the same revision and different content.
type RevisionConflictError struct {
	Revision uint64
	Kept     Digest
	Dropped  Digest
}

// Error implements error.
func (e *RevisionConflictError) Error() string {
	return fmt.Sprintf("revision %d exists with two contents: kept %.12s, dropped %.12s", e.Revision, e.Kept, e.Dropped)
}

// RevisionTracker keeps the newest accepted configuration. The zero value holds none.
type RevisionTracker struct {
	current *Config
}

// Current returns the accepted configuration, nil when there is none.
func (o *RevisionTracker) Current() *Config { return o.current }

// Offer parses a text and accepts it when it is newer than the current one. It
// reports whether the current configuration changed. Two contents of one
// revision settle on the smaller digest, so that all VMs agree; the error then
// is a *RevisionConflictError also when the offered text was taken.
func (o *RevisionTracker) Offer(text []byte) (bool, error) {
	if o.current != nil && bytes.Equal(text, o.current.Document) {
		return false, nil
	}
	c, err := Parse(text)
	if err != nil {
		return false, err
	}
	if o.current == nil || c.Revision > o.current.Revision {
		o.current = c
		return true, nil
	}
	if c.Revision < o.current.Revision {
		return false, &StaleRevisionError{Revision: c.Revision, Accepted: o.current.Revision}
	}
	switch bytes.Compare(c.Digest[:], o.current.Digest[:]) {
	case -1:
		dropped := o.current.Digest
		o.current = c
		return true, &RevisionConflictError{Revision: c.Revision, Kept: c.Digest, Dropped: dropped}
	default:
		return false, &RevisionConflictError{Revision: c.Revision, Kept: o.current.Digest, Dropped: c.Digest}
	}
}

// Behind reports whether a peer that announces revision and digest has a text to fetch.
func (o *RevisionTracker) Behind(revision uint64, digest Digest) bool {
	if o.current == nil {
		return revision > 0
	}
	if revision != o.current.Revision {
		return revision > o.current.Revision
	}
	return bytes.Compare(digest[:], o.current.Digest[:]) < 0
}
