package cli_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/cli"
)

const answerBody = `{"request_id":"0af1","index_version":7,"partition_map":3,"coverage":{"groups":2,"answered":1,"missing":["g1"]},"parts":[{"group":"g0","body":"bWF0"}]}`

// fakeVM starts a server that answers each query with the status and body, and
// records the last query in got.
func fakeVM(t *testing.T, status int, body string) (url string, got *http.Request) {
	t.Helper()
	got = new(http.Request)
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"addresses":[{"url":%q,"zone":"a"}],"ttl_ms":1000}`, server.URL)
	})
	mux.HandleFunc("POST /v1/services/mats/query", func(w http.ResponseWriter, r *http.Request) {
		*got = *r.Clone(r.Context())
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	})
	return server.URL, got
}

// Guards against flags and keys that do not reach the VM, and against an answer
// that is printed without its missing shards.
func TestQuery(t *testing.T) {
	url, got := fakeVM(t, http.StatusOK, answerBody)
	t.Setenv("ANVILFORK_KEY", "afk_test")
	r := runCLI("query", "-url", url+"/", "-least-coverage", "0.5", "-non-idempotent", "mats", "blue")
	assert.Equal(t, r.code, cli.ExitOK, "%+v", r)
	assert.Equal(t, r.stdout, "request 0af1, index version 7, partition map 3, coverage 1 of 2 groups\nmissing: g1\ng0: mat\n")
	assert.Equal(t, got.Header.Get("Authorization"), "Bearer afk_test")
	assert.Equal(t, got.Header.Get("Anvilfork-Least-Coverage"), "0.5")
	assert.Equal(t, got.Header.Get("Anvilfork-Idempotent"), "false")

	r = runCLI("query", "-url", url, "-json", "mats", "blue")
	assert.Equal(t, r.code, cli.ExitOK)
	var compact bytes.Buffer
	assert.NilError(t, json.Compact(&compact, []byte(r.stdout)))
	assert.Equal(t, compact.String(), answerBody)
}

// Guards against a refusal that is printed without its outcome: whether the request
// ran.
func TestQueryRefused(t *testing.T) {
	const noVM = `no VM of [http://127.0.0.1:1] gave an address list: Get "http://127.0.0.1:1/v1/addresses": dial tcp 127.0.0.1:1: connect: connection refused`
	const refusal = `{"code":"rate_exceeded","outcome":"not_run","reason":"workspace \"a\" is over its rate","retry_after_ms":250}`
	refusing, _ := fakeVM(t, http.StatusTooManyRequests, refusal)
	broken, _ := fakeVM(t, http.StatusInternalServerError, "")
	const unreachableURL = "http://127.0.0.1:1" // nothing listens on port 1
	cases := []struct {
		name string
		args []string
		text string
		json string
	}{
		{"refused", []string{"-url", refusing}, "refused\n  code     rate_exceeded\n  outcome  not_run\n  reason   workspace \"a\" is over its rate\n  retry    after 250ms\n", refusal},
		{"unknown", []string{"-non-idempotent", "-url", broken}, "refused\n  code     connection_lost\n  outcome  outcome_unknown\n  reason   status 500 without a refusal\n",
			`{"code":"connection_lost","outcome":"outcome_unknown","reason":"status 500 without a refusal"}`},
		{"no VM", []string{"-url", unreachableURL}, "refused\n  code     no_address\n  outcome  not_run\n  reason   " + noVM + "\n",
			fmt.Sprintf(`{"code":"no_address","outcome":"not_run","reason":%q}`, noVM)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := runCLI(append(append([]string{"query"}, c.args...), "mats", "blue")...)
			assert.Equal(t, r, result{cli.ExitFailed, "", c.text})
			r = runCLI(append(append([]string{"query", "-json"}, c.args...), "mats", "blue")...)
			var compact bytes.Buffer
			assert.NilError(t, json.Compact(&compact, []byte(r.stdout)))
			assert.Equal(t, result{r.code, compact.String(), r.stderr}, result{cli.ExitFailed, c.json, ""})
		})
	}
}

// Guards against a query that is sent with flags that a VM would refuse.
func TestQueryUsageErrors(t *testing.T) {
	cases := []struct {
		name   string
		args   []string
		stderr string
	}{
		{"no URL", []string{"mats", "blue"}, `flag -url "" must be a base URL`},
		{"bad URL", []string{"-url", "http://127.0.0.1:1,127.0.0.1:2", "mats", "blue"}, `flag -url "127.0.0.1:2" must be a base URL`},
		{"deadline zero", []string{"-url", "http://127.0.0.1:1", "-deadline", "0s", "mats", "blue"}, `flag -deadline "0s" must be above 0`},
		{"deadline long", []string{"-url", "http://127.0.0.1:1", "-deadline", "2m", "mats", "blue"}, `flag -deadline "2m0s" must be above 0`},
		{"coverage", []string{"-url", "http://127.0.0.1:1", "-least-coverage", "NaN", "mats", "blue"}, `flag -least-coverage "NaN" must be from 0 to 1`},
		{"no body", []string{"-url", "http://127.0.0.1:1", "mats"}, "query takes 2 arguments after its flags, got 1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := runCLI(append([]string{"query"}, c.args...)...)
			assert.Equal(t, r.code, cli.ExitUsage)
			assert.Equal(t, r.stdout, "")
			assertContains(t, r.stderr, []string{c.stderr, "usage: anvilfork query"})
		})
	}
}
