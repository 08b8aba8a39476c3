package load

import (
	"context"
	"fmt"
	"time"

	"github.com/anvilfork/anvilfork/client"
)

const readyPollInterval = 50 * time.Millisecond

// NotReadyError reports a fleet that gave no answer of full coverage within the
// timeout. Last is the error of the last query.
type NotReadyError struct{ Last error }

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("the fleet gave no answer with full coverage: %v", e.Last)
}

// WaitReady waits until each service of the first workspace in sources answers with
// full coverage. The sources of a workspace must be adjacent.
func WaitReady(ctx context.Context, sources []Source, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for i := range sources {
		s := &sources[i]
		if s.Workspace != sources[0].Workspace {
			break
		}
		for {
			_, err := s.Client.Query(ctx, client.Request{Service: s.Service, Body: s.Body(0), LeastCoverage: 1, Deadline: s.Deadline})
			if err == nil {
				break
			}
			if time.Now().After(deadline) {
				return &NotReadyError{Last: err}
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}
