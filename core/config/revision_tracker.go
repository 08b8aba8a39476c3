package config

import (
	"bytes"
	"fmt"
)

// StaleRevisionError reports a document that is older than the accepted one.
type StaleRevisionError struct {
	Revision uint64
	Accepted uint64
}

// Error implements error.
func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("revision %d is older than the accepted revision %d", e.Revision, e.Accepted)
}

// RevisionConflictError reports two documents with the same revision and
// different content.
type RevisionConflictError struct {
	Revision uint64
	Kept     Digest
	Dropped  Digest
}

// Error implements error.
func (e *RevisionConflictError) Error() string {
	return fmt.Sprintf("revision %d exists with two contents: kept %.12s, dropped %.12s", e.Revision, e.Kept, e.Dropped)
}

// RevisionTracker keeps the newest valid configuration that it was offered. The
// zero value has none.
type RevisionTracker struct {
	current *Config
}

// Current returns the accepted configuration, nil if there is none.
func (t *RevisionTracker) Current() *Config { return t.current }

// Offer parses a document and accepts it if it is newer than the current one. It
// reports whether the current configuration changed. Of two documents with the
// same revision the one with the smaller digest wins, so that all VMs converge;
// the error is then a *RevisionConflictError, even if the offered document was
// accepted. An invalid document gives an *InvalidDocumentError, an older one a
// *StaleRevisionError.
func (t *RevisionTracker) Offer(document []byte) (bool, error) {
	if t.current != nil && bytes.Equal(document, t.current.Document) {
		return false, nil
	}
	c, err := Parse(document)
	if err != nil {
		return false, err
	}
	if t.current == nil || c.Revision > t.current.Revision {
		t.current = c
		return true, nil
	}
	if c.Revision < t.current.Revision {
		return false, &StaleRevisionError{Revision: c.Revision, Accepted: t.current.Revision}
	}
	switch bytes.Compare(c.Digest[:], t.current.Digest[:]) {
	case -1:
		dropped := t.current.Digest
		t.current = c
		return true, &RevisionConflictError{Revision: c.Revision, Kept: c.Digest, Dropped: dropped}
	default:
		return false, &RevisionConflictError{Revision: c.Revision, Kept: t.current.Digest, Dropped: c.Digest}
	}
}

// IsBehind reports whether a peer that announces revision and digest has a document
// that Offer would prefer to the current one.
func (t *RevisionTracker) IsBehind(revision uint64, digest Digest) bool {
	if t.current == nil {
		return revision > 0
	}
	if revision != t.current.Revision {
		return revision > t.current.Revision
	}
	return bytes.Compare(digest[:], t.current.Digest[:]) < 0
}
