package daemon_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/daemon"
)

const validSettings = `vm = "entry-1"
zone = "m1"
peer_listen = "127.0.0.1:1"
peer_url = "http://127.0.0.1:1"
caller_listen = "127.0.0.1:2"
caller_url = "http://127.0.0.1:2"
platform_url = "http://127.0.0.1:4"
`

func readSettings(t *testing.T, text string) (daemon.Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return daemon.ReadSettings(path)
}

// Guards against settings that are ignored or have defaults other than the
// documented ones.
func TestReadSettings(t *testing.T) {
	s, err := readSettings(t, validSettings)
	assert.NilError(t, err)
	assert.DeepEqual(t, s, daemon.Settings{
		VM: "entry-1", Zone: "m1", PeerListen: "127.0.0.1:1", PeerURL: "http://127.0.0.1:1",
		CallerListen: "127.0.0.1:2", CallerURL: "http://127.0.0.1:2", AdminListen: "127.0.0.1:7400",
		PlatformURL: "http://127.0.0.1:4", LogLevel: "info",
	})
}

// Guards against settings with TLS on the admin interface that are rejected.
func TestSettingsAdminTLS(t *testing.T) {
	s, err := readSettings(t, validSettings+"admin_listen = \"192.0.2.1:7400\"\nadmin_key = \"sixteen letters.\"\nadmin_tls_cert = \"c.pem\"\nadmin_tls_key = \"k.pem\"\n")
	assert.NilError(t, err)
	assert.Equal(t, s.AdminTLSCert+s.AdminTLSKey, "c.pemk.pem")
}

// Guards against example settings that the daemon rejects.
func TestExampleSettings(t *testing.T) {
	_, err := daemon.ReadSettings(filepath.Join("..", "examples", "settings.toml"))
	assert.NilError(t, err)
}

// Guards against a process that starts with invalid settings, and against error
// reports that stop at the first violation.
func TestSettingsViolations(t *testing.T) {
	const base = "must be a base URL without user, path, query and fragment"
	cases := []struct {
		name, old, new string
		want           []string
	}{
		{"missing and unknown", `vm = "entry-1"`, `vn = "entry-1"`, []string{"line 1: vm: is missing", "line 1: vn: unknown field"}},
		{"name", "entry-1", "Entry 1", []string{`line 1: vm = "Entry 1": must have 1 to 64 characters out of a-z, 0-9, dash, underscore and dot`}},
		{"type", `"m1"`, "1", []string{`line 2: zone = "1": must be a string`}},
		{"host name to listen on", `"127.0.0.1:1"`, `"localhost:1"`, []string{`line 3: peer_listen = "localhost:1": must be IP:port, with an IP address and a port from 1 to 65535`}},
		{"port zero", `"127.0.0.1:1"`, `"127.0.0.1:0"`, []string{`line 3: peer_listen = "127.0.0.1:0": must be IP:port, with an IP address and a port from 1 to 65535`}},
		{"one address twice", `"127.0.0.1:2"`, `"127.0.0.1:1"`, []string{`line 5: caller_listen = "127.0.0.1:1": is also peer_listen`}},
		{"scheme", "http://127.0.0.1:4", "ftp://127.0.0.1:4", []string{`line 7: platform_url = "ftp://127.0.0.1:4": must be a URL that starts with http:// or https://`}},
		{"path", "http://127.0.0.1:4", "http://127.0.0.1:4/v1", []string{`line 7: platform_url = "http://127.0.0.1:4/v1": ` + base}},
		{"trailing slash", "http://127.0.0.1:4", "http://127.0.0.1:4/", []string{`line 7: platform_url = "http://127.0.0.1:4/": ` + base}},
		{"host name", "http://127.0.0.1:4", "http://config:4", []string{`line 7: platform_url = "http://config:4": must name its host as IP:port`}},
		{"no port", "http://127.0.0.1:4", "http://127.0.0.1", []string{`line 7: platform_url = "http://127.0.0.1": must name its host as IP:port`}},
		{"unreachable address", "http://127.0.0.1:2", "http://0.0.0.0:2", []string{`line 6: caller_url = "http://0.0.0.0:2": must name an address that others can reach`}},
		{"log level", `zone = "m1"`, "zone = \"m1\"\nlog_level = \"loud\"", []string{`line 3: log_level = "loud": must be debug, info, warn or error`}},
		{"short admin key", `zone = "m1"`, "zone = \"m1\"\nadmin_key = \"fifteen letters\"", []string{"line 3: admin_key: must be empty or have 16 to 256 characters"}},
		{"admin key of another type", `zone = "m1"`, "zone = \"m1\"\nadmin_key = 1", []string{`line 3: admin_key = "1": must be a string`}},
		{"admin open to others without a key", `zone = "m1"`, "zone = \"m1\"\nadmin_listen = \"192.0.2.1:7400\"", []string{"line 1: admin_key: is missing, but admin_listen is no loopback address"}},
		{"admin key in the clear", `zone = "m1"`, "zone = \"m1\"\nadmin_listen = \"192.0.2.1:7400\"\nadmin_key = \"sixteen letters.\"", []string{
			"line 1: admin_tls_cert: is missing, but admin_listen is no loopback address, so that the admin key would be sent in the clear"}},
		{"half an admin identity", `zone = "m1"`, "zone = \"m1\"\nadmin_tls_key = \"k.pem\"", []string{"line 1: admin_tls_cert: is missing, but admin_tls_key is set"}},
		{"half a caller identity", `zone = "m1"`, "zone = \"m1\"\ncaller_tls_cert = \"c.pem\"", []string{
			"line 1: caller_tls_key: is missing, but caller_tls_cert is set",
			`line 7: caller_url = "http://127.0.0.1:2": must start with https://, as caller_tls_cert says`}},
		{"peer identity without CA", "peer_url = \"http:", "peer_tls_cert = \"c.pem\"\npeer_tls_key = \"k.pem\"\npeer_url = \"https:", []string{
			"line 1: peer_tls_ca: is missing, but peer_tls_cert or peer_tls_key is set"}},
		{"https without identity", "peer_url = \"http:", "peer_url = \"https:", []string{
			`line 4: peer_url = "https://127.0.0.1:1": must start with http://, as peer_tls_cert says`}},
		{"several", "peer_listen = \"127.0.0.1:1\"\npeer_url = \"http://127.0.0.1:1\"", "peer_listen = 1\npeer_url = \"\"", []string{
			`line 3: peer_listen = "1": must be a string`, `line 4: peer_url: must be a URL that starts with http:// or https://`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(validSettings, c.old))
			_, err := readSettings(t, strings.Replace(validSettings, c.old, c.new, 1))
			var settingsErr *daemon.SettingsError
			assert.Assert(t, errors.As(err, &settingsErr), "%v", err)
			var got []string
			for _, m := range settingsErr.Violations {
				got = append(got, fmt.Sprint(m))
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// Guards against a missing file that is reported as an invalid one.
func TestSettingsFileMissing(t *testing.T) {
	_, err := daemon.ReadSettings(filepath.Join(t.TempDir(), "none.toml"))
	assert.Assert(t, errors.Is(err, os.ErrNotExist))
}
