package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
)

// startCallerServer starts a caller interface whose ingress inbox the test reads.
func startCallerServer(t *testing.T) (url string, ingress chan ingressMsg) {
	t.Helper()
	ingress = make(chan ingressMsg, 10)
	f := &callerServer{processCtx: t.Context(), ingress: ingress}
	server := httptest.NewServer(f.handler())
	t.Cleanup(server.Close)
	return server.URL, ingress
}

func post(ctx context.Context, url string, body []byte, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/services/stock/query", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	return http.DefaultClient.Do(req)
}

// Guards against invalid headers or bodies that are ignored or read as another
// value. Such requests must be refused before they reach the ingress task.
func TestQueryRefusesInvalidRequests(t *testing.T) {
	const id = "0123456789abcdef0123456789abcdef"
	cases := []struct {
		name    string
		headers map[string]string
		body    int
	}{
		{"coverage above 1", map[string]string{headerMinCoverage: "1.01"}, 1},
		{"coverage below 0", map[string]string{headerMinCoverage: "-0.1"}, 1},
		{"coverage is no number", map[string]string{headerMinCoverage: "NaN"}, 1},
		{"coverage is a word", map[string]string{headerMinCoverage: "all"}, 1},
		{"idempotent is misspelt", map[string]string{headerIdempotent: "flase"}, 1},
		{"deadline is negative", map[string]string{headerDeadline: "-1"}, 1},
		{"deadline is no number", map[string]string{headerDeadline: "1s"}, 1},
		{"request id is short", map[string]string{headerRequestID: id[1:]}, 1},
		{"request id is not hexadecimal", map[string]string{headerRequestID: "z" + id[1:]}, 1},
		{"body is too long", nil, maxCallerBodyBytes + 1},
	}
	url, ingress := startCallerServer(t)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp, err := post(context.Background(), url, make([]byte, c.body), c.headers)
			assert.NilError(t, err)
			defer resp.Body.Close()
			var r refusalBody
			assert.NilError(t, json.NewDecoder(resp.Body).Decode(&r))
			status, code := http.StatusBadRequest, outcome.CodeBadRequest
			if c.body > maxCallerBodyBytes {
				status, code = http.StatusRequestEntityTooLarge, outcome.CodeTooLarge
			}
			assert.Equal(t, resp.StatusCode, status)
			assert.Equal(t, r.Code, string(code))
			assert.Equal(t, r.Outcome, string(outcome.NotRun))
			assert.Equal(t, len(ingress), 0)
		})
	}
}

// Guards against headers that are ignored, and against credentials of another
// scheme than Bearer that admit a request as one without a key.
func TestQueryReadsHeaders(t *testing.T) {
	url, ingress := startCallerServer(t)
	cases := []struct {
		name    string
		headers map[string]string
		check   func(t *testing.T, m callMsg)
	}{
		{"nothing", nil, func(t *testing.T, m callMsg) {
			assert.Assert(t, !m.admit.HasKey && m.start.Idempotent)
			assert.Assert(t, m.start.RequestID != fleet.RequestID{})
		}},
		{"key", map[string]string{"Authorization": "bearer k"}, func(t *testing.T, m callMsg) {
			assert.Equal(t, m.admit.Key, config.HashKey("k"))
			assert.Equal(t, m.start.Key, config.HashKey("k"))
		}},
		{"another scheme", map[string]string{"Authorization": "Basic k"}, func(t *testing.T, m callMsg) {
			assert.Assert(t, m.admit.HasKey)
		}},
		{"empty key", map[string]string{"Authorization": "Bearer"}, func(t *testing.T, m callMsg) {
			assert.Assert(t, m.admit.HasKey)
		}},
		{"all", map[string]string{headerIdempotent: "False", headerMinCoverage: "0.5", headerDeadline: "500", headerRequestID: strings.Repeat("0a", 16)}, func(t *testing.T, m callMsg) {
			assert.Assert(t, !m.start.Idempotent)
			assert.Equal(t, m.start.MinCoverage, 0.5)
			assert.Equal(t, m.start.RequestID.String(), strings.Repeat("0a", 16))
			left := time.Until(m.start.Deadline)
			assert.Assert(t, left < 490*time.Millisecond, "%v: no time is reserved for the response", left)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			done := make(chan struct{})
			go func() {
				defer close(done)
				if resp, err := post(context.Background(), url, []byte("mat"), c.headers); err == nil {
					resp.Body.Close()
				}
			}()
			m := (<-ingress).(callMsg)
			m.reply <- query.Finish{Refusal: outcome.New(outcome.CodeOverloaded, outcome.NotRun, "test")}
			<-done
			c.check(t, m)
		})
	}
}

// Guards against work that continues for a caller that closed its connection.
func TestFaultCallerGone(t *testing.T) {
	t.Run("while the query runs", func(t *testing.T) {
		url, ingress := startCallerServer(t)
		ctx, cancel := context.WithCancel(context.Background())
		go post(ctx, url, []byte("mat"), nil)
		m := (<-ingress).(callMsg)
		m.started <- 17
		cancel()
		select {
		case gone := <-ingress:
			assert.Equal(t, gone.(callerGoneMsg).id, query.ID(17))
		case <-time.After(testTimeout):
			t.Fatal("the ingress task was not notified")
		}
	})
	t.Run("before it began", func(t *testing.T) {
		url, ingress := startCallerServer(t)
		ctx, cancel := context.WithCancel(context.Background())
		go post(ctx, url, []byte("mat"), nil)
		m := (<-ingress).(callMsg)
		cancel()
		select {
		case <-m.callerGone:
		case <-time.After(testTimeout):
			t.Fatal("the request does not show that its caller is gone")
		}
		reply := make(chan query.Finish, 1)
		m.reply = reply
		newIngressTask(t.Context(), "a", zerolog.Nop()).offer(time.Now(), m)
		assert.Equal(t, (<-reply).Refusal.Code, outcome.CodeCallerGone)
	})
}

// Guards against an address list that reveals whether a key exists: the answers
// without a key and with an unknown key must be the same.
func TestAddressesRevealNoKeys(t *testing.T) {
	view := &fleet.View{Serving: true, Config: &config.Config{Workspaces: []config.Workspace{{Name: "w", Rate: 1, Burst: 1, Keys: []config.KeyHash{config.HashKey("k")}}}}}
	for _, id := range []fleet.VMID{"a", "b", "c"} {
		view.Addresses = append(view.Addresses, fleet.VM{ID: id, Zone: string(id), CallerURL: "http://" + string(id)})
	}
	control := make(chan controlMsg)
	go func() {
		for msg := range control {
			msg.(viewMsg).reply <- view
		}
	}()
	defer close(control)
	handler := (&callerServer{processCtx: t.Context(), control: control}).handler()
	get := func(key string) (b addressesBody, raw string) {
		r := httptest.NewRequest(http.MethodGet, "/v1/addresses", nil)
		r.Header.Set("Authorization", key)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		assert.Equal(t, w.Code, http.StatusOK)
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &b))
		return b, w.Body.String()
	}
	all, rawWithoutKey := get("")
	_, rawUnknownKey := get("Bearer x")
	assigned, _ := get("Bearer k")
	assert.Equal(t, len(all.Addresses), 3)
	assert.Equal(t, rawUnknownKey, rawWithoutKey)
	assert.Equal(t, len(assigned.Addresses), 2)
	assert.Assert(t, !assigned.Addresses[0].Spare && assigned.Addresses[1].Spare)
}
