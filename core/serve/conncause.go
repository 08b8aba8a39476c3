package serve

// ConnCause says why a connection to a target is opened.
type ConnCause uint8

// The causes of new connections.
const (
	ConnSpare     ConnCause = iota + 1 // kept ahead of need
	ConnQueued                         // work is queued for the service
	ConnLoss                           // the one before was lost or could not be opened
	ConnIdle                           // the one before was closed by either side as it was idle
	ConnAbandoned                      // the one before was closed to stop an attempt that was no longer needed
	ConnInactive                       // this VM keeps no connections, as callers are not sent to it
)

var connCauseNames = [...]string{"", "spare", "queued", "loss", "idle", "abandoned", "inactive"}

// String returns the name used in metrics.
func (c ConnCause) String() string { return connCauseNames[c] }

// connCause returns why a connection to the target is opened now. The end of an
// earlier connection counts before the work that needs a new one.
func (e *Engine) connCause(t *target) ConnCause {
	switch {
	case !e.view.IsActive():
		return ConnInactive
	case t.closedBy != 0:
		return t.closedBy
	case len(t.service.queue) > 0:
		return ConnQueued
	}
	return ConnSpare
}
