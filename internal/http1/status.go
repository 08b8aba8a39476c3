package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

const (
	statusDigits   = 3
	maxFinalStatus = 599
)

// StatusError reports a response whose status cannot be used: it is not three digits
// from 100 to 599, it is an interim one other than 100, 102 and 103, or it is one of
// these and announces a body.
type StatusError struct {
	Status string // as the server sent it
	Reason string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the status is %q: %s", e.Status, e.Reason)
}

// checkStatusLine returns a *StatusError if the first line of a head has no valid
// status. It accepts a line without a status, which http.ReadResponse rejects.
func checkStatusLine(head []byte) error {
	line, _, _ := bytes.Cut(head, []byte("\n"))
	_, status, ok := strings.Cut(strings.TrimRight(string(line), " \t\r"), " ")
	if !ok {
		return nil
	}
	return checkStatus(status)
}

// checkStatus checks a status with an optional reason phrase. strconv.Atoi, with
// which net/http parses a status, also accepts a sign and values below 100.
func checkStatus(status string) error {
	code, _, _ := strings.Cut(strings.TrimLeft(status, " "), " ")
	if len(code) != statusDigits || strings.Trim(code, "0123456789") != "" {
		return &StatusError{Status: code, Reason: "it is not three digits"}
	}
	if n, err := strconv.Atoi(code); err != nil || n < http.StatusContinue || n > maxFinalStatus {
		return &StatusError{Status: code, Reason: "it is not from 100 to 599"}
	}
	return nil
}

// checkInterim returns a *StatusError if an interim response must not be skipped. What
// follows a body or a change of the protocol could be taken for the final response.
func checkInterim(code int, h http.Header) error {
	status := strconv.Itoa(code)
	switch code {
	case http.StatusContinue, http.StatusProcessing, http.StatusEarlyHints:
	default:
		return &StatusError{Status: status, Reason: "it was not requested"}
	}
	for _, length := range h.Values("Content-Length") {
		if strings.Trim(length, "0") != "" {
			return &StatusError{Status: status, Reason: "the interim response announces a body"}
		}
	}
	return nil
}

// checkInterimResponse is checkInterim with a check of the transfer encoding, whose
// header http.ReadResponse removes. In HTTP/1.0, which has no interim responses, it
// leaves no trace of it.
func checkInterimResponse(resp *http.Response) error {
	if len(resp.TransferEncoding) > 0 || !resp.ProtoAtLeast(1, 1) {
		return &StatusError{Status: strconv.Itoa(resp.StatusCode), Reason: "the interim response announces a body or is of HTTP/1.0"}
	}
	return checkInterim(resp.StatusCode, resp.Header)
}
