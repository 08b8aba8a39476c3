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

// Settings are the settings of one process, read from its TOML file. The tags
// are the schema of the file: see package strict.
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

// SettingsSchema returns the schema of the settings file, for its documentation.
func SettingsSchema() *strict.Schema { return settingsSchema }

// SettingsError lists every mistake found in a settings file.
type SettingsError struct {
	Path     string
	Mistakes []strict.Violation
}

// Error implements error.
func (e *SettingsError) Error() string {
	return "settings " + e.Path + ":\n" + strict.Join(e.Mistakes)
}

// ReadSettings reads and checks a settings file. The error is a *SettingsError
// when the file could be read.
func ReadSettings(path string) (Settings, error) {
	var s Settings
	text, err := os.ReadFile(path)
	if err != nil {
		return s, errors.Wrap(err, "settings")
	}
	report := settingsSchema.Decode(text, &s)
	s.check(report)
	if mistakes := report.Violations(); len(mistakes) > 0 {
		return Settings{}, errors.WithStack(&SettingsError{Path: path, Mistakes: mistakes})
	}
	return s, nil
}

// check checks the values that the schema does not.
func (s *Settings) check(r *strict.Report) {
	for _, a := range []struct{ field, value string }{
		{"peer_listen", s.PeerListen}, {"caller_listen", s.CallerListen}, {"admin_listen", s.AdminListen},
	} {
		checkSetting(r, a.field, a.value, listenReason(a.value))
	}
	for _, u := range []struct{ field, value string }{
		{"peer_url", s.PeerURL}, {"caller_url", s.CallerURL}, {"platform_url", s.PlatformURL},
	} {
		checkSetting(r, u.field, u.value, urlReason(u.value))
	}
	checkSetting(r, "log_level", s.LogLevel, levelReason(s.LogLevel))
	s.checkAdminKey(r)
	s.checkTLS(r)
	s.checkDoubled(r)
}

// checkAdminKey refuses a guessable key, a missing one where operators would be
// refused for lack of it, and one that would cross the network in the clear. No
// message shows the key.
func (s *Settings) checkAdminKey(r *strict.Report) {
	n := len(s.AdminKey)
	if n > 0 && (n < minAdminKeyBytes || n > maxAdminKeyBytes) {
		checkSetting(r, "admin_key", "", "must be empty or have 16 to 256 characters")
	}
	a, err := netip.ParseAddrPort(s.AdminListen)
	if err != nil || a.Addr().IsLoopback() {
		return
	}
	if n == 0 {
		checkSetting(r, "admin_key", "", "is missing, but admin_listen is no loopback address")
	} else if s.AdminTLSCert == "" {
		checkSetting(r, "admin_tls_cert", "", "is missing, but admin_listen is no loopback address, so that the admin key would be sent in the clear")
	}
}

// checkTLS refuses an identity with parts missing, and URLs that do not fit. No
// setting holds the URL of the admin interface.
func (s *Settings) checkTLS(r *strict.Report) {
	for _, id := range []struct {
		files, values []string
		urlField, url string
	}{
		{[]string{"caller_tls_cert", "caller_tls_key"}, []string{s.CallerTLSCert, s.CallerTLSKey}, "caller_url", s.CallerURL},
		{[]string{"admin_tls_cert", "admin_tls_key"}, []string{s.AdminTLSCert, s.AdminTLSKey}, "", ""},
		{[]string{"peer_tls_cert", "peer_tls_key", "peer_tls_ca"}, []string{s.PeerTLSCert, s.PeerTLSKey, s.PeerTLSCA}, "peer_url", s.PeerURL},
	} {
		used := strings.Join(id.values, "") != ""
		for i, value := range id.values {
			if used && value == "" {
				checkSetting(r, id.files[i], "", "is missing, but "+strings.Join(others(id.files, i), " or ")+" is set")
			}
		}
		if secure := strings.HasPrefix(id.url, "https://"); id.urlField != "" && secure != used {
			checkSetting(r, id.urlField, id.url, "must start with "+schemeOf(used)+"://, as "+id.files[0]+" says")
		}
	}
}

func others(all []string, i int) []string { return slices.Delete(slices.Clone(all), i, i+1) }

func schemeOf(secure bool) string {
	if secure {
		return "https"
	}
	return "http"
}

func checkSetting(r *strict.Report, field, value, reason string) {
	if reason != "" && r.Valid(field) {
		r.Add(field, value, reason)
	}
}

// checkDoubled refuses two listeners on one address: the second could not start.
func (s *Settings) checkDoubled(r *strict.Report) {
	listeners := []struct{ field, value string }{
		{"peer_listen", s.PeerListen}, {"caller_listen", s.CallerListen}, {"admin_listen", s.AdminListen},
	}
	for i, l := range listeners {
		for _, earlier := range listeners[:i] {
			if l.value == earlier.value {
				checkSetting(r, l.field, l.value, "is also "+earlier.field)
			}
		}
	}
}

// listenReason returns why a listening address cannot be used, or "". A process
// learns its addresses from its settings, so host names and port 0 are refused.
func listenReason(text string) string {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return "must be IP:port, with an IP address and a port from 1 to 65535"
	}
	return ""
}

// urlReason returns why a base URL cannot be used, or "". Paths are appended to
// it, so that it ends after the port.
func urlReason(text string) string {
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

// logLevels are the levels that the settings may name.
var logLevels = []zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel}

func levelReason(text string) string {
	for _, l := range logLevels {
		if l.String() == text {
			return ""
		}
	}
	return "must be debug, info, warn or error"
}
