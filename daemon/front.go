package daemon

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/anvilfork/anvilfork/core/admit"
	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
)

const (
	maxCallerBodyBytes      = 1 << 20
	maxCallerTimeout        = time.Minute           // upper bound of the time that a caller may give a request
	responseReserve         = 10 * time.Millisecond // subtracted from the caller's deadline for sending the response
	responseReserveDivisor  = 10                    // the reserve is at most 1/10 of the timeout
	callerReadHeaderTimeout = 5 * time.Second
	callerReadTimeout       = 10 * time.Second
	callerIdleTimeout       = 60 * time.Second
	maxHeaderBytes          = 16 << 10
)

const (
	// Headers that only callers send; the others are shared with targets.
	headerMinCoverage = "Anvilfork-Least-Coverage"
	headerIdempotent  = "Anvilfork-Idempotent"

	bearerPrefix = "Bearer " // scheme of the Authorization header

	// nonBearerPrefix is put before credentials of another scheme. It cannot be
	// part of a key, since header values exclude it, so they match no key.
	nonBearerPrefix = "\x00"
)

type answerBody struct {
	RequestID    string       `json:"request_id"`
	IndexVersion uint64       `json:"index_version"`
	PartitionMap uint64       `json:"partition_map"`
	Coverage     coverageBody `json:"coverage"`
	Parts        []partBody   `json:"parts"`
}

type coverageBody struct {
	Groups   int      `json:"groups"`
	Answered int      `json:"answered"`
	Missing  []string `json:"missing"`
}

type partBody struct {
	Group string `json:"group"`
	Body  []byte `json:"body"`
}

