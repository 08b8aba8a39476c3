package daemon

import (
	"bytes"
	"time"

	"github.com/rs/zerolog"
)

// Bound on the lines about what others can cause at will, such as connections
// with bad certificates.
const (
	limitedLines  = 5
	limitedPeriod = 10 * time.Second
)

// limited returns a logger that drops lines beyond limitedLines in limitedPeriod.
func limited(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: limitedLines, Period: limitedPeriod})
}

// Bound on the lines about single requests.
const (
	requestLines  = 400
	requestPeriod = time.Second
)

// aboutRequests returns a logger that drops lines beyond requestLines in requestPeriod.
func aboutRequests(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: requestLines, Period: requestPeriod})
}

// handshakePrefix starts the lines of net/http about failed TLS handshakes.
var handshakePrefix = []byte("http: TLS handshake error")

// serverLog turns the lines that an HTTP server reports into events.
type serverLog struct{ log zerolog.Logger }

// Write implements io.Writer; net/http writes one line a call.
func (s *serverLog) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	if bytes.HasPrefix(line, handshakePrefix) {
		s.log.Warn().Str("event", "connection_refused").Str("reason", text).Msg("TLS handshake failed")
		return len(line), nil
	}
	s.log.Error().Str("event", "server_error").Str("reason", text).Msg("HTTP server reported an error")
	return len(line), nil
}
