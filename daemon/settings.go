package daemon

import (
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/anvilfork/anvilfork/core/config/strict"
)

// Settings are the settings of one process, read from its TOML file. The struct
// tags define the schema of the file: see package strict.
type Settings struct {
	VM           string `toml:"vm" limits:"name"`                      // name of the VM in the platform's list
	Zone         string `toml:"zone" limits:"name"`                    // availability zone
	PeerListen   string `toml:"peer_listen"`                           // IP:port for other VMs
	PeerURL      string `toml:"peer_url"`                              // base URL by which other VMs reach this one
	CallerListen string `toml:"caller_listen"`                         // IP:port for callers
	CallerURL    string `toml:"caller_url"`                            // base URL by which callers reach this VM
	AdminListen  string `toml:"admin_listen" default:"127.0.0.1:7400"` // IP:port for operators
	PlatformURL  string `toml:"platform_url"`                          // base URL of the configuration service
	AdminKey     string `toml:"admin_key" default:""`                  // key that operators send as a bearer token; empty allows only loopback

	CallerTLSCert string `toml:"caller_tls_cert" default:""` // PEM file with the certificate shown to callers; empty means plain HTTP
	CallerTLSKey  string `toml:"caller_tls_key" default:""`  // PEM file with its key
	AdminTLSCert  string `toml:"admin_tls_cert" default:""`  // PEM file with the certificate shown to operators; empty means plain HTTP
	AdminTLSKey   string `toml:"admin_tls_key" default:""`   // PEM file with its key
	PeerTLSCert   string `toml:"peer_tls_cert" default:""`   // PEM file with the certificate shown to other VMs; empty means plain HTTP
	PeerTLSKey    string `toml:"peer_tls_key" default:""`    // PEM file with its key
	PeerTLSCA     string `toml:"peer_tls_ca" default:""`     // PEM file with the certificates that sign those of other VMs

	LogLevel string `toml:"log_level" default:"info"` // debug, info, warn or error
}

const (
	minAdminKeyBytes = 16
	maxAdminKeyBytes = 256
)

var settingsSchema = strict.Compile[Settings]()

// SettingsSchema returns the schema of the settings file, against which its
// documentation is tested.
func SettingsSchema() *strict.Schema { return settingsSchema }

// SettingsError lists all violations found in a settings file.
type SettingsError struct {
	Path       string
	Violations []strict.Violation
}

// Error implements error.
func (e *SettingsError) Error() string {
	return "settings " + e.Path + ":\n" + strict.FormatViolations(e.Violations)
}

// ReadSettings reads and validates a settings file. The error is a
// *SettingsError when the file can be read but is invalid.
func ReadSettings(path string) (Settings, error) {
	var s Settings
	document, err := os.ReadFile(path)
	if err != nil {
		return s, errors.Wrap(err, "settings")
	}
	report := settingsSchema.Decode(document, &s)
	s.validate(report)
	if violations := report.Violations(); len(violations) > 0 {
		return Settings{}, errors.WithStack(&SettingsError{Path: path, Violations: violations})
	}
	return s, nil
}

// validate checks the rules that the schema does not express.
func (s *Settings) validate(r *strict.Report) {
	for _, a := range []struct{ field, value string }{
		{"peer_listen", s.PeerListen}, {"caller_listen", s.CallerListen}, {"admin_listen", s.AdminListen},
	} {
		addViolation(r, a.field, a.value, listenAddressViolation(a.value))
	}
	for _, u := range []struct{ field, value string }{
		{"peer_url", s.PeerURL}, {"caller_url", s.CallerURL}, {"platform_url", s.PlatformURL},
	} {
		addViolation(r, u.field, u.value, urlViolation(u.value))
	}
	addViolation(r, "log_level", s.LogLevel, logLevelViolation(s.LogLevel))
	s.checkAdminKey(r)
	s.checkTLS(r)
	s.checkDistinctListeners(r)
}

