package daemon

import (
	"context"
	"crypto/tls"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"
)

// endpointLimits are the limits that differ between endpoints. Zero means no limit.
type endpointLimits struct {
	maxConnections int           // open at a time; further ones are accepted when one closes
	writeTimeout   time.Duration // from the end of the request header to the end of the response
}

// A Go client keeps up to 64 idle connections to a VM, so that the limit for
// callers allows 128 such clients.
var (
	callerLimits = endpointLimits{maxConnections: 8192, writeTimeout: callerReadTimeout + maxCallerTimeout + 20*time.Second}
	adminLimits  = endpointLimits{maxConnections: 64, writeTimeout: 30 * time.Second}
)

// endpoint is one listening socket with its HTTP server. server is nil until serve.
type endpoint struct {
	listener net.Listener
	server   *http.Server
	scheme   string
	limits   endpointLimits
}

// listen opens a listening socket, with TLS unless keys is nil. The error is a
// *ListenError.
func listen(address string, keys *keyStore, limits endpointLimits) (*endpoint, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Reason: err.Error()}
	}
	if limits.maxConnections > 0 {
		l = netutil.LimitListener(l, limits.maxConnections)
	}
	if keys == nil {
		return &endpoint{listener: l, scheme: "http", limits: limits}, nil
	}
	return &endpoint{listener: tls.NewListener(l, keys.serverConfig()), scheme: "https", limits: limits}, nil
}

func (e *endpoint) url() string { return e.scheme + "://" + e.listener.Addr().String() }

// serve starts to answer requests and returns; it ends with close or drain.
// Errors of the HTTP server, such as failed TLS handshakes, are logged.
func (e *endpoint) serve(name string, h http.Handler, log zerolog.Logger) {
	e.server = &http.Server{
		Handler: h, ReadHeaderTimeout: callerReadHeaderTimeout, ReadTimeout: callerReadTimeout,
		WriteTimeout: e.limits.writeTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: stdlog.New(&httpServerLog{log: limitEventLines(log.With().Str("endpoint", name).Logger())}, "", 0),
	}
	go e.server.Serve(e.listener)
}

// drain stops accepting connections, closes idle ones and waits for the requests
// in flight until ctx ends.
func (e *endpoint) drain(ctx context.Context) { e.server.Shutdown(ctx) }

// close closes the socket and all connections. A nil endpoint is allowed.
func (e *endpoint) close() {
	switch {
	case e == nil:
	case e.server != nil:
		e.server.Close()
	default:
		e.listener.Close()
	}
}
