// Package contract tests implementations of the HTTP interfaces of docs/api.md as
// black boxes. By default, the tests start fakes of the target and the platform, and
// a VM. With the flags -target, -platform and -caller they run against existing
// systems and skip the cases that have to inject a fault.
package contract

import (
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	targetURL   = flag.String("target", "", "base URL of a running target; empty starts a fake")
	platformURL = flag.String("platform", "", "base URL of a running platform; empty starts a fake")
	callerURL   = flag.String("caller", "", "base URL of a running VM; empty starts one")
	callerKey   = flag.String("key", "", "key of a workspace, for -caller")
	service     = flag.String("service", "stock", "sharded service, for -caller")
)

const (
	callTimeout = 5 * time.Second
	watchWait   = 200 * time.Millisecond
)

type headers map[string]string

type answer struct {
	status  int
	header  http.Header
	body    []byte
	elapsed time.Duration
}

// call sends one HTTP request and fails the test if there is no answer within
// callTimeout.
func call(t *testing.T, method, url string, h headers, body string) answer {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	for name, value := range h {
		req.Header.Set(name, value)
	}
	start := time.Now()
	client := http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return answer{status: resp.StatusCode, header: resp.Header, body: data, elapsed: time.Since(start)}
}

// decode decodes a JSON body and fails the test on fields that T does not have.
func decode[T any](t *testing.T, a answer) T {
	t.Helper()
	var v T
	d := json.NewDecoder(strings.NewReader(string(a.body)))
	d.DisallowUnknownFields()
	assert.NilError(t, d.Decode(&v), "%s", a.body)
	return v
}
