package http1

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const signedAnswer = "HTTP/1.1 200 OK\r\nX-Signature: forged\r\nContent-Length: 2\r\n\r\nok"

// unusable are answers that must not be used, with the value that the error states.
var unusable = map[string]struct{ answer, value string }{
	"000":                  {"HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n", "000"},
	"000 around a 200":     {"HTTP/1.1 000 x\r\n\r\n" + signedAnswer, "000"},
	"099":                  {"HTTP/1.1 099 x\r\n\r\n" + signedAnswer, "099"},
	"+20":                  {"HTTP/1.1 +20 x\r\n\r\n" + signedAnswer, "+20"},
	"-00":                  {"HTTP/1.1 -00 x\r\n\r\n" + signedAnswer, "-00"},
	"20x":                  {"HTTP/1.1 20x x\r\nContent-Length: 0\r\n\r\n", "20x"},
	"0200":                 {"HTTP/1.1 0200 x\r\nContent-Length: 0\r\n\r\n", "0200"},
	"600":                  {"HTTP/1.1 600 x\r\nContent-Length: 0\r\n\r\n", "600"},
	"999":                  {"HTTP/1.1 999\r\nContent-Length: 0\r\n\r\n", "999"},
	"101":                  {"HTTP/1.1 101 x\r\n\r\n" + signedAnswer, "101"},
	"101 upgrade":          {"HTTP/1.1 101 x\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + signedAnswer, "101"},
	"104":                  {"HTTP/1.1 104 x\r\n\r\n" + signedAnswer, "104"},
	"103 with length":      {"HTTP/1.1 103 x\r\nContent-Length: 66\r\n\r\n" + signedAnswer, "103"},
	"100 after a good one": {"HTTP/1.1 103 x\r\n\r\nHTTP/1.1 100 x\r\nContent-Length: 1\r\n\r\n" + signedAnswer, "100"},
}

// unusableInterim are interim answers that announce a body by a header which net/http
// rejects itself or hides from its callers.
var unusableInterim = map[string]string{
	"103 with odd length":  "HTTP/1.1 103 x\r\nContent-Length: x\r\n\r\n" + signedAnswer,
	"103 chunked":          "HTTP/1.1 103 x\r\nTransfer-Encoding: chunked\r\n\r\n" + signedAnswer,
	"103 chunked HTTP/1.0": "HTTP/1.0 103 x\r\nTransfer-Encoding: chunked\r\n\r\n" + signedAnswer,
}

// usable are answers whose final status is 200.
var usable = map[string]string{
	"plain":         signedAnswer,
	"no reason":     "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
	"100, 102, 103": "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 102 x\r\n\r\nHTTP/1.1 103 x\r\nContent-Length: 0\r\n\r\n" + signedAnswer,
}

// Guards against an answer that is taken for another one, or passed on, because its
// status is none.
func TestFaultStatusLines(t *testing.T) {
	for name, c := range unusable {
		_, err := ReadResponse(NewReader(strings.NewReader(c.answer)), http.MethodGet)
		var statusErr *StatusError
		assert.Assert(t, errors.As(err, &statusErr), "%s: %v", name, err)
		assert.Equal(t, statusErr.Status, c.value, name)
	}
	for name, answer := range unusableInterim {
		_, err := ReadResponse(NewReader(strings.NewReader(answer)), http.MethodGet)
		assert.Assert(t, err != nil, name)
	}
	for name, answer := range usable {
		resp, err := ReadResponse(NewReader(strings.NewReader(answer)), http.MethodGet)
		assert.NilError(t, err, name)
		assert.Equal(t, resp.StatusCode, http.StatusOK, name)
	}
}

// Guards against bytes that make the reader return a status that is no final one.
func FuzzStatusIsFinal(f *testing.F) {
	for _, c := range unusable {
		f.Add([]byte(c.answer))
	}
	for _, answer := range usable {
		f.Add([]byte(answer))
	}
	f.Add([]byte("HTTP/1.1   200 OK\r\n\r\n"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		resp, err := ReadResponse(NewReader(strings.NewReader(string(answer))), http.MethodGet)
		if err == nil {
			assert.Assert(t, resp.StatusCode >= 200 && resp.StatusCode <= 599, "%q", answer)
		}
	})
}

// answerRaw starts a server that writes the same bytes for every request, and closes
// the connection after them if once is set.
func answerRaw(t *testing.T, answer string, once bool) (url string, conns func() int) {
	opened := make(chan struct{}, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, buffered, err := w.(http.Hijacker).Hijack()
		assert.Check(t, err)
		opened <- struct{}{}
		defer c.Close()
		for err == nil {
			if _, err := io.WriteString(c, answer); err != nil || once {
				return
			}
			_, err = http.ReadRequest(buffered.Reader)
		}
	}))
	t.Cleanup(s.Close)
	return s.URL, func() int { return len(opened) }
}

// Guards against the same answers where net/http reads them, and against a connection
// that is used again after one.
func TestFaultStatusLinesOfTransport(t *testing.T) {
	for name, c := range unusable {
		url, conns := answerRaw(t, c.answer, false)
		client := &http.Client{Transport: NewTransport(&http.Transport{})}
		for range 2 {
			_, err := client.Get(url) //nolint:noctx // a test's own server
			assert.ErrorContains(t, err, c.value, name)
			var statusErr *StatusError
			if name != "20x" && name != "0200" { // net/http rejects these itself
				assert.Assert(t, errors.As(err, &statusErr), "%s: %v", name, err)
			}
		}
		assert.Equal(t, conns(), 2, name)
	}
	for name, answer := range usable {
		url, _ := answerRaw(t, answer, true)
		resp, err := (&http.Client{Transport: NewTransport(&http.Transport{})}).Get(url) //nolint:noctx // a test's own server
		assert.NilError(t, err, name)
		assert.Equal(t, resp.StatusCode, http.StatusOK, name)
		resp.Body.Close()
	}
	url, _ := answerRaw(t, strings.Repeat("HTTP/1.1 103 x\r\n\r\n", maxInterimResponses+1)+signedAnswer, true)
	_, err := (&http.Client{Transport: NewTransport(&http.Transport{})}).Get(url) //nolint:noctx // a test's own server
	assert.ErrorContains(t, err, "interim")
}
