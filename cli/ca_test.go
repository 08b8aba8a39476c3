package cli_test

import (
	"encoding/pem"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/cli"
)

// Guards against a verb that ignores -ca, and against one that trusts any
// certificate.
func TestCA(t *testing.T) {
	const body = `{"control":{"vm":{"id":"vm1"}},"vms":[{"id":"vm1","report":{"serving":true,"revision":3}}],` +
		`"addresses":[{"url":"http://127.0.0.1:1"}],"ttl_ms":1000}`
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, body) }))
	t.Cleanup(server.Close)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	ca := writeFile(t, string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})))
	empty := writeFile(t, "no certificate")
	for _, c := range []struct {
		args    []string
		trusted string // output that shows that the VM answered
	}{
		{[]string{"status", "-url", server.URL}, "vm1"},
		{[]string{"dump", "-url", server.URL}, "vm1"},
		{[]string{"wait", "-url", server.URL, "-timeout", "500ms", "3"}, "1 of 1 VMs have revision 3"},
		{[]string{"query", "-url", server.URL, "stock", "x"}, "ran_answer_lost"},
	} {
		t.Run(c.args[0], func(t *testing.T) {
			with := func(path string) result {
				return runCLI(append([]string{c.args[0], "-ca", path}, c.args[1:]...)...)
			}
			r := with(ca)
			assertContains(t, r.stdout+r.stderr, []string{c.trusted})
			r = runCLI(c.args...)
			assert.Equal(t, r.code, cli.ExitFailed)
			assertContains(t, r.stderr, []string{"certificate"})
			r = with(empty)
			assert.Equal(t, r.code, cli.ExitUsage)
			assertContains(t, r.stderr, []string{"CA file " + empty + ": holds no certificate"})
		})
	}
}

// Guards against an admin key that crosses the network without TLS.
func TestAdminKeyNeedsTLS(t *testing.T) {
	t.Setenv("ANVILFORK_ADMIN_KEY", "an-admin-key-of-the-test")
	for _, verb := range [][]string{{"status"}, {"dump"}, {"wait", "1"}} {
		r := runCLI(append(verb[:1:1], append([]string{"-url", "http://192.0.2.1:7400"}, verb[1:]...)...)...)
		assert.Equal(t, r.code, cli.ExitUsage)
		assertContains(t, r.stderr, []string{"must start with https://, as the admin key would be sent in the clear"})
	}
}
