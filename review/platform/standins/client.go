package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var requestSeq atomic.Int64

// request is one kind of request of a client.
type request struct {
	method, path, key string
	deadline          time.Duration
}

// answer is the end of one attempt.
type answer struct {
	id         string
	sent       time.Duration
	ended      time.Duration
	status     int // zero without a whole answer
	header     http.Header
	body       []byte
	cut        bool // the connection ended after the request was sent and before the answer
	kept       bool // sent on a connection that had carried a request before
	retryAfter time.Duration
	machine    string // its address
}

// client is a stand-in of a client: it asks the directory, keeps a connection and
// sends one request at a time.
type client struct {
	name    string
	rec     *recorder
	zone    string
	dirs    []string // addresses of the directory
	host    string
	rng     *rand.Rand
	addrs   []string
	until   time.Time
	conn    net.Conn
	br      *bufio.Reader
	addr    string
	used    bool
	answers func(answer)
}

// resolve asks the directory when the last answer has run out.
func (c *client) resolve() {
	if time.Now().Before(c.until) {
		return
	}
	for range 3 {
		d := c.dirs[c.rng.Intn(len(c.dirs))]
		hc := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := hc.Get("http://" + d + "/v1/resolve?Name=" + c.host + "&Region=r1&Zone=" + c.zone)
		if err != nil {
			continue
		}
		var a struct {
			Addrs []string `json:"addrs"`
			TTL   float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&a)
		resp.Body.Close()
		if err != nil || len(a.Addrs) == 0 {
			continue
		}
		c.addrs, c.until = a.Addrs, time.Now().Add(time.Duration(min(a.TTL, 5)*float64(time.Second)))
		found := false
		for _, x := range c.addrs {
			found = found || x == c.addr
		}
		if !found {
			c.drop()
		}
		return
	}
}

func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send makes one attempt.
func (c *client) send(r request) answer {
	a := answer{id: fmt.Sprintf("%016x", requestSeq.Add(1)+0x1000000)}
	c.resolve()
	if c.conn == nil {
		if len(c.addrs) == 0 {
			return a
		}
		c.addr = c.addrs[c.rng.Intn(len(c.addrs))]
		conn, err := net.DialTimeout("tcp4", c.addr, time.Second)
		if err != nil {
			return a
		}
		c.conn, c.br, c.used = conn, bufio.NewReader(conn), false
	}
	a.kept = c.used
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Anvilfork-Request-Id: %s\r\nX-Anvilfork-Deadline-Ms: %d\r\n", r.method, r.path, c.host, a.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", r.key)
	}
	if r.method == http.MethodPost {
		b.WriteString("Content-Length: 2\r\n\r\nhi")
	} else {
		b.WriteString("\r\n")
	}
	a.sent = c.rec.add(event{kind: "sent", id: a.id, where: c.addr, detail: fmt.Sprintf("%s %s key=%s kept=%v", r.method, r.path, r.key, a.kept)})
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		c.end(&a, err)
		return a
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: r.method})
	if err == nil {
		a.body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		c.end(&a, err)
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	c.used = true
	if resp.Close {
		c.drop()
	}
	a.ended = c.rec.add(event{kind: "answered", id: a.id, where: c.addr, detail: fmt.Sprintf("%d seal=%s %s", a.status, resp.Header.Get("X-Anvilfork-Response-Seal"), short(a))})
	if c.answers != nil {
		c.answers(a)
	}
	return a
}

// short returns the body of a failure.
func short(a answer) string {
	if a.status < 300 {
		return ""
	}
	return string(a.body)
}

func (c *client) end(a *answer, err error) {
	what := "cut"
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		what = "deadline"
	}
	a.cut = what == "cut"
	a.ended = c.rec.add(event{kind: what, id: a.id, where: c.addr, detail: err.Error()})
	c.drop()
	c.until = time.Time{}
	if c.answers != nil {
		c.answers(*a)
	}
}

// loop sends requests until stop is closed: one at a time, with a pause of about
// think between them, and one retry after a promise or for an idempotent request.
func (c *client) loop(stop <-chan struct{}, think time.Duration, next func() request) {
	for {
		select {
		case <-stop:
			c.drop()
			return
		case <-time.After(time.Duration(float64(think) * (0.5 + c.rng.Float64()))):
		}
		r := next()
		begun := time.Now()
		a := c.send(r)
		left := r.deadline - time.Since(begun)
		promise := a.status == 429 || a.status == 503
		if left <= 0 || a.status >= 200 && a.status < 300 || a.status >= 400 && a.status < 500 && !promise || r.method == http.MethodPost && !promise {
			continue
		}
		time.Sleep(min(a.retryAfter, left/3))
		c.drop()
		r.deadline = r.deadline - time.Since(begun)
		if r.deadline > 10*time.Millisecond {
			c.send(r)
		}
	}
}

// upload makes one attempt with a body of size bytes, sent in equal pieces over the
// given time on a new connection.
func (c *client) upload(path, key string, size int, over, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", requestSeq.Add(1)+0x1000000)}
	c.resolve()
	c.drop()
	if len(c.addrs) == 0 {
		return a
	}
	c.addr = c.addrs[c.rng.Intn(len(c.addrs))]
	conn, err := net.DialTimeout("tcp4", c.addr, time.Second)
	if err != nil {
		return a
	}
	c.conn, c.br, c.used = conn, bufio.NewReader(conn), false
	a.sent = c.rec.add(event{kind: "sent", id: a.id, where: c.addr, detail: fmt.Sprintf("POST %s key=%s body of %d bytes over %v", path, key, size, over)})
	_ = conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Anvilfork-Request-Id: %s\r\nX-Anvilfork-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n",
		path, c.host, a.id, deadline.Milliseconds(), key, size)
	const pieces = 64
	begun := time.Now()
	_, err = conn.Write([]byte(head))
	for i := 0; i < pieces && err == nil; i++ {
		time.Sleep(time.Until(begun.Add(over * time.Duration(i) / pieces)))
		_, err = conn.Write(make([]byte, size/pieces))
	}
	// An answer may have come before the body was sent.
	resp, readErr := http.ReadResponse(c.br, &http.Request{Method: http.MethodPost})
	if readErr == nil {
		a.body, readErr = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if readErr != nil {
		c.end(&a, readErr)
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	a.ended = c.rec.add(event{kind: "answered", id: a.id, where: c.addr, detail: fmt.Sprintf("%d seal=%s %s", a.status, resp.Header.Get("X-Anvilfork-Response-Seal"), short(a))})
	if c.answers != nil {
		c.answers(a)
	}
	return a
}
