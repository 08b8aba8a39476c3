// Package client is the Go library for callers of the query tier. It gets the
// addresses of the VMs from the tier, connects to a VM directly, and retries a
// request only if that cannot run a non-idempotent request twice.
package client

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/internal/http1"
)

const (
	defaultDeadline   = 2 * time.Second
	maxAttempts       = 4                      // of a query; hedged requests and attempts counted in query.newIDs come on top
	newIDBackoff      = 100 * time.Millisecond // before a retry with a new request id
	maxIdleConnsPerVM = 64
	idleTimeout       = 30 * time.Second
	dialTimeout       = 500 * time.Millisecond // an unreachable address must not use up the whole deadline
	minTimeForRetry   = 5 * time.Millisecond   // must be left before the deadline after a wait, or there is no retry
)

// Options configure a Client.
type Options struct {
	// Seeds are the base URLs of VMs that are asked for the first address list,
	// without a trailing slash, such as https://203.0.113.1:7202. Without a seed
	// every Query returns a *NoAddressError.
	Seeds []string
	Key   string // workspace key, sent as a bearer token; empty for services that accept requests without a key
	Zone  string // availability zone of the caller; VMs of this zone are preferred

	// TLS configures the connections to the VMs; RootCAs holds the authorities
	// that their certificates are checked against. Nil means the defaults of
	// crypto/tls with the authorities of this host. New copies it.
	TLS *tls.Config

	// WaitForRate makes Query wait and retry when a request is refused because
	// its workspace is over its rate. Query returns the refusal instead if the
	// wait would not end before the deadline.
	WaitForRate bool
}

// Request is one query.
type Request struct {
	Service string // name of the service to query
	Body    []byte // passed to the targets as it is; a body longer than 1 MiB is refused with outcome.CodeTooLarge

	// Deadline is the time for the whole query with its retries; zero means 2
	// seconds. A VM also ends each attempt after the deadline of the service, and
	// after 1 minute at most.
	Deadline time.Duration

	// LeastCoverage is the minimum fraction of the shards that must answer, from 0
	// to 1; the service's own minimum holds if it is larger. An answer below it is
	// refused, with outcome.CodeInsufficientCoverage unless no shard answered or
	// another VM may reach more of them; the code is then that of the failure.
	LeastCoverage float64

	// NonIdempotent requests must not run twice: they are neither hedged, nor
	// retried once they may have run.
	NonIdempotent bool

	// ID is the request id of 32 hexadecimal digits: 12 of the creation time in
	// milliseconds since the Unix epoch, then 20 random ones. It is generated when
	// empty. A non-idempotent request is refused if the time of its id lies in the
	// future (outcome.CodeBadRequest) or too far back (outcome.CodeRequestTooOld).
	ID string
}

// Answer is the answer to a query.
type Answer struct {
	RequestID    string   `json:"request_id"`
	IndexVersion uint64   `json:"index_version"` // version of the index that the parts come from
	PartitionMap uint64   `json:"partition_map"` // version of the partition map by which the shards were chosen
	Coverage     Coverage `json:"coverage"`
	Parts        []Part   `json:"parts"` // one for each shard that answered
}

// Coverage states which shards an answer covers. The wire format calls a shard a
// group.
type Coverage struct {
	Groups   int      `json:"groups"`   // shards of the service
	Answered int      `json:"answered"` // shards that answered
	Missing  []string `json:"missing"`  // names of the shards that did not answer
}

// Part is the answer of one shard.
type Part struct {
	Group string `json:"group"` // name of the shard
	Body  []byte `json:"body"`  // as the target returned it
}

// Client sends queries. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	lists   chan addressList // capacity 1; holds the current address list, which is taken out to change it
	hedges  chan hedgeBudget // capacity 1; holds the budget for hedged requests
}

// New returns a Client. It opens no connection; the first query fetches the
// address list.
func New(o Options) *Client {
	c := &Client{
		options: o,
		http: &http.Client{Transport: http1.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: maxIdleConnsPerVM, IdleConnTimeout: idleTimeout, TLSClientConfig: o.TLS.Clone(),
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		})},
		lists:  make(chan addressList, 1),
		hedges: make(chan hedgeBudget, 1),
	}
	c.lists <- addressList{}
	c.hedges <- hedgeBudget{tokens: maxHedgeTokens}
	return c
}

