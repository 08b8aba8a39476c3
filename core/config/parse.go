package config

import (
	"bytes"
	"crypto/sha256"
	"fmt"

	"github.com/anvilfork/anvilfork/core/config/strict"
)

// MaxDocumentBytes is the maximum size of a document: the configuration service
// stores no larger value.
const MaxDocumentBytes = 1 << 20

var schema = strict.Compile[Config]()

// Schema returns the schema of configuration documents, for their reference page.
func Schema() *strict.Schema { return schema }

// Violation is one validation error of a document.
type Violation = strict.Violation

// InvalidDocumentError lists all violations found in a document.
type InvalidDocumentError struct {
	Violations []Violation
}

// Error implements error.
func (e *InvalidDocumentError) Error() string { return strict.FormatViolations(e.Violations) }

// Parse decodes and validates a document. Its only error is an
// *InvalidDocumentError. The result holds a copy of the document and does not
// alias the argument.
func Parse(document []byte) (*Config, error) {
	if len(document) > MaxDocumentBytes {
		return nil, &InvalidDocumentError{Violations: []Violation{{
			Line: 1, Value: fmt.Sprintf("%d bytes", len(document)),
			Reason: fmt.Sprintf("is larger than the %d bytes that the configuration service holds", MaxDocumentBytes),
		}}}
	}
	c := &Config{Document: bytes.Clone(document), Digest: sha256.Sum256(document)}
	report := schema.Decode(c.Document, c)
	validate(c, report)
	if violations := report.Violations(); len(violations) > 0 {
		return nil, &InvalidDocumentError{Violations: violations}
	}
	return c, nil
}
