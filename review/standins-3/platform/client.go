package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	connectTimeout = time.Second
	clientsOfZone  = 8 // that sendSteadily uses
)

// answered is the end of a client attempt.
type answered struct {
	id, front  string
	status     int // zero if the connection failed
	err        error
	sent, done time.Time
	retryAfter time.Duration
	body       []byte
}

// promisesNotRun reports whether the status says that the request has not run and never
// will.
func (a *answered) promisesNotRun() bool {
	return a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
}

// client sends requests over kept connections to the front addresses that the directory
// names.
type client struct {
	p    *play
	zone string
	http *http.Client

	owner owner // of what follows
	addrs []string
	until time.Time
}

func newClient(p *play, zone string) *client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &client{owner: newOwner(), p: p, zone: zone, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 32, IdleConnTimeout: 8 * time.Second, DisableCompression: true,
	}}}
}

// address returns an address of the directory's answer, which is kept for its ttl.
func (c *client) address() (address string, err error) {
	c.owner.do(func() { address, err = c.chooseAddress() })
	return address, err
}

func (c *client) chooseAddress() (string, error) {
	if time.Now().After(c.until) || len(c.addrs) == 0 {
		if addrs, ttl, err := c.resolve(); err == nil {
			c.addrs, c.until = addrs, time.Now().Add(ttl)
		} else if len(c.addrs) == 0 {
			return "", err
		}
	}
	return c.addrs[rand.IntN(len(c.addrs))], nil
}

// resolve asks up to three VMs where to connect.
func (c *client) resolve() ([]string, time.Duration, error) {
	vms := c.p.fleet.vms
	order := rand.Perm(len(vms))
	near := func(i int) bool { return vms[i].zone == c.zone }
	for k := range order { // nearest first
		if near(order[k]) {
			order[0], order[k] = order[k], order[0]
			break
		}
	}
	err := fmt.Errorf("no VM")
	for _, i := range order[:min(3, len(order))] {
		var answer struct {
			Addrs []string `json:"addrs"`
			TTL   float64  `json:"ttl_s"`
		}
		if err = c.ask(vms[i], &answer); err == nil && len(answer.Addrs) > 0 {
			return answer.Addrs, time.Duration(min(answer.TTL, 5) * float64(time.Second)), nil
		}
	}
	return nil, 0, fmt.Errorf("no directory answers: %w", err)
}

func (c *client) ask(v *vm, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/resolve?Name=h.example&Region=th-central&Zone=%s", v.ip, directoryPort, c.zone), nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

// request is what a client sends.
type request struct {
	method, path, key, id string
	body                  string
	deadline              time.Duration
}

// send sends a request to an address and reads the whole answer.
func (c *client) send(front string, r request) answered {
	a := answered{id: r.id, front: front, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+front+r.path, strings.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	if r.body == "" {
		req.Body = http.NoBody
	}
	req.GetBody = nil // no second sending by the library
	req.Host = "h.example"
	req.Header.Set(headerRequest, r.id)
	req.Header.Set(headerDeadline, strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.key != "" {
		req.Header.Set("Authorization", "Token "+r.key)
	}
	c.p.rec.add("client sends %s %s %s to %s", r.method, r.path, r.id, front)
	resp, err := c.http.Do(req)
	if err == nil {
		defer resp.Body.Close()
		a.body, err = io.ReadAll(resp.Body)
		if err == nil {
			a.status = resp.StatusCode
			if s, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); parseErr == nil {
				a.retryAfter = time.Duration(s * float64(time.Second))
			}
		}
	}
	a.err, a.done = err, time.Now()
	c.p.rec.add("client gets %d for %s from %s after %d ms (%v)", a.status, r.id, front, a.done.Sub(a.sent).Milliseconds(), err)
	return a
}

// sendSteadily sends requests at a rate, so many at a time, from clients of all zones and
// returns the ends of all.
func (p *play) sendSteadily(zones []string, perSecond int, length time.Duration, burst int, next func(i int) request) []answered {
	var clients []*client
	for range clientsOfZone {
		for _, z := range distinct(zones) {
			clients = append(clients, newClient(p, z))
		}
	}
	ends := newOwner()
	var all []answered
	var pending sync.WaitGroup
	begin := time.Now()
	for i := 0; ; i++ {
		due := begin.Add(time.Duration(i/burst*burst) * time.Second / time.Duration(perSecond))
		if due.Sub(begin) >= length {
			break
		}
		time.Sleep(time.Until(due))
		pending.Add(1)
		go func() {
			defer pending.Done()
			c := clients[i%len(clients)]
			front, err := c.address()
			if err != nil {
				return
			}
			a := c.send(front, next(i))
			ends.do(func() { all = append(all, a) })
		}()
	}
	pending.Wait()
	return all
}
