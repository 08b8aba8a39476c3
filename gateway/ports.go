// Package gateway runs a VM on a platform where callers connect to the VMs
// themselves and targets register in a store. Its tasks own the sockets, and
// talk by messages; core/mesh and core/serve decide. What is spoken to the
// outside is behind the interfaces of this file.
package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/anvilfork/anvilfork/core/catalog"
	"github.com/anvilfork/anvilfork/core/mirror"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/serve"
)

// Store reads the platform's store.
type Store interface {
	// Read returns all entries when after is zero, and otherwise waits for
	// entries that changed after that revision. The error is a
	// *HistoryGoneError when the store has dropped them.
	Read(ctx context.Context, after uint64, wait time.Duration) (*mirror.Update, error)
	// Decode returns what an entry says; nil when it concerns nobody here.
	Decode(e mirror.Entry) (catalog.Change, error)
}

// HistoryGoneError says that the changes after a revision are not available.
type HistoryGoneError struct{ After uint64 }

// Error implements error.
func (e *HistoryGoneError) Error() string { return "the store has dropped the changes asked for" }

// CallerCodec translates between callers' HTTP and requests.
type CallerCodec interface {
	// Decode reads a request whole. The refusal says why that is impossible.
	Decode(r *http.Request, maxBody int64) (*serve.Request, *outcome.Refusal)
	Encode(w http.ResponseWriter, r *serve.Request, a *serve.Answer)
	// Pack encodes the payload of a request for another VM.
	Pack(r *serve.Request) []byte
	// Unpack decodes what Pack of another VM has encoded.
	Unpack(packed []byte) (payload any, err error)
}

// TargetCodec translates between attempts and what targets speak.
type TargetCodec interface {
	// Write sends a request.
	Write(w io.Writer, a *serve.StartAttempt) error
	// Read returns how the attempt ended, once the first byte of an answer is there.
	Read(br *bufio.Reader, a *serve.StartAttempt) serve.AttemptDone
}

// Place is where a caller is.
type Place struct {
	Zone   string
	Region string
}

// DirectoryCodec translates the questions of callers that ask where to connect.
type DirectoryCodec interface {
	Path() string
	Decode(r *http.Request) Place
	Encode(w http.ResponseWriter, addresses []string, ttl time.Duration)
}

// ReadinessCodec translates the platform's question whether a VM is ready.
type ReadinessCodec interface {
	Path() string
	Encode(w http.ResponseWriter, ready bool)
}

// Platform is what a VM needs of the platform that it runs on.
type Platform struct {
	Store     Store
	Callers   CallerCodec
	Targets   TargetCodec
	Directory DirectoryCodec
	Readiness ReadinessCodec
}
