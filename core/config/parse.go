package config

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"github.com/anvilfork/anvilfork/core/config/strict"
)

// MaxDocumentBytes is the size of the largest value that the configuration service holds.
const MaxDocumentBytes = 1 << 20

var schema = strict.Compile[Config]()

// Schema returns the schema of the text, for its documentation.
func Schema() *strict.Schema { return schema }

// Violation is one problem in a text.
type Violation = strict.Violation

// InvalidDocumentError lists every mistake found in a text.
type InvalidDocumentError struct {
	Violations []Violation
}

// Error implements error.
func (e *InvalidDocumentError) Error() string { return strict.Join(e.Violations) }

// Parse reads and validates a text. The error is an *InvalidDocumentError. The
// result holds a copy of the text and does not alias the argument.
func Parse(text []byte) (*Config, error) {
	if len(text) > MaxDocumentBytes {
		return nil, &InvalidDocumentError{Violations: []Violation{{
			Line: 1, Value: fmt.Sprintf("%d bytes", len(text)),
			Reason: fmt.Sprintf("is larger than the %d bytes that the configuration service holds", MaxDocumentBytes),
		}}}
	}
	c := &Config{Document: bytes.Clone(text), Digest: sha256.Sum256(text)}
	report := schema.Decode(c.Document, c)
	validate(c, report)
	if mistakes := report.Violations(); len(mistakes) > 0 {
		return nil, &InvalidDocumentError{Violations: mistakes}
	}
	return c, nil
}
