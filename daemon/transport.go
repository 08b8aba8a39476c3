package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"github.com/anvilfork/anvilfork/internal/http1"
)

const (
	peerDialTimeout = 200 * time.Millisecond
	peerIdleConns   = 16
	peerIdleTimeout = 30 * time.Second // below the server's, so that the server rarely closes a connection during a call
)

// dialError is a failure to connect: nothing was sent to the other side.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// peerDialer opens connections to other VMs.
type peerDialer struct {
	tcp  net.Dialer
	keys *keyStore // nil for plain HTTP
	log  zerolog.Logger
}

func newPeerDialer(keys *keyStore, log zerolog.Logger) *peerDialer {
	return &peerDialer{tcp: net.Dialer{Timeout: peerDialTimeout}, keys: keys, log: limitEventLines(log)}
}

// transport returns a transport for connections to other VMs. It uses HTTP/1.1
// also over TLS: a call without an answer must close its connection, which
// HTTP/2 would keep open because other calls share it.
func (d *peerDialer) transport() *http1.Transport {
	t := http1.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: peerIdleConns,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,
		TLSNextProto:        map[string]func(string, *tls.Conn) http.RoundTripper{},
		DialContext:         d.dial,
	})
	if d.keys == nil {
		return t
	}
	t.Base.DialTLSContext = d.dialTLS
	t.Base.DialContext = d.rejectPlaintext
	return t
}

func (d *peerDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.tcp.DialContext(ctx, network, address)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return conn, nil
}

func (d *peerDialer) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tlsConn, err := d.keys.clientHandshake(ctx, conn, address)
	if err != nil {
		d.log.Warn().Str("event", "peer_refused").Str("address", address).Err(err).Msg("TLS handshake with another VM failed")
		return nil, &dialError{err: err}
	}
	return tlsConn, nil
}

// PlainPeerError reports a VM that is listed with an http:// URL although this
// VM uses mutual TLS.
type PlainPeerError struct{ Address string }

// Error implements error.
func (e *PlainPeerError) Error() string { return "VM at " + e.Address + " is listed without TLS" }

// rejectPlaintext refuses connections without TLS, so that no peer message is
// sent in the clear.
func (d *peerDialer) rejectPlaintext(_ context.Context, _, address string) (net.Conn, error) {
	err := &PlainPeerError{Address: address}
	d.log.Warn().Str("event", "peer_refused").Str("address", address).Err(err).Msg("another VM is listed without TLS, no connection is opened")
	return nil, &dialError{err: err}
}

// sendFailure classifies a failed Deliver call by what is known about its effect.
type sendFailure int

const (
	maybeDelivered sendFailure = iota // the other VM may have processed the batch
	notDelivered
	senderUnreachable // not delivered: the other VM cannot reach this one with the answer
)

// classifySendError classifies the error of a Deliver call.
func classifySendError(err error) sendFailure {
	var twirpErr twirp.Error
	switch {
	case errors.As(err, &twirpErr) && twirpErr.Code() == twirp.FailedPrecondition:
		return senderUnreachable
	case isUndelivered(err):
		return notDelivered
	}
	return maybeDelivered
}

// isUndelivered reports whether a failed Deliver call certainly had no effect:
// no connection was made, or the other side refused the whole batch.
func isUndelivered(err error) bool {
	var dialErr *dialError
	if errors.As(err, &dialErr) {
		return true
	}
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) {
		return false
	}
	switch twirpErr.Code() {
	case twirp.InvalidArgument, twirp.Malformed, twirp.ResourceExhausted, twirp.FailedPrecondition:
		return true
	}
	return false
}
