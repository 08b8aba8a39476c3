package client_test

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/client"
	"github.com/anvilfork/anvilfork/core/outcome"
)

// vm is a fake ingress VM.
type vm struct {
	server          *httptest.Server
	queries         atomic.Int32
	listRequests    atomic.Int32
	connections     atomic.Int32
	listsOnlyItself atomic.Bool // as a VM does that is partitioned from the others
	ids             chan string // request ids, in order of arrival
	respond         func(w http.ResponseWriter, r *http.Request)
}

// startVMs starts fake VMs that all give the same address list. Each is in a zone
// named by its index.
func startVMs(t *testing.T, ttl time.Duration, respond ...func(w http.ResponseWriter, r *http.Request)) []*vm {
	t.Helper()
	var vms []*vm
	var urls []map[string]string
	for _, f := range respond {
		v := &vm{ids: make(chan string, 100), respond: f}
		mux := http.NewServeMux()
		mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
			v.listRequests.Add(1)
			list := urls
			if v.listsOnlyItself.Load() {
				list = []map[string]string{{"url": v.server.URL, "zone": "0"}}
			}
			json.NewEncoder(w).Encode(map[string]any{"addresses": list, "ttl_ms": ttl.Milliseconds()})
		})
		mux.HandleFunc("POST /v1/services/stock/query", func(w http.ResponseWriter, r *http.Request) {
			v.queries.Add(1)
			v.ids <- r.Header.Get("Anvilfork-Request-Id")
			io.Copy(io.Discard, r.Body) // the server notices a caller that goes away only after the body
			v.respond(w, r)
		})
		v.server = httptest.NewUnstartedServer(mux)
		v.server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				v.connections.Add(1)
			}
		}
		v.server.Start()
		t.Cleanup(v.server.Close)
		vms = append(vms, v)
	}
	for i, v := range vms {
		urls = append(urls, map[string]string{"url": v.server.URL, "zone": fmt.Sprint(i)})
	}
	return vms
}

func newClient(t *testing.T, vms []*vm, change ...func(*client.Options)) *client.Client {
	t.Helper()
	o := client.Options{Seeds: []string{vms[0].server.URL}, Zone: "0"} // the first VM is preferred
	for _, f := range change {
		f(&o)
	}
	c := client.New(o)
	t.Cleanup(c.Close)
	return c
}

func respondOK(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprint(w, `{"index_version":7,"coverage":{"groups":1,"answered":1,"missing":[]},"parts":[]}`)
}

func respondRefusal(code outcome.Code, o outcome.Outcome, retryMs int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintf(w, `{"code":%q,"outcome":%q,"reason":"test","retry_after_ms":%d}`, code, o, retryMs)
	}
}

// closeConnection closes the connection without an answer.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		conn.Close()
	}
}

