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

	"github.com/labstack/echo/v4"

	"github.com/anvilfork/anvilfork/core/admit"
	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/query"
)

const (
	maxCallerBody    = 1 << 20
	maxCallerTime    = time.Minute           // upper bound of a deadline that a caller may ask for
	answerReserve    = 10 * time.Millisecond // kept from the deadline for the way back to the caller,
	answerFraction   = 10                    // but not more than this part of it
	callerReadHeader = 5 * time.Second
	callerReadBody   = 10 * time.Second
	callerIdle       = 60 * time.Second
	maxHeaderBytes   = 16 << 10
)

// Headers of the caller protocol besides those shared with targets.
const (
	headerLeastCoverage = "Anvilfork-Least-Coverage"
	headerIdempotent    = "Anvilfork-Idempotent"
	bearerPrefix        = "Bearer "
	notBearer           = "\x00" // no key contains it: a header value cannot
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

// front translates the callers' HTTP requests into messages to the entry task.
type front struct {
	process    context.Context
	entry      chan<- ingressMsg
	control    chan<- controlMsg
	overloaded func() // counts a request for which the entry task has no room
}

func (f *front) handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/v1/addresses", f.addresses)
	e.POST("/v1/services/:service/query", f.query)
	return e
}

func (f *front) addresses(c echo.Context) error {
	reply := make(chan *fleet.View, 1)
	send(c.Request().Context(), f.control, controlMsg(viewMsg{reply: reply}))
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

func (f *front) query(c echo.Context) error {
	now := time.Now()
	msg, refusal := readCall(c, now)
	if refusal != nil {
		return refuse(c, refusal)
	}
	reply := make(chan query.Finish, 1)
	began := make(chan query.ID, 1)
	msg.reply, msg.started, msg.callerGone = reply, began, c.Request().Context().Done()
	if !trySend(f.entry, ingressMsg(msg)) {
		f.overloaded()
		return refuse(c, outcome.New(outcome.CodeOverloaded, outcome.NotRun, "too many requests wait on this VM"))
	}
	select {
	case done := <-reply:
		return respond(c, done)
	case <-f.process.Done():
		return refuse(c, outcome.New(outcome.CodeStopping, outcome.Unknown, "this VM stopped"))
	case <-c.Request().Context().Done():
		f.abandon(began, reply)
		return nil
	}
}

// abandon tells the entry task that the caller of a request went away.
func (f *front) abandon(began <-chan query.ID, reply <-chan query.Finish) {
	select {
	case id := <-began:
		send(f.process, f.entry, ingressMsg(callerGoneMsg{id: id}))
	case <-reply:
	case <-f.process.Done():
	}
}

func readCall(c echo.Context, now time.Time) (callMsg, *outcome.Refusal) {
	var msg callMsg
	h := c.Request().Header
	service := c.Param("service")
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxCallerBody))
	if err != nil {
		return msg, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "request body: %v", err)
	}
	id, err := requestID(h.Get(headerRequestID), now)
	if err != nil {
		return msg, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "%v", err)
	}
	wait, err := deadline(h.Get(headerDeadline))
	if err != nil {
		return msg, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "header %s: %v", headerDeadline, err)
	}
	coverage, err := fraction(h.Get(headerLeastCoverage))
	if err != nil {
		return msg, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "header %s: %v", headerLeastCoverage, err)
	}
	idempotent, err := boolean(h.Get(headerIdempotent))
	if err != nil {
		return msg, outcome.New(outcome.CodeBadRequest, outcome.NotRun, "header %s: %v", headerIdempotent, err)
	}
	until := now.Add(wait - min(wait/answerFraction, answerReserve))
	msg.admit = admit.Request{Service: service, Deadline: until}
	msg.admit.Key, msg.admit.HasKey = callerKey(h)
	msg.start = query.Start{
		Key: msg.admit.Key, Request: id, Service: service, Deadline: until, MinCoverage: coverage,
		Idempotent: idempotent, Fingerprint: fingerprint(service, body), Body: body,
	}
	return msg, nil
}

// callerKey returns the hash of the key that a request carries. Any other kind
// of credentials counts as an unknown key, so that a request which carries some
// is never let in as one without.
func callerKey(h http.Header) (config.KeyHash, bool) {
	text := h.Get(echo.HeaderAuthorization)
	if text == "" {
		return config.KeyHash{}, false
	}
	if len(text) > len(bearerPrefix) && strings.EqualFold(text[:len(bearerPrefix)], bearerPrefix) {
		return config.HashKey(text[len(bearerPrefix):]), true
	}
	return config.HashKey(notBearer + text), true
}

// boolean reads the idempotence header. Anything but a boolean is refused: a
// misspelt "false" must not make a request repeatable.
func boolean(text string) (bool, error) {
	if text == "" {
		return true, nil
	}
	return strconv.ParseBool(text)
}

// FractionError reports a number that is not between 0 and 1.
type FractionError struct{ Text string }

// Error implements error.
func (e *FractionError) Error() string { return fmt.Sprintf("%q is not a number from 0 to 1", e.Text) }

func requestID(text string, now time.Time) (fleet.RequestID, error) {
	if text != "" {
		return fleet.ParseRequestID(text)
	}
	var random [10]byte
	rand.Read(random[:])
	return fleet.NewRequestID(now, random), nil
}

func deadline(text string) (time.Duration, error) {
	if text == "" {
		return maxCallerTime, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	return min(time.Duration(ms)*time.Millisecond, maxCallerTime), err
}

func fraction(text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f >= 0 && f <= 1) { // not a number fails both comparisons
		return 0, &FractionError{Text: text}
	}
	return f, nil
}

func fingerprint(service string, body []byte) fleet.Fingerprint {
	h := sha256.New()
	h.Write([]byte(service))
	h.Write([]byte{0})
	h.Write(body)
	return fleet.Fingerprint(h.Sum(nil))
}

func respond(c echo.Context, done query.Finish) error {
	if done.Refusal != nil {
		return refuse(c, done.Refusal)
	}
	a := done.Answer
	body := answerBody{
		RequestID: a.Request.String(), IndexVersion: a.IndexVersion, PartitionMap: a.PartitionMap,
		Coverage: coverageBody{Groups: a.Shards, Answered: a.Shards - len(a.Missing), Missing: append([]string{}, a.Missing...)},
		Parts:    make([]partBody, 0, len(a.Parts)),
	}
	for _, p := range a.Parts {
		body.Parts = append(body.Parts, partBody{Group: p.Shard, Body: p.Body})
	}
	return c.JSON(http.StatusOK, body)
}

func refuse(c echo.Context, r *outcome.Refusal) error {
	return c.JSON(statusOf(r.Code), refusalBody{
		Code: string(r.Code), Outcome: string(r.Outcome), Reason: r.Reason, RetryAfterMs: r.RetryAfter.Milliseconds(),
	})
}

func statusOf(code outcome.Code) int {
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