// Close closes the idle connections. Running queries go on.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Query sends a request and returns its answer. It returns when the request is
// answered, when a retry is not allowed or no attempt is left, or at the earlier
// of r.Deadline and the deadline of ctx.
//
// The error is a *outcome.Refusal if the request was refused or got no readable
// answer. Its Outcome covers all attempts: outcome.NotRun means that none of them
// ran. Its RetryAfter, if above zero, is how long to wait before a further query.
// All attempts that may have run carry the same request id. If no attempt has
// run, the error may also be a *NoAddressError, or that of ctx if it ended while
// another query was fetching the address list.
func (c *Client) Query(ctx context.Context, r Request) (*Answer, error) {
	if r.Deadline == 0 {
		r.Deadline = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	c.earnHedge()
	q := &query{client: c, request: r, avoidURLs: make(map[string]bool), worstOutcome: outcome.NotRun}
	if r.ID == "" {
		q.idGenerated = true
		q.request.ID = newRequestID()
	}
	return q.run(ctx)
}

// newRequestID returns a new request id, which holds the time of its creation.
func newRequestID() string {
	var random [10]byte
	rand.Read(random[:])
	return fleet.NewRequestID(time.Now(), random).String()
}

// query is one request with all its attempts. It belongs to the goroutine that
// called Query; the goroutines that send the request only read it.
type query struct {
	client       *Client
	request      Request
	avoidURLs    map[string]bool // addresses that refused, failed or were slow; a false entry counts as absent
	worstOutcome outcome.Outcome // of the attempts that ended; what the caller gets
	newIDs       int             // attempts repeated under a new id because no VM remembered the old one; only the deadline bounds them
	idGenerated  bool            // the client generated the request id, so no other request has it
}

// run makes attempts until one is answered or no retry is possible.
func (q *query) run(ctx context.Context) (*Answer, error) {
	for n := 1; ; n++ {
		answer, err := q.attempt(ctx)
		if err == nil {
			return answer, nil
		}
		var refusal *outcome.Refusal
		if !errors.As(err, &refusal) {
			return nil, q.noAddressError(err)
		}
		if ctx.Err() != nil || q.attemptsExhausted(n, refusal) || !q.prepareRetry(ctx, refusal) {
			refusal.Outcome = q.worstOutcome
			return nil, refusal
		}
	}
}

// noAddressError returns err, or a refusal with the outcome of the earlier
// attempts if one of them may have run.
func (q *query) noAddressError(err error) error {
	if q.worstOutcome == outcome.NotRun {
		return err
	}
	return outcome.New(outcome.CodeConnectionLost, q.worstOutcome, "%v", err)
}

// attemptsExhausted reports whether no attempt is left. An attempt that ended
// because no VM remembered the id does not count, whatever the earlier attempts
// ended with.
func (q *query) attemptsExhausted(attempts int, r *outcome.Refusal) bool {
	return attempts-q.newIDs >= maxAttempts && r.Code != outcome.CodeRequestTooOld
}

// prepareRetry reports whether the request may be sent once more. It waits first
// if the refusal asks for that, and replaces the request id if another id may
// succeed. A request that may have run is retried only if it is idempotent, and a
// refusal that another VM would repeat is final.
func (q *query) prepareRetry(ctx context.Context, r *outcome.Refusal) bool {
	if q.request.NonIdempotent && q.worstOutcome != outcome.NotRun {
		return false
	}
	switch r.Code {
	case outcome.CodeFenced, outcome.CodeNotReady, outcome.CodeStopping, outcome.CodeConnectionLost:
		return true
	case outcome.CodeNoHome:
		if q.idGenerated && q.request.NonIdempotent {
			// Perhaps no VM holds the range of the id. No attempt ran, so an id
			// of another range is safe.
			q.request.ID = newRequestID()
		}
		return true
	case outcome.CodeRequestTooOld:
		if !q.idGenerated || !q.request.NonIdempotent || !waitWithinDeadline(ctx, newIDBackoff) {
			return false
		}
		q.request.ID = newRequestID()
		q.newIDs++
		return true
	case outcome.CodeRateExceeded:
		return q.client.options.WaitForRate && waitWithinDeadline(ctx, r.RetryAfter)
	}
	return false
}

// attemptOutcome returns the outcome of an attempt that was refused. A VM that no
// longer knows whether an id ran refuses it with outcome.Unknown. If the client
// generated the id and no earlier attempt may have run, the request has not run.
func (q *query) attemptOutcome(r *outcome.Refusal) outcome.Outcome {
	if r.Code == outcome.CodeRequestTooOld && q.idGenerated && q.worstOutcome == outcome.NotRun {
		return outcome.NotRun
	}
	return r.Outcome
}

// waitWithinDeadline waits for d and reports whether time for a retry is left. It
// returns false at once if the wait would end too close to the deadline of ctx.
func waitWithinDeadline(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d+minTimeForRetry {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attemptResult is the end of a request to one VM; either answer or refusal is
// set.
type attemptResult struct {
	url     string
	answer  *Answer
	refusal *outcome.Refusal
}

// attempt sends the request to one VM. An idempotent request without an answer
// after half of its remaining time is hedged: it is sent to another VM as well,
// if the client's hedge budget allows it, and the first answer wins.
func (q *query) attempt(ctx context.Context) (*Answer, error) {
	url, err := q.client.pick(ctx, q.avoidURLs)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels the request that lost
	results := make(chan attemptResult, 2)
	go q.send(ctx, url, results)
	hedgeTimer := time.NewTimer(q.hedgeDelay(ctx))
	defer hedgeTimer.Stop()
	for inFlight := 1; ; {
		select {
		case r := <-results:
			inFlight--
			if r.refusal == nil {
				return r.answer, nil
			}
			q.avoidURLs[r.url] = r.refusal.Code != outcome.CodeRateExceeded
			q.worstOutcome = outcome.Worse(q.worstOutcome, q.attemptOutcome(r.refusal))
			if inFlight == 0 {
				return nil, r.refusal
			}
		case <-hedgeTimer.C:
			q.avoidURLs[url] = true
			other, err := q.client.pick(ctx, q.avoidURLs)
			if err == nil && other != url && q.client.spendHedge() {
				inFlight++
				go q.send(ctx, other, results)
			}
		}
	}
}

// send sends the request to one VM and puts the result on results, which must
// have room for it: attempt may have returned by then.
func (q *query) send(ctx context.Context, url string, results chan<- attemptResult) {
	answer, refusal := q.client.send(ctx, url, q.request)
	results <- attemptResult{url: url, answer: answer, refusal: refusal}
}

// hedgeDelay returns how long a VM may take before the request is hedged.
func (q *query) hedgeDelay(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	timeLeft := time.Until(deadline)
	if q.request.NonIdempotent {
		return timeLeft + time.Hour // past the deadline: never hedged
	}
	return timeLeft / 2
}
