package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	goneDeadline  = time.Second // of a client attempt
	goneLate      = 500 * time.Millisecond
	fewLate       = 10                       // rule GONE: more than a few
	idleReuse     = 15 * time.Second * 4 / 5 // for which clients use an idle connection
	hotFactor     = 7.5                      // of a hot tenant
	shiftedShare  = 0.683                    // of a zone's clients that move
	usualPerS     = 225.0                    // requests of all tenants
	hotTenants    = 3                        // the large ones
	hotShare      = 0.6                      // of the requests, that the large tenants send usually
	quotaFactor   = 1.6                      // rate of a tenant, as a multiple of its usual requests
	farZoneShare  = 0.72                     // of the requests, that clients of z0 send usually
	hotTime       = 19500 * time.Millisecond // three surges of 6.5 s
	afterHot      = 14 * time.Second
	usualTime     = 4 * time.Second
	tickInterval  = 5 * time.Millisecond
	smallTenants  = 3
	tenantsInAll  = hotTenants + smallTenants
	maxDescriptor = 4100
)

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	in     *bufio.Reader
	usedAt time.Time
}

// goneClients is the traffic of the case: requests of several tenants, each with one
// retry after a refusal, on a new connection.
type goneClients struct {
	pool   *pool
	mu     guard
	idle   map[*machine][]*clientConn
	closed map[string]time.Time // when the client closed the connection of an attempt without an answer
	sentTo map[string]*machine
	ends   map[string]int
	dials  int
}

func tenantKey(t int) string { return fmt.Sprintf("key-%d", t) }

// playGone lets the large tenants send many times their usual while clients move to a
// zone with one machine.
func playGone(p *play) (bool, error) {
	c := poolConfig("idempotent", 2, service{MaxConnections: 110, WarmupS: 3})
	c.Routes[0].TimeoutMs, c.Routes[0].TargetLatencyMs = 1000, 100
	c.Tenants = nil
	for t := range tenantsInAll {
		usual := usualPerS * hotShare / hotTenants
		if t >= hotTenants {
			usual = usualPerS * (1 - hotShare) / smallTenants
		}
		c.Tenants = append(c.Tenants, tenant{Name: fmt.Sprintf("t%d", t), ApiKeys: []string{tenantKey(t)}, Priority: 1, RatePerS: usual * quotaFactor, Burst: usual * quotaFactor})
	}
	var all []searcherConfig
	for i := range 6 {
		all = append(all, searcherConfig{service: poolService, zone: fmt.Sprintf("z%d", i%2), slots: 3, queue: 12, maxConns: 110, work: 8 * time.Millisecond})
	}
	o, err := newPool(p, c, 4, all, nil)
	if err != nil {
		return false, err
	}
	defer o.close()
	g := &goneClients{mu: newGuard(), pool: o, idle: make(map[*machine][]*clientConn), closed: make(map[string]time.Time), sentTo: make(map[string]*machine), ends: make(map[string]int)}
	g.send(usualTime, false)
	if p.trouble {
		p.record.say("clients move to the zone with one machine, and %d tenants send %v times their usual", hotTenants, hotFactor)
	}
	g.send(hotTime, p.trouble)
	p.record.say("the clients are back, and send as usual")
	g.send(afterHot, false)
	time.Sleep(2 * time.Second)

	o.mu.Lock()
	defer o.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	late := make(map[string]bool)
	longest := time.Duration(0)
	for _, a := range o.seen {
		at, gone := g.closed[a.request]
		if !gone || a.at.Sub(at) <= goneLate || !g.sentTo[a.request].inTouch(a.at) {
			continue
		}
		p.record.add("%s reached %s %.3f s after its client had closed", a.request, a.searcher.id, a.at.Sub(at).Seconds())
		late[a.request] = true
		longest = max(longest, a.at.Sub(at))
	}
	p.record.say("attempts by end: %v; %d connections were opened", g.ends, g.dials)
	p.record.say("%d requests reached searchers over half a second after their clients had closed, the latest %.1f s; a few (%d) are allowed", len(late), longest.Seconds(), fewLate)
	return len(late) > fewLate, nil
}