// waitForCancel sends no answer and returns when the client gives up.
func waitForCancel(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func query(c *client.Client, change ...func(*client.Request)) (*client.Answer, *outcome.Refusal) {
	r := client.Request{Service: "stock", Body: []byte("mat"), Deadline: time.Second}
	for _, f := range change {
		f(&r)
	}
	a, err := c.Query(context.Background(), r)
	var refusal *outcome.Refusal
	if err != nil && !errors.As(err, &refusal) {
		refusal = &outcome.Refusal{Code: "no_refusal", Reason: err.Error()}
	}
	return a, refusal
}

func nonIdempotent(r *client.Request) { r.NonIdempotent = true }

// Guards against a retry of a request that must not run twice, against a missing
// retry, and against an outcome that does not cover all attempts.
func TestRetry(t *testing.T) {
	notReady := respondRefusal(outcome.CodeNotReady, outcome.NotRun, 0)
	cases := []struct {
		name          string
		first         func(http.ResponseWriter, *http.Request)
		second        func(http.ResponseWriter, *http.Request)
		change        func(*client.Request)
		secondQueries int32 // queries that the second VM gets
		outcome       outcome.Outcome
	}{
		{"idempotent, connection lost", closeConnection, respondOK, func(*client.Request) {}, 1, ""},
		{"idempotent, not ready", notReady, respondOK, func(*client.Request) {}, 1, ""},
		{"idempotent, final refusal", respondRefusal(outcome.CodeUnauthorized, outcome.NotRun, 0), respondOK, func(*client.Request) {}, 0, outcome.NotRun},
		{"idempotent, lost and then not run", closeConnection, respondRefusal(outcome.CodeUnauthorized, outcome.NotRun, 0), func(*client.Request) {}, 1, outcome.Unknown},
		{"non-idempotent, connection lost", closeConnection, respondOK, nonIdempotent, 0, outcome.Unknown},
		{"non-idempotent, not run", notReady, respondOK, nonIdempotent, 1, ""},
		{"non-idempotent, no outcome", respondRefusal(outcome.CodeNotReady, "", 0), respondOK, nonIdempotent, 0, outcome.Unknown},
		{"non-idempotent, unknown", respondRefusal(outcome.CodeConnectionLost, outcome.Unknown, 0), respondOK, nonIdempotent, 0, outcome.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			vms := startVMs(t, time.Minute, c.first, c.second)
			a, refusal := query(newClient(t, vms), c.change)
			assert.Equal(t, vms[1].queries.Load(), c.secondQueries)
			if c.outcome == "" {
				assert.Assert(t, refusal == nil, "%v", refusal)
				assert.Equal(t, a.IndexVersion, uint64(7))
				assert.Equal(t, <-vms[0].ids, <-vms[1].ids, "all attempts carry the same request id")
				return
			}
			assert.Equal(t, refusal.Outcome, c.outcome, "%v", refusal)
		})
	}
}

// Guards against a spare VM that is used while others answer, and against a
// client that does not fall back to the seeds when all VMs of its list are gone.
func TestFaultAddressesFail(t *testing.T) {
	for name, c := range map[string]struct {
		listed, seed func(http.ResponseWriter, *http.Request)
		queries      [3]int32 // to the spare VM, the other one on the list, and the seed
	}{
		"all answer":        {respondOK, respondOK, [3]int32{0, 1, 0}},
		"only seed answers": {closeConnection, respondOK, [3]int32{1, 1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			vms := startVMs(t, time.Minute, closeConnection, c.listed, c.seed)
			keys := make(chan string, 10)
			mux := http.NewServeMux()
			mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, r *http.Request) {
				keys <- r.Header.Get("Authorization")
				fmt.Fprintf(w, `{"addresses":[{"url":%q,"zone":"0","spare":true},{"url":%q}],"ttl_ms":60000}`, vms[0].server.URL, vms[1].server.URL)
			})
			listServer := httptest.NewServer(mux)
			t.Cleanup(listServer.Close)
			caller := newClient(t, vms, func(o *client.Options) { o.Seeds, o.Key = []string{listServer.URL, vms[2].server.URL}, "k" })
			_, refusal := query(caller) // listServer is a seed too; a query to it fails
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Equal(t, <-keys, "Bearer k")
			assert.Equal(t, [3]int32{vms[0].queries.Load(), vms[1].queries.Load(), vms[2].queries.Load()}, c.queries)
		})
	}
}

// Guards against a non-idempotent request that is not retried on another VM
// although the first one accepted no connection, so that it cannot have run.
func TestFaultVMRefusesConnections(t *testing.T) {
	vms := startVMs(t, time.Minute, respondOK, respondOK)
	c := newClient(t, vms)
	_, refusal := query(c)
	assert.Assert(t, refusal == nil, "%v", refusal)
	vms[0].server.Close()
	c.Close() // else the request may go out on an idle connection whose end is not seen yet, and may count as run
	_, refusal = query(c, nonIdempotent)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, vms[1].queries.Load(), int32(1))
}

