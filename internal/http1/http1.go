// Package http1 reads HTTP/1.1 responses from servers that may misbehave. It
// bounds the memory that a response takes, also one that never ends, and parses a
// head only once all of it has arrived.
package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// MaxHeadBytes is the maximum length of a response's status line and headers
	// together. It is also the size of the buffer of NewReader.
	MaxHeadBytes = 8 << 10
	// FreeBodyBytes is the length up to which ReadBody does not reserve memory.
	FreeBodyBytes = 32 << 10

	maxInterimResponses = 8 // interim responses (1xx) before the final one
)

// HeadTooLongError reports a response whose head is longer than MaxHeadBytes.
type HeadTooLongError struct{ Read int }

// Error implements error.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("no end of the head within %d bytes", e.Read)
}

// BodyTooLongError reports a response whose body is longer than the limit. Length
// is the announced length in bytes, or -1 if the server announced none.
type BodyTooLongError struct{ Limit, Length int64 }

// Error implements error.
func (e *BodyTooLongError) Error() string {
	return fmt.Sprintf("the body of %d bytes is longer than %d bytes", e.Length, e.Limit)
}

// NewReader returns a reader for ReadResponse.
func NewReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, MaxHeadBytes) }

// ReadResponse reads the head of the final response to a request with the given
// method, and skips interim ones. br must come from NewReader. The error is
// io.ErrUnexpectedEOF if the connection ended within the head, a *HeadTooLongError
// if the head does not end, and a *StatusError if the status cannot be used.
func ReadResponse(br *bufio.Reader, method string) (*http.Response, error) {
	for range maxInterimResponses {
		head, err := awaitHead(br)
		if err != nil {
			return nil, err
		}
		if err := checkStatusLine(head); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if err := checkInterimResponse(resp); err != nil {
			return nil, err
		}
	}
	return nil, errors.Newf("more than %d interim responses", maxInterimResponses)
}

// awaitHead returns the buffered bytes once they contain a whole head.
func awaitHead(br *bufio.Reader) ([]byte, error) {
	for {
		buffered, err := br.Peek(br.Buffered())
		if err != nil {
			return nil, err
		}
		if hasHeadEnd(buffered) {
			return buffered, nil
		}
		if len(buffered) == br.Size() {
			return nil, &HeadTooLongError{Read: len(buffered)}
		}
		if _, err := br.Peek(len(buffered) + 1); err != nil {
			if errors.Is(err, io.EOF) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// hasHeadEnd reports whether b contains the empty line that ends a head.
func hasHeadEnd(b []byte) bool {
	return bytes.Contains(b, []byte("\n\r\n")) || bytes.Contains(b, []byte("\n\n"))
}

// ReadBody reads the whole body of a response, of at most limit bytes. Memory
// grows with the bytes that arrive, whatever length the server announces. Before
// it exceeds FreeBodyBytes, and before each further growth, reserve is called with
// the new total; its error ends the read. The error is a *BodyTooLongError for a
// longer body.
func ReadBody(resp *http.Response, limit int64, reserve func(total int64) error) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, &BodyTooLongError{Limit: limit, Length: resp.ContentLength}
	}
	size := int64(FreeBodyBytes)
	if resp.ContentLength >= 0 && resp.ContentLength <= size {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body := make([]byte, 0, initialBodyBytes)
	for {
		if len(body) == cap(body) {
			if int64(len(body)) > limit {
				return nil, &BodyTooLongError{Limit: limit, Length: resp.ContentLength}
			}
			grown := min(2*int64(cap(body)), limit+1) // one byte more shows that the body is too long
			if grown > FreeBodyBytes {
				if err := reserve(grown); err != nil {
					return nil, err
				}
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			if int64(len(body)) > limit {
				return nil, &BodyTooLongError{Limit: limit, Length: resp.ContentLength}
			}
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// initialBodyBytes is the capacity with which a body of unknown length is read.
const initialBodyBytes = 1 << 10