// send sends requests for a time, as usual or with the surge.
func (g *goneClients) send(d time.Duration, surge bool) {
	var due [tenantsInAll]float64
	last, end := time.Now(), time.Now().Add(d)
	for now := last; now.Before(end); now = time.Now() {
		for t := range due {
			perS := usualPerS * (1 - hotShare) / smallTenants
			if t < hotTenants {
				perS = usualPerS * hotShare / hotTenants
				if surge {
					perS *= hotFactor
				}
			}
			for due[t] += perS * now.Sub(last).Seconds(); due[t] >= 1; due[t]-- {
				go g.request(t, surge)
			}
		}
		last = now
		time.Sleep(tickInterval)
	}
}

// request makes a request of a tenant, and one retry after a refusal.
func (g *goneClients) request(t int, surge bool) {
	far := rand.Float64() < farZoneShare
	if surge && far && rand.Float64() < shiftedShare {
		far = false
	}
	var near []*machine // machine i is in zone i%2; only the last one serves z1
	all := g.pool.fleet.machines
	near = []*machine{all[1]}
	if far {
		near = []*machine{all[0], all[2]}
	}
	m := near[rand.Intn(len(near))]
	if g.attempt(t, m, false) {
		g.attempt(t, m, true)
	}
}

// attempt makes one attempt, and reports whether it was refused.
func (g *goneClients) attempt(t int, m *machine, fresh bool) (refused bool) {
	id := newRequestID()
	end := func(how string) {
		g.pool.play.record.add("%s %s", id, how)
		g.mu.Lock()
		g.ends[how]++
		g.mu.Unlock()
	}
	deadline := time.Now().Add(goneDeadline)
	g.mu.Lock()
	g.sentTo[id] = m
	g.mu.Unlock()
	c := g.take(m, fresh)
	if c == nil {
		d, err := net.DialTimeout("tcp4", m.front(), goneDeadline)
		if err != nil {
			end("no connection")
			return false
		}
		g.mu.Lock()
		g.dials++
		g.mu.Unlock()
		c = &clientConn{Conn: d, in: bufio.NewReaderSize(d, 1024)}
	}
	g.pool.play.record.add("%s of tenant %d sent to %s", id, t, m.name)
	_ = c.SetDeadline(deadline)
	_, err := fmt.Fprintf(c, "GET %s%s HTTP/1.1\r\nHost: %s\r\nX-Anvilfork-Request-Id: %s\r\nX-Anvilfork-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n\r\n",
		poolPrefix, id, host, id, time.Until(deadline).Milliseconds(), tenantKey(t))
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.in, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		g.mu.Lock()
		_ = c.Close()
		g.closed[id] = time.Now()
		g.mu.Unlock()
		how := "closed by the machine"
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			how = "left at its deadline"
		}
		end(how)
		return false
	}
	end(fmt.Sprint("answered ", resp.StatusCode))
	if resp.Close || strings.EqualFold(resp.Header.Get("Connection"), "close") {
		_ = c.Close()
	} else {
		g.mu.Lock()
		c.usedAt = time.Now()
		g.idle[m] = append(g.idle[m], c)
		g.mu.Unlock()
	}
	return resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
}

// take returns an idle connection, the last used first, or nil if there is none or a
// fresh one is wanted. It closes those that were idle for too long.
func (g *goneClients) take(m *machine, fresh bool) *clientConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := g.idle[m]
	for len(all) > 0 && time.Since(all[0].usedAt) > idleReuse {
		_ = all[0].Close()
		all = all[1:]
	}
	var c *clientConn
	if !fresh && len(all) > 0 {
		c, all = all[len(all)-1], all[:len(all)-1]
	}
	g.idle[m] = all
	return c
}