// Guards against a caller that waits until its deadline for a VM that does not
// answer, and against hedging that doubles the load of a tier that is slow as a
// whole.
func TestFaultVMSilent(t *testing.T) {
	vms := startVMs(t, time.Minute, waitForCancel, respondOK)
	c := newClient(t, vms)
	start := time.Now()
	_, refusal := query(c)
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Assert(t, time.Since(start) < 950*time.Millisecond, "took %v", time.Since(start))

	_, refusal = query(c, nonIdempotent, func(r *client.Request) { r.Deadline = 200 * time.Millisecond })
	assert.Equal(t, refusal.Outcome, outcome.Unknown)
	assert.Equal(t, vms[1].queries.Load(), int32(1), "a non-idempotent request is not hedged")

	short := func(r *client.Request) { r.Deadline = 20 * time.Millisecond }
	for range 40 {
		query(c, short)
	}
	assert.Assert(t, vms[1].queries.Load() <= 1+10+4, "%d hedged requests for 40 queries", vms[1].queries.Load())
}

// Guards against a wait for the rate that Options do not ask for, and against one
// past the deadline.
func TestWaitForRate(t *testing.T) {
	for _, c := range []struct {
		name    string
		wait    bool
		retryMs int
		queries int32
	}{
		{"not asked for", false, 20, 1},
		{"asked for", true, 20, 2},
		{"past the deadline", true, 5000, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var v *vm
			vms := startVMs(t, time.Minute, func(w http.ResponseWriter, r *http.Request) {
				if v.queries.Load() > 1 {
					respondOK(w, r)
					return
				}
				respondRefusal(outcome.CodeRateExceeded, outcome.NotRun, c.retryMs)(w, r)
			})
			v = vms[0]
			cl := newClient(t, vms, func(o *client.Options) { o.WaitForRate = c.wait })
			_, refusal := query(cl, nonIdempotent)
			assert.Equal(t, v.queries.Load(), c.queries)
			assert.Equal(t, refusal == nil, c.queries == 2, "%v", refusal)
		})
	}
}

// Guards against a new connection for every request.
func TestConnectionReuse(t *testing.T) {
	var v *vm
	vms := startVMs(t, time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
		if v.queries.Load()%2 == 0 {
			respondRefusal(outcome.CodeUnauthorized, outcome.NotRun, 0)(w, r)
			return
		}
		respondOK(w, r)
	})
	v = vms[0]
	c := newClient(t, vms)
	for range 50 {
		query(c)
	}
	// One connection carries queries and another one the list requests beside them;
	// the bound allows one more.
	assert.Assert(t, v.connections.Load() <= 3, "%d connections", v.connections.Load())
}

// Guards against a caller that stays with a VM on the minority side of a network
// partition: it lists only itself and refuses all queries.
func TestFaultVMListsOnlyItself(t *testing.T) {
	var vms []*vm
	vms = startVMs(t, time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
		if vms[0].listsOnlyItself.Load() {
			respondRefusal(outcome.CodeNoHome, outcome.NotRun, 0)(w, r)
			return
		}
		respondOK(w, r)
	}, respondOK)
	c := newClient(t, vms)
	for n := range 10 {
		vms[0].listsOnlyItself.Store(n > 0)
		_, refusal := query(c)
		assert.Assert(t, refusal == nil, "%v", refusal)
		time.Sleep(5 * time.Millisecond) // the list expires
	}
	assert.Equal(t, vms[1].queries.Load(), int32(9))
}

// Guards against a list request with every query, and against queries that share
// a request id.
func TestListFetchedOnce(t *testing.T) {
	vms := startVMs(t, time.Hour, respondOK, respondOK)
	c := newClient(t, vms)
	var ids []string
	for range 20 {
		_, refusal := query(c)
		assert.Assert(t, refusal == nil, "%v", refusal)
		ids = append(ids, <-vms[0].ids)
	}
	assert.Equal(t, vms[0].listRequests.Load()+vms[1].listRequests.Load(), int32(1))
	slices.Sort(ids)
	assert.Equal(t, len(slices.Compact(ids)), 20, "each request has its own id")
}

