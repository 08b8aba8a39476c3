package contract

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/localfleet"
)

const (
	readyTimeout = 20 * time.Second
	maxBodyBytes = 1 << 20
	unknownKey   = "anvilfork-key-of-nobody"
)

// callerClient queries the VM under test with a key that is allowed to query the
// service.
type callerClient struct{ url, key string }

type answerBody struct {
	RequestID    string `json:"request_id"`
	IndexVersion uint64 `json:"index_version"`
	PartitionMap uint64 `json:"partition_map"`
	Coverage     struct {
		Groups   int      `json:"groups"`
		Answered int      `json:"answered"`
		Missing  []string `json:"missing"`
	} `json:"coverage"`
	Parts []struct {
		Group string `json:"group"`
		Body  []byte `json:"body"`
	} `json:"parts"`
}

type refusalBody struct {
	Code         string `json:"code"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

type addressList struct {
	Addresses []struct {
		URL   string `json:"url"`
		Zone  string `json:"zone"`
		Spare bool   `json:"spare"`
	} `json:"addresses"`
	TTLMS int64 `json:"ttl_ms"`
}

const callerConfig = `revision = 1
[fleet]
max_vms = 1
[[zone]]
name = "a"
[[service]]
name = "stock"
partition_map = 1
slots = 2
connections = 25
cold_slots = 1
cold_ramp = "1s"
[[service.group]]
name = "g00"
targets = [{address = "192.0.2.1:9000", zone = "a"}]
[[service.group]]
name = "g01"
targets = [{address = "192.0.2.1:9001", zone = "a"}]
[[workspace]]
name = "league"
rate = 500.0
burst = 500.0
keys = ["sha256:0000000000000000000000000000000000000000000000000000000000000001"]
`

// newCallerClient returns a client of the VM given by the flags, or starts a VM and
// waits until it answers queries.
func newCallerClient(t *testing.T) *callerClient {
	if *callerURL != "" {
		return &callerClient{url: *callerURL, key: *callerKey}
	}
	f, err := localfleet.Start(localfleet.Options{
		Document: []byte(callerConfig), VMs: 1, Log: zerolog.Nop(),
		ServiceTime: func(string) time.Duration { return time.Millisecond },
	})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	c := &callerClient{url: f.Members[0].CallerURL(), key: f.Key("league")}
	// Non-idempotent requests are accepted 2 s after their request-ID range got its
	// holder.
	ready := func() bool {
		h := headers{"Anvilfork-Request-Id": requestID(time.Now(), 0), "Anvilfork-Idempotent": "false"}
		return c.query(t, h, "").status == http.StatusOK
	}
	for began := time.Now(); !ready(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < readyTimeout, "the VM does not answer")
	}
	return c
}

// query sends a query with the key. The overrides replace headers; an empty value
// omits the header.
func (c *callerClient) query(t *testing.T, overrides headers, body string) answer {
	h := headers{"Authorization": "Bearer " + c.key}
	for name, value := range overrides {
		if delete(h, name); value != "" {
			h[name] = value
		}
	}
	return call(t, http.MethodPost, c.url+"/v1/services/"+*service+"/query", h, body)
}

// requestID returns a request ID with the given creation time. lastByte tells
// IDs of the same time apart.
func requestID(at time.Time, lastByte byte) string {
	return fmt.Sprintf("%012x", at.UnixMilli()) + hex.EncodeToString(append(make([]byte, 9), lastByte))
}

// Guards against changes of the caller interface that break clients written against
// docs/api.md.
func TestCallerContract(t *testing.T) {
	c := newCallerClient(t)
	now := time.Now()
	t.Run("addresses", func(t *testing.T) {
		for _, key := range []string{"", "Bearer " + c.key, "Bearer " + unknownKey} {
			a := call(t, http.MethodGet, c.url+"/v1/addresses", headers{"Authorization": key}, "")
			assert.Equal(t, a.status, http.StatusOK)
			list := decode[addressList](t, a)
			assert.Assert(t, len(list.Addresses) > 0 && !list.Addresses[0].Spare && list.TTLMS > 0, "%s", a.body)
		}
	})
	t.Run("a whole answer", func(t *testing.T) {
		id := requestID(now, 1)
		a := c.query(t, headers{"Anvilfork-Request-Id": id, "Anvilfork-Least-Coverage": "1"}, "mats")
		assert.Equal(t, a.status, http.StatusOK, "%s", a.body)
		b := decode[answerBody](t, a)
		assert.Equal(t, b.RequestID, id)
		assert.Assert(t, b.IndexVersion > 0 && b.PartitionMap > 0)
		assert.Assert(t, b.Coverage.Groups > 0 && b.Coverage.Answered == b.Coverage.Groups && len(b.Coverage.Missing) == 0)
		assert.Equal(t, len(b.Parts), b.Coverage.Groups)
	})
	onceHeaders := headers{"Anvilfork-Request-Id": requestID(now, 2), "Anvilfork-Idempotent": "false"}
	t.Run("a non-idempotent query", func(t *testing.T) {
		assert.Equal(t, c.query(t, onceHeaders, "mats").status, http.StatusOK)
	})
	for _, r := range []struct {
		name      string
		overrides headers
		body      string
		status    int
		code      string
		outcome   string // empty: any, since it describes an earlier attempt of the request
	}{
		{"the same id again", onceHeaders, "mats", http.StatusConflict, "duplicate_request", ""},
		{"no key", headers{"Authorization": ""}, "mats", http.StatusUnauthorized, "unauthorized", "not_run"},
		{"an unknown key", headers{"Authorization": "Bearer " + unknownKey}, "mats", http.StatusUnauthorized, "unauthorized", "not_run"},
		{"a key in another form", headers{"Authorization": c.key}, "mats", http.StatusUnauthorized, "unauthorized", "not_run"},
		{"an id from the future", headers{"Anvilfork-Request-Id": requestID(now.Add(time.Minute), 3), "Anvilfork-Idempotent": "false"}, "mats", http.StatusBadRequest, "bad_request", "not_run"},
		{"an id that is too old", headers{"Anvilfork-Request-Id": requestID(now.Add(-time.Hour), 4), "Anvilfork-Idempotent": "false"}, "mats", http.StatusConflict, "request_too_old", ""},
		{"a malformed id", headers{"Anvilfork-Request-Id": "17"}, "mats", http.StatusBadRequest, "bad_request", "not_run"},
		{"a coverage above 1", headers{"Anvilfork-Least-Coverage": "1.5"}, "mats", http.StatusBadRequest, "bad_request", "not_run"},
		{"an invalid header value", headers{"Anvilfork-Idempotent": "flase"}, "mats", http.StatusBadRequest, "bad_request", "not_run"},
		{"a body that is too long", nil, strings.Repeat("m", maxBodyBytes+1), http.StatusRequestEntityTooLarge, "too_large", "not_run"},
	} {
		t.Run(r.name, func(t *testing.T) {
			a := c.query(t, r.overrides, r.body)
			assert.Equal(t, a.status, r.status, "%s", a.body)
			b := decode[refusalBody](t, a)
			assert.Equal(t, b.Code, r.code)
			assert.Assert(t, b.Reason != "" && (r.outcome == "" || b.Outcome == r.outcome), "%s", a.body)
			assert.Assert(t, !strings.Contains(string(a.body), c.key) && !strings.Contains(string(a.body), unknownKey))
		})
	}
	for _, p := range []struct {
		method, path string
		status       int
	}{
		{http.MethodPost, "/v1/services/nothing/query", http.StatusNotFound},
		{http.MethodGet, "/v1/services/" + *service + "/query", http.StatusMethodNotAllowed},
		{http.MethodGet, "/v2/addresses", http.StatusNotFound},
		{http.MethodGet, "/v1/dump", http.StatusNotFound}, // served on the admin interface only
	} {
		t.Run(p.method+" "+p.path, func(t *testing.T) {
			a := call(t, p.method, c.url+p.path, headers{"Authorization": "Bearer " + c.key}, "")
			assert.Equal(t, a.status, p.status)
			assert.Assert(t, json.Valid(a.body), "%s", a.body)
		})
	}
}