type refusalBody struct {
	Code         string `json:"code"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

type addressesBody struct {
	Addresses []addressBody `json:"addresses"`
	TTLMs     int64         `json:"ttl_ms"`
}

type addressBody struct {
	URL   string `json:"url"`
	Zone  string `json:"zone"`
	Spare bool   `json:"spare"`
}

// callerServer is the HTTP interface for callers. It translates requests into
// messages to the ingress task.
type callerServer struct {
	processCtx    context.Context
	ingress       chan<- ingressMsg
	control       chan<- controlMsg
	countOverload func() // counts a request that is refused because the ingress task's inbox is full
}

func (s *callerServer) handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/v1/addresses", s.addresses)
	e.POST("/v1/services/:service/query", s.query)
	return e
}

func (s *callerServer) addresses(c echo.Context) error {
	reply := make(chan *fleet.View, 1)
	send(c.Request().Context(), s.control, controlMsg(viewMsg{reply: reply}))
	select {
	case v := <-reply:
		if refusal := v.Unavailable(time.Now()); refusal != nil {
			return refuse(c, refusal)
		}
		body := addressesBody{Addresses: []addressBody{}, TTLMs: v.AddressTTL().Milliseconds()}
		for _, a := range v.AddressesFor(callerKey(c.Request().Header)) {
			body.Addresses = append(body.Addresses, addressBody{URL: a.CallerURL, Zone: a.Zone, Spare: a.Spare})
		}
		return c.JSON(http.StatusOK, body)
	case <-c.Request().Context().Done():
		return nil
	}
}

func (s *callerServer) query(c echo.Context) error {
	now := time.Now()
	call, refusal := parseCall(c, now)
	if refusal != nil {
		return refuse(c, refusal)
	}
	reply := make(chan query.Finish, 1)
	started := make(chan query.ID, 1)
	call.reply, call.started, call.callerGone = reply, started, c.Request().Context().Done()
	if !trySend(s.ingress, ingressMsg(call)) {
		s.countOverload()
		return refuse(c, outcome.New(outcome.CodeOverloaded, outcome.NotRun, "too many requests wait on this VM"))
	}
	select {
	case finish := <-reply:
		return respond(c, finish)
	case <-s.processCtx.Done():
		return refuse(c, outcome.New(outcome.CodeStopping, outcome.Unknown, "this VM stopped"))
	case <-c.Request().Context().Done():
		s.notifyCallerGone(started, reply)
		return nil
	}
}

// notifyCallerGone waits until the query has an ID and then tells the ingress
// task that its caller is gone. A query that has ended needs no message.
func (s *callerServer) notifyCallerGone(started <-chan query.ID, reply <-chan query.Finish) {
	select {
	case id := <-started:
		send(s.processCtx, s.ingress, ingressMsg(callerGoneMsg{id: id}))
	case <-reply:
	case <-s.processCtx.Done():
	}
}

// refuseBody returns the refusal of a request whose body could not be read.
func refuseBody(err error) *outcome.Refusal {
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return outcome.New(outcome.CodeTooLarge, outcome.NotRun, "the body is longer than %d bytes", tooLong.Limit)
	}
	return outcome.New(outcome.CodeBadRequest, outcome.NotRun, "request body: %v", err)
}

// parseCall reads a query from the request. Its deadline is earlier than the
// caller's by the time that is reserved for the response.
func parseCall(c echo.Context, now time.Time) (callMsg, *outcome.Refusal) {
	var call callMsg
	h := c.Request().Header
	service := c.Param("service")
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxCallerBodyBytes))
	if err != nil {
		return call, refuseBody(err)
	}
	id, err := parseOrNewRequestID(h.Get(headerRequestID), now)
	if err != nil {
		return call, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "%v", err)
	}
	timeout, err := parseTimeout(h.Get(headerDeadline))
	if err != nil {
		return call, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "header %s: %v", headerDeadline, err)
	}
	coverage, err := parseCoverage(h.Get(headerMinCoverage))
	if err != nil {
		return call, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "header %s: %v", headerMinCoverage, err)
	}
	idempotent, err := parseIdempotent(h.Get(headerIdempotent))
	if err != nil {
		return call, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "header %s: %v", headerIdempotent, err)
	}
	deadline := now.Add(timeout - min(timeout/responseReserveDivisor, responseReserve))
	call.admit = admit.Request{Service: service, Deadline: deadline}
	call.admit.Key, call.admit.HasKey = callerKey(h)
	call.start = query.Start{
		Key: call.admit.Key, RequestID: id, Service: service, Deadline: deadline, MinCoverage: coverage,
		Idempotent: idempotent, Fingerprint: requestFingerprint(service, body), Body: body,
	}
	return call, nil
}

// callerKey returns the hash of the bearer token in a request, and whether the
// request carries credentials. Credentials of any other scheme count as an
// unknown key, so that such a request is never admitted as one without a key.
func callerKey(h http.Header) (config.KeyHash, bool) {
	text := h.Get(echo.HeaderAuthorization)
	if text == "" {
		return config.KeyHash{}, false
	}
	if len(text) > len(bearerPrefix) && strings.EqualFold(text[:len(bearerPrefix)], bearerPrefix) {
		return config.HashKey(text[len(bearerPrefix):]), true
	}
	return config.HashKey(nonBearerPrefix + text), true
}

// parseIdempotent parses the idempotence header; the default is true. Anything
// but a boolean is an error: a misspelled "false" must not make a request
// repeatable.
func parseIdempotent(text string) (bool, error) {
	if text == "" {
		return true, nil
	}
	return strconv.ParseBool(text)
}

// FractionError reports a header value that is not a number from 0 to 1.
type FractionError struct{ Text string }

// Error implements error.
func (e *FractionError) Error() string { return fmt.Sprintf("%q is not a number from 0 to 1", e.Text) }

// parseOrNewRequestID generates an ID when the caller sends none.
func parseOrNewRequestID(text string, now time.Time) (fleet.RequestID, error) {
	if text != "" {
		return fleet.ParseRequestID(text)
	}
	var random [10]byte
	rand.Read(random[:])
	return fleet.NewRequestID(now, random), nil
}

// parseTimeout parses a number of milliseconds below 2^32. An absent value means
// maxCallerTimeout; a larger value is reduced to it.
func parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return maxCallerTimeout, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	return min(time.Duration(ms)*time.Millisecond, maxCallerTimeout), err
}

// parseCoverage parses the minimum coverage; the default is 0.
func parseCoverage(text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f >= 0 && f <= 1) { // NaN fails both comparisons
		return 0, &FractionError{Text: text}
	}
	return f, nil
}

// requestFingerprint identifies the content of a request to a service. The zero
// byte separates the service name from the body.
func requestFingerprint(service string, body []byte) fleet.Fingerprint {
	h := sha256.New()
	h.Write([]byte(service))
	h.Write([]byte{0})
	h.Write(body)
	return fleet.Fingerprint(h.Sum(nil))
}

func respond(c echo.Context, finish query.Finish) error {
	if finish.Refusal != nil {
		return refuse(c, finish.Refusal)
	}
	a := finish.Answer
	body := answerBody{
		RequestID: a.RequestID.String(), IndexVersion: a.IndexVersion, PartitionMap: a.PartitionMap,
		Coverage: coverageBody{Groups: a.Shards, Answered: a.Shards - len(a.Missing), Missing: append([]string{}, a.Missing...)},
		Parts:    make([]partBody, 0, len(a.Parts)),
	}
	for _, p := range a.Parts {
		body.Parts = append(body.Parts, partBody{Group: p.Shard, Body: p.Body})
	}
	return c.JSON(http.StatusOK, body)
}

func refuse(c echo.Context, r *outcome.Refusal) error {
	return c.JSON(httpStatus(r.Code), refusalBody{
		Code: string(r.Code), Outcome: string(r.Outcome), Reason: r.Reason, RetryAfterMs: r.RetryAfter.Milliseconds(),
	})
}

// httpStatus maps refusal codes to HTTP status codes; codes that are not listed
// map to 503.
func httpStatus(code outcome.Code) int {
	switch code {
	case outcome.CodeBadRequest:
		return http.StatusBadRequest
	case outcome.CodeUnauthorized:
		return http.StatusUnauthorized
	case outcome.CodeUnknownService, outcome.CodeUnknownRoute:
		return http.StatusNotFound
	case outcome.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case outcome.CodeRateExceeded:
		return http.StatusTooManyRequests
	case outcome.CodeDuplicateRequest, outcome.CodeRequestTooOld:
		return http.StatusConflict
	case outcome.CodePoisonRequest:
		return http.StatusUnprocessableEntity
	case outcome.CodeDeadlineExceeded:
		return http.StatusGatewayTimeout
	case outcome.CodeConnectionLost, outcome.CodeTargetFailed, outcome.CodeTargetCrashed:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}
