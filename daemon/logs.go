package daemon

import (
	"bytes"
	"time"

	"github.com/rs/zerolog"
)

// Rate limit of log lines that outsiders can trigger at will, such as those
// about connections with bad certificates.
const (
	maxEventLines    = 5
	eventLinesPeriod = 10 * time.Second
)

// limitEventLines returns a logger that drops lines beyond maxEventLines in
// eventLinesPeriod.
func limitEventLines(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: maxEventLines, Period: eventLinesPeriod})
}

// Rate limit of log lines about single requests.
const (
	maxRequestLines    = 400
	requestLinesPeriod = time.Second
)

// limitRequestLines returns a logger that drops lines beyond maxRequestLines in
// requestLinesPeriod.
func limitRequestLines(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: maxRequestLines, Period: requestLinesPeriod})
}

// handshakePrefix is how net/http begins its log lines about failed TLS handshakes.
var handshakePrefix = []byte("http: TLS handshake error")

// httpServerLog converts the error log lines of an HTTP server into log events.
type httpServerLog struct{ log zerolog.Logger }

// Write implements io.Writer. net/http writes one line with each call.
func (s *httpServerLog) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	if bytes.HasPrefix(line, handshakePrefix) {
		s.log.Warn().Str("event", "connection_refused").Str("reason", text).Msg("TLS handshake failed")
		return len(line), nil
	}
	s.log.Error().Str("event", "server_error").Str("reason", text).Msg("HTTP server reported an error")
	return len(line), nil
}
