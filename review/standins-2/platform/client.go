package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	host = "search.example"
	key  = "k1" // of the one tenant
)

var lastRequest atomic.Int64

// newRequestID returns the id of one client attempt.
func newRequestID() string { return fmt.Sprintf("r%06d", lastRequest.Add(1)) }

// answer is what a client got.
type answer struct {
	status int // 0 if the connection ended without a whole answer
	sealed bool
	text   string
}

// call makes one attempt with a deadline.
func call(client *http.Client, m *machine, method, path, id string, body []byte, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.front()+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("X-Anvilfork-Request-Id", id)
	req.Header.Set("X-Anvilfork-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+key)
	resp, err := client.Do(req)
	if err != nil {
		return answer{text: err.Error()}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{text: err.Error()}
	}
	return answer{status: resp.StatusCode, sealed: resp.Header.Get("X-Anvilfork-Response-Seal") != "", text: string(b)}
}

// newClient returns a client with connections of its own. Without keep, each attempt
// has a new one.
func newClient(keep bool) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: !keep, MaxIdleConnsPerHost: 1, DisableCompression: true}}
}
