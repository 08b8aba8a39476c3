package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/core/outcome"
	"github.com/anvilfork/anvilfork/core/quota"
)

// The naive policy: every VM connects to every target, sends each sub-request
// to a random replica, never hedges, and limits each workspace to its rate
// divided by the number of VMs. It tries another random replica when a target
// sheds or fails. It is the baseline of the measurements.
const (
	naiveTries      = 4
	naiveRetryPause = time.Millisecond
	naiveMaxBody    = 1 << 20
)

// naiveTier is a set of naive VMs.
type naiveTier struct {
	vms []*naiveVM
}

type naiveVM struct {
	tier     *naiveTier
	listener net.Listener
	server   *http.Server
	client   *http.Client
	config   chan *config.Config           // holds the current configuration
	buckets  chan map[string]*quota.Bucket // holds the token buckets
	seq      atomic.Uint64
}

func startNaive(n int, c *config.Config) (*naiveTier, error) {
	t := &naiveTier{}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.close()
			return nil, err
		}
		v := &naiveVM{
			tier: t, listener: l,
			client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
			config:  make(chan *config.Config, 1),
			buckets: make(chan map[string]*quota.Bucket, 1),
		}
		v.config <- c
		v.buckets <- v.newBuckets(c, n)
		mux := http.NewServeMux()
		mux.HandleFunc("GET /v1/addresses", v.addresses)
		mux.HandleFunc("POST /v1/services/{service}/query", v.query)
		v.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
		t.vms = append(t.vms, v)
		go v.server.Serve(l)
	}
	return t, nil
}

func (v *naiveVM) newBuckets(c *config.Config, n int) map[string]*quota.Bucket {
	buckets := make(map[string]*quota.Bucket)
	now := time.Now()
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		b := quota.NewBucket(now)
		b.SetLimit(now, quota.Limit{RatePerSecond: w.Rate / float64(n), Burst: max(w.Burst/float64(n), 1)}, fleet.RateShare{})
		buckets[w.Name] = b
	}
	return buckets
}

func (t *naiveTier) close() {
	for _, v := range t.vms {
		v.server.Close()
		v.client.CloseIdleConnections()
	}
}

// setConfig gives every VM a new text at once, which is better than any real fleet.
func (t *naiveTier) setConfig(c *config.Config) {
	for _, v := range t.vms {
		<-v.config
		v.config <- c
	}
}

func (t *naiveTier) urls() []string {
	var urls []string
	for _, v := range t.vms {
		urls = append(urls, "http://"+v.listener.Addr().String())
	}
	return urls
}

func (v *naiveVM) addresses(w http.ResponseWriter, _ *http.Request) {
	type address struct {
		URL  string `json:"url"`
		Zone string `json:"zone"`
	}
	var list []address
	for _, url := range v.tier.urls() {
		list = append(list, address{URL: url})
	}
	json.NewEncoder(w).Encode(map[string]any{"addresses": list, "ttl_ms": 5000})
}

func (v *naiveVM) admit(c *config.Config, r *http.Request) bool {
	hash := config.HashKey(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
	buckets := <-v.buckets
	defer func() { v.buckets <- buckets }()
	for i := range c.Workspaces {
		for _, k := range c.Workspaces[i].Keys {
			if k == hash {
				return buckets[c.Workspaces[i].Name].Take(time.Now()) == 0
			}
		}
	}
	return false
}

type naivePart struct {
	Group string `json:"group"`
	Body  []byte `json:"body"`
	ok    bool
	index int
}

func (v *naiveVM) query(w http.ResponseWriter, r *http.Request) {
	c := <-v.config
	v.config <- c
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, naiveMaxBody))
	service, ok := c.Service(r.PathValue("service"))
	if err != nil || !ok {
		naiveRefuse(w, http.StatusBadRequest, outcome.CodeBadRequest)
		return
	}
	if !v.admit(c, r) {
		naiveRefuse(w, http.StatusTooManyRequests, outcome.CodeRateExceeded)
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get("Anvilfork-Deadline-Ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	parts := v.fanOut(ctx, c, service, body)
	missing := []string{}
	answered := []naivePart{}
	for _, p := range parts {
		if p.ok {
			answered = append(answered, p)
		} else {
			missing = append(missing, p.Group)
		}
	}
	json.NewEncoder(w).Encode(map[string]any{
		"index_version": 1, "partition_map": service.PartitionMap, "parts": answered,
		"coverage": map[string]any{"groups": len(parts), "answered": len(answered), "missing": missing},
	})
}

func naiveRefuse(w http.ResponseWriter, status int, code outcome.Code) {
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]string{"code": string(code), "outcome": string(outcome.NotRun)})
}

func (v *naiveVM) fanOut(ctx context.Context, c *config.Config, s *config.Service, body []byte) []naivePart {
	parts := make([]naivePart, len(s.Shards))
	done := make(chan naivePart, len(s.Shards))
	for i := range s.Shards {
		go func() {
			p := naivePart{Group: s.Shards[i].Name, index: i}
			p.Body, p.ok = v.ask(ctx, c, s, &s.Shards[i], body)
			done <- p
		}()
	}
	for range s.Shards {
		p := <-done
		parts[p.index] = p
	}
	return parts
}

func (v *naiveVM) ask(ctx context.Context, c *config.Config, s *config.Service, g *config.Shard, body []byte) ([]byte, bool) {
	var usable []string
	for _, t := range g.Targets {
		if !c.ZoneOut(t.Zone) {
			usable = append(usable, t.Address)
		}
	}
	for try := 0; try < naiveTries && len(usable) > 0 && ctx.Err() == nil; try++ {
		if answer, ok := v.attempt(ctx, usable[rand.IntN(len(usable))], s, g, body); ok {
			return answer, true
		}
		time.Sleep(naiveRetryPause << try)
	}
	return nil, false
}

func (v *naiveVM) attempt(ctx context.Context, address string, s *config.Service, g *config.Shard, body []byte) ([]byte, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/search", bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	req.Header.Set("Anvilfork-Attempt", fmt.Sprintf("%p-%d", v, v.seq.Add(1)))
	req.Header.Set("Anvilfork-Index-Version", "1")
	req.Header.Set("Anvilfork-Partition-Map", strconv.FormatUint(s.PartitionMap, 10))
	req.Header.Set("Anvilfork-Group", g.Name)
	resp, err := v.client.Do(req)
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return answer, err == nil && resp.StatusCode == http.StatusOK
}
