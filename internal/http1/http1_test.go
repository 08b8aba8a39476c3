package http1

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func noReserve(int64) error { return nil }

// endless returns a prefix and then the same bytes without end.
type endless struct {
	prefix io.Reader
	fill   string
	read   int
}

func (e *endless) Read(p []byte) (int, error) {
	if n, err := e.prefix.Read(p); err == nil {
		return n, nil
	}
	n := 0
	for n < len(p) {
		n += copy(p[n:], e.fill)
	}
	e.read += n
	return n, nil
}

// Guards against a response that is cut off within its head or body and taken for
// whole.
func TestResponseCutAtEveryByte(t *testing.T) {
	for name, whole := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 4\r\n\r\nbody",
		"empty":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\nT: u\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	} {
		for cut := range len(whole) {
			resp, err := ReadResponse(NewReader(strings.NewReader(whole[:cut])), http.MethodGet)
			if err == nil {
				_, err = ReadBody(resp, 100, noReserve)
			}
			assert.Assert(t, err != nil, "%s: %q is taken for a whole response", name, whole[:cut])
		}
		resp, err := ReadResponse(NewReader(strings.NewReader(whole)), http.MethodGet)
		assert.NilError(t, err, name)
		_, err = ReadBody(resp, 100, noReserve)
		assert.NilError(t, err, name)
	}
	// Without a length the end of the connection ends the body, so only the head can
	// be recognized as cut.
	const head = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	for cut := range len(head) {
		_, err := ReadResponse(NewReader(strings.NewReader(head[:cut])), http.MethodGet)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%q", head[:cut])
	}
}

// Guards against memory that grows with what a server sends without end, in every
// part of a response.
func TestFaultBytesWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	const chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ prefix, fill string }{
		"not HTTP":         {"", "\x16\x03\x01"},
		"status line":      {"HTTP/1.1 200 ", "x"},
		"header":           {ok + "A: ", "x"},
		"headers":          {ok, "A: b\r\n"},
		"interim":          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body":             {ok + "\r\n", "x"},
		"announced body":   {ok + "Content-Length: 9000000000000000000\r\n\r\n", "x"},
		"chunk size":       {chunked, "1"},
		"chunk extension":  {chunked + "1;", "x"},
		"chunk extensions": {chunked, "1;" + strings.Repeat("x", 1000) + "\r\nb\r\n"},
		"trailers":         {chunked + "0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			const limit = 1 << 20
			e := &endless{prefix: strings.NewReader(c.prefix), fill: c.fill}
			reserved := int64(0)
			resp, err := ReadResponse(NewReader(e), http.MethodGet)
			if err == nil {
				_, err = ReadBody(resp, limit, func(total int64) error {
					reserved = total
					return nil
				})
			}
			assert.Assert(t, err != nil)
			assert.Assert(t, reserved <= limit+1, "reserved %d bytes", reserved)
			assert.Assert(t, e.read <= 2*limit, "read %d bytes", e.read)
		})
	}
}

// Guards against a body that grows without the memory for it being reserved, and
// against one that is read on after the reservation failed.
func TestBodyMemoryIsReserved(t *testing.T) {
	full := errors.New("no memory")
	read := func(length int, reserve func(int64) error) error {
		body := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", length)
		resp, err := ReadResponse(NewReader(strings.NewReader(body)), http.MethodGet)
		assert.NilError(t, err)
		_, err = ReadBody(resp, 1<<20, reserve)
		return err
	}
	deny := func(int64) error { return full }
	assert.NilError(t, read(FreeBodyBytes-1, deny))
	assert.ErrorIs(t, read(FreeBodyBytes+1, deny), full)
	assert.NilError(t, read(1<<20, noReserve))
	var tooLong *BodyTooLongError
	assert.Assert(t, errors.As(read(1<<20+1, noReserve), &tooLong))
	assert.Equal(t, tooLong.Limit, int64(1<<20))
}