// Guards against a query that fails without NoAddressError when no VM can be
// reached.
func TestFaultNoVM(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	url := "http://" + l.Addr().String()
	l.Close()
	c := client.New(client.Options{Seeds: []string{url}})
	defer c.Close()
	_, err = c.Query(context.Background(), client.Request{Service: "stock", Deadline: time.Second})
	var noAddress *client.NoAddressError
	assert.Assert(t, errors.As(err, &noAddress), "%v", err)
}

// Guards against a non-idempotent request that fails only because no VM holds the
// range of its id, or because a VM took the range over after the id was created.
// Also guards against a new id for a request that an earlier attempt may have run
// or whose id the caller chose.
func TestNewIDWhenTheFirstCannotBeClaimed(t *testing.T) {
	noHome := respondRefusal(outcome.CodeNoHome, outcome.NotRun, 0)
	tooOld := respondRefusal(outcome.CodeRequestTooOld, outcome.Unknown, 0)
	lost := respondRefusal(outcome.CodeNoHome, outcome.Unknown, 0)
	type responses = []func(http.ResponseWriter, *http.Request)
	for _, c := range []struct {
		name      string
		id        string
		responses responses
		ids       int             // distinct ids that the VM gets
		outcome   outcome.Outcome // empty when answered
	}{
		{"too old", "", responses{tooOld, respondOK}, 2, ""},
		{"too old, id of the caller", "0123456789abcdef0123456789abcdef", responses{tooOld, respondOK}, 1, outcome.Unknown},
		{"no holder", "", responses{noHome, respondOK}, 2, ""},
		{"no holder, id of the caller", "0123456789abcdef0123456789abcdef", responses{noHome, respondOK}, 1, ""},
		{"no holder, then too old in the last attempt", "", responses{noHome, noHome, noHome, tooOld, respondOK}, 5, ""},
		{"no holder in all attempts", "", responses{noHome, noHome, noHome, noHome, respondOK}, 4, outcome.NotRun},
		{"may have run", "", responses{lost, respondOK}, 1, outcome.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			var n atomic.Int32
			vms := startVMs(t, time.Minute, func(w http.ResponseWriter, r *http.Request) { c.responses[n.Add(1)-1](w, r) })
			_, refusal := query(newClient(t, vms), nonIdempotent, func(r *client.Request) { r.ID = c.id })
			if c.outcome == "" {
				assert.Assert(t, refusal == nil, "%v", refusal)
			} else {
				assert.Equal(t, refusal.Outcome, c.outcome)
			}
			ids := make(map[string]bool)
			for range n.Load() {
				ids[<-vms[0].ids] = true
			}
			assert.Equal(t, len(ids), c.ids)
		})
	}
}

// Guards against a client that ignores Options.TLS, and against a request to a VM
// with an untrusted certificate that counts as one that may have run.
func TestTLS(t *testing.T) {
	var list string
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/addresses" {
			fmt.Fprint(w, list)
			return
		}
		respondOK(w, r)
	}))
	t.Cleanup(server.Close)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	list = fmt.Sprintf(`{"addresses":[{"url":%q,"zone":"a"}],"ttl_ms":60000}`, server.URL)
	// plain serves the address list without TLS to a client that does not trust the
	// VM on it.
	plain := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/addresses" {
			fmt.Fprint(w, list)
			return
		}
		respondRefusal(outcome.CodeNotReady, outcome.NotRun, 0)(w, r)
	}))
	t.Cleanup(plain.Close)
	trusting := client.Options{Seeds: []string{server.URL}, TLS: server.Client().Transport.(*http.Transport).TLSClientConfig}
	_, refusal := query(client.New(trusting))
	assert.Assert(t, refusal == nil, "%v", refusal)
	_, refusal = query(client.New(client.Options{Seeds: []string{plain.URL}}), nonIdempotent)
	assert.Equal(t, refusal.Outcome, outcome.NotRun)
	_, err := client.New(client.Options{Seeds: []string{server.URL}}).Query(context.Background(), client.Request{Service: "stock"})
	var untrusted *tls.CertificateVerificationError
	assert.Assert(t, errors.As(err, &untrusted), "%v", err)
}
