// Package gateway runs a VM on a platform where callers connect directly to the VMs
// and targets register in a store. Its tasks own the sockets and communicate by
// messages; core/mesh and core/serve make the decisions. It is given Settings and a
// Platform, whose interfaces encode the platform's protocols, and returns the
// running Gateway.
package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/mirror"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/serve"
)

// Store reads and decodes entries of the platform's store.
type Store interface {
	// Read returns all entries when after is zero. Otherwise it waits up to wait
	// for entries that changed after that revision. The error is a
	// *HistoryGoneError when the store no longer has these changes. An error that
	// comes with an answer of the store has a method StoreEra() uint64. With an
	// *EraError there is an update too, of era 0.
	Read(ctx context.Context, after uint64, wait time.Duration) (*mirror.Update, error)
	// Decode returns the change that an entry stands for, nil when the entry is
	// irrelevant to the VMs.
	Decode(e mirror.Entry) (catalog.Change, error)
}

// HistoryGoneError reports that the store does not have the changes after a revision:
// not any more, or not in its present era.
type HistoryGoneError struct {
	After uint64
	Era   uint64 // that the answer states; zero for none
}

// StoreEra returns the era that the answer states.
func (e *HistoryGoneError) StoreEra() uint64 { return e.Era }

// EraError reports an answer of the store whose era is no number.
type EraError struct{ Text string }

// Error implements error.
func (e *EraError) Error() string { return fmt.Sprintf("the store's era %q is no number", e.Text) }

// Error implements error.
func (e *HistoryGoneError) Error() string { return "the store no longer has the requested changes" }

// CallerCodec translates between callers' HTTP and requests.
type CallerCodec interface {
	// Decode reads a request and its body of at most maxBody bytes. The refusal
	// tells why the request can't be read, nil if it was read. Reading the body may
	// fail with a *MemoryError.
	Decode(r *http.Request, maxBody int64) (*serve.Request, *outcome.Refusal)
	// Timeout returns how long the caller of a request waits, zero if it does not say.
	Timeout(r *http.Request) time.Duration
	// Encode writes the answer to a request.
	Encode(w http.ResponseWriter, r *serve.Request, a *serve.Answer)
	// Pack encodes the payload of a request for another VM.
	Pack(r *serve.Request) []byte
	// Unpack decodes a payload that Pack of another VM has encoded.
	Unpack(packed []byte) (payload any, err error)
}

// TargetCodec translates between attempts and the protocol of the targets.
type TargetCodec interface {
	// Write writes the request of an attempt.
	Write(w io.Writer, a *serve.StartAttempt) error
	// Read reads an answer, of which the first byte is available, and returns how
	// the attempt ended.
	Read(r *AnswerReader, a *serve.StartAttempt) serve.AttemptDone
}

// AnswerReader reads the answers on a connection to a target. Its buffer is that of
// http1.NewReader.
type AnswerReader struct {
	*bufio.Reader
	// Reserve raises the memory of the answer that is being read to total bytes. The
	// error is a *MemoryError.
	Reserve func(total int64) error
}

// Place is the location of a caller.
type Place struct {
	Zone   string
	Region string
}

// DirectoryCodec translates the directory requests of callers, which ask for the
// addresses of VMs.
type DirectoryCodec interface {
	Path() string
	Decode(r *http.Request) Place
	Encode(w http.ResponseWriter, addresses []string, ttl time.Duration)
}

// ReadinessCodec translates the platform's readiness checks.
type ReadinessCodec interface {
	Path() string
	Encode(w http.ResponseWriter, ready bool)
}

// Platform holds the adapters to the platform that a VM runs on.
type Platform struct {
	Store     Store
	Callers   CallerCodec
	Targets   TargetCodec
	Directory DirectoryCodec
	Readiness ReadinessCodec
}