// checkAdminKey rejects a key that is short enough to guess or longer than
// maxAdminKeyBytes. On an address other than loopback it also rejects a missing
// key, without which every operator would be refused, and plain HTTP, which would
// send the key in the clear. No message shows the key.
func (s *Settings) checkAdminKey(r *strict.Report) {
	n := len(s.AdminKey)
	if n > 0 && (n < minAdminKeyBytes || n > maxAdminKeyBytes) {
		addViolation(r, "admin_key", "", "must be empty or have 16 to 256 characters")
	}
	a, err := netip.ParseAddrPort(s.AdminListen)
	if err != nil || a.Addr().IsLoopback() {
		return
	}
	if n == 0 {
		addViolation(r, "admin_key", "", "is missing, but admin_listen is no loopback address")
	} else if s.AdminTLSCert == "" {
		addViolation(r, "admin_tls_cert", "", "is missing, but admin_listen is no loopback address, so that the admin key would be sent in the clear")
	}
}

// checkTLS rejects incomplete TLS identities, and URLs whose scheme does not match
// the identity. No setting holds the URL of the admin interface.
func (s *Settings) checkTLS(r *strict.Report) {
	for _, id := range []struct {
		names, values []string
		urlField, url string
	}{
		{[]string{"caller_tls_cert", "caller_tls_key"}, []string{s.CallerTLSCert, s.CallerTLSKey}, "caller_url", s.CallerURL},
		{[]string{"admin_tls_cert", "admin_tls_key"}, []string{s.AdminTLSCert, s.AdminTLSKey}, "", ""},
		{[]string{"peer_tls_cert", "peer_tls_key", "peer_tls_ca"}, []string{s.PeerTLSCert, s.PeerTLSKey, s.PeerTLSCA}, "peer_url", s.PeerURL},
	} {
		configured := strings.Join(id.values, "") != ""
		for i, value := range id.values {
			if configured && value == "" {
				addViolation(r, id.names[i], "", "is missing, but "+strings.Join(allExcept(id.names, i), " or ")+" is set")
			}
		}
		if secure := strings.HasPrefix(id.url, "https://"); id.urlField != "" && secure != configured {
			addViolation(r, id.urlField, id.url, "must start with "+urlScheme(configured)+"://, as "+id.names[0]+" says")
		}
	}
}

// allExcept returns a copy without the element at index i.
func allExcept(all []string, i int) []string { return slices.Delete(slices.Clone(all), i, i+1) }

func urlScheme(secure bool) string {
	if secure {
		return "https"
	}
	return "http"
}

// addViolation does nothing when reason is empty or when the schema has rejected
// the field already.
func addViolation(r *strict.Report, field, value, reason string) {
	if reason != "" && r.Valid(field) {
		r.Add(field, value, reason)
	}
}

// checkDistinctListeners rejects two listeners on one address, of which the
// second could not start.
func (s *Settings) checkDistinctListeners(r *strict.Report) {
	listeners := []struct{ field, value string }{
		{"peer_listen", s.PeerListen}, {"caller_listen", s.CallerListen}, {"admin_listen", s.AdminListen},
	}
	for i, l := range listeners {
		for _, earlier := range listeners[:i] {
			if l.value == earlier.value {
				addViolation(r, l.field, l.value, "is also "+earlier.field)
			}
		}
	}
}

// listenAddressViolation returns why a listen address is invalid, or "". Host
// names and port 0 are rejected, because the settings must name the exact address.
func listenAddressViolation(text string) string {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return "must be IP:port, with an IP address and a port from 1 to 65535"
	}
	return ""
}

// urlViolation returns why a base URL is invalid, or "". Paths are appended to
// the URL, so it must end after the port.
func urlViolation(text string) string {
	u, err := url.Parse(text)
	switch {
	case err != nil || u.Scheme != "http" && u.Scheme != "https":
		return "must be a URL that starts with http:// or https://"
	case u.User != nil || u.Path != "" || u.RawQuery != "" || u.Fragment != "" || u.ForceQuery:
		return "must be a base URL without user, path, query and fragment"
	case u.Opaque != "" || u.Hostname() == "":
		return "must name a host"
	}
	a, err := netip.ParseAddrPort(u.Host)
	if err != nil || a.Port() == 0 {
		return "must name its host as IP:port"
	}
	if a.Addr().IsUnspecified() {
		return "must name an address that others can reach"
	}
	return ""
}

// logLevels are the levels that operators may set. They exclude those that
// silence the process.
var logLevels = []zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel}

// logLevelViolation returns why a log level is invalid, or "".
func logLevelViolation(text string) string {
	for _, l := range logLevels {
		if l.String() == text {
			return ""
		}
	}
	return "must be debug, info, warn or error"
}
