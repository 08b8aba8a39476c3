package http1

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Transport is an http.RoundTripper that rejects the statuses which ReadResponse
// rejects, with a *StatusError, and does not use their connections again.
//
// It can't see that an interim response has a Transfer-Encoding, since net/http
// removes that header before it reports the response.
type Transport struct{ Base *http.Transport }

// NewTransport returns a Transport that sends requests by base.
func NewTransport(base *http.Transport) *Transport { return &Transport{Base: base} }

// CloseIdleConnections closes the idle connections of Base.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), interimCheck())))
	if err != nil {
		return nil, err
	}
	if err = checkFinal(resp); err == nil {
		return resp, nil
	}
	resp.Body.Close() // ends the connection if there is a body
	if resp.ContentLength == 0 {
		// The connection is idle by now. net/http has no way to close just this one.
		t.Base.CloseIdleConnections()
	}
	return nil, err
}

// checkFinal returns a *StatusError if a response of net/http, which also returns 101,
// is no final one.
func checkFinal(resp *http.Response) error {
	if err := checkStatus(resp.Status); err != nil {
		return err
	}
	if resp.StatusCode < http.StatusOK {
		return &StatusError{Status: strconv.Itoa(resp.StatusCode), Reason: "it was not requested"}
	}
	return nil
}

// interimCheck returns a trace that ends a request on an interim response which must
// not be skipped. net/http leaves the number of interim responses to such a trace.
func interimCheck() *httptrace.ClientTrace {
	var seen atomic.Int32 // net/http may repeat a request on another connection before the first has ended
	return &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
		if seen.Add(1) > maxInterimResponses {
			return errors.Newf("more than %d interim responses", maxInterimResponses)
		}
		return checkInterim(code, http.Header(h))
	}}
}
