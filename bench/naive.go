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

// The naive policy is the baseline of the comparison: each VM connects to all
// targets, sends each sub-request to a random replica, never hedges, and limits each
// workspace to its rate divided by the number of VMs. When a target sheds or fails,
// it tries another random replica.
const (
	naiveMaxAttempts  = 4
	naiveRetryBackoff = time.Millisecond // before the first retry, doubled for each further one
	naiveMaxBodyBytes = 1 << 20
)

// naiveTier is a set of naive VMs.
type naiveTier struct {
	vms []*naiveVM
}

// naiveVM is one VM of the naive policy. Each of its channels has a capacity of one and
// holds the value that it guards: a goroutine takes the value out to use it and puts
// it back.
type naiveVM struct {
	tier     *naiveTier
	listener net.Listener
	server   *http.Server
	client   *http.Client
	config   chan *config.Config           // current configuration
	buckets  chan map[string]*quota.Bucket // token buckets by workspace
	seq      atomic.Uint64
}

// startNaive starts n VMs with the configuration c.
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

// newBuckets gives each workspace the n-th part of its rate and burst, with a burst of
// at least 1.
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

// setConfig gives all VMs a new configuration at once, which is faster than any real
// fleet distributes it and thus favors the baseline. The buckets stay as they are.
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

// addresses serves the address list of all VMs.
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

// admit takes a token of the workspace whose key the request carries. It returns false
// for an unknown key or an empty bucket.
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

// naiveShardAnswer is the answer of one shard; ok is false when it gave none.
type naiveShardAnswer struct {
	Group string `json:"group"`
	Body  []byte `json:"body"`
	ok    bool
	index int
}

// query serves a query of a caller. Shards without an answer lower the coverage.
func (v *naiveVM) query(w http.ResponseWriter, r *http.Request) {
	c := <-v.config
	v.config <- c
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, naiveMaxBodyBytes))
	service, ok := c.Service(r.PathValue("service"))
	if err != nil || !ok {
		writeNaiveRefusal(w, http.StatusBadRequest, outcome.CodeBadRequest)
		return
	}
	if !v.admit(c, r) {
		writeNaiveRefusal(w, http.StatusTooManyRequests, outcome.CodeRateExceeded)
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get("Anvilfork-Deadline-Ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	parts := v.fanOut(ctx, c, service, body)
	missing := []string{}
	answered := []naiveShardAnswer{}
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

func writeNaiveRefusal(w http.ResponseWriter, status int, code outcome.Code) {
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]string{"code": string(code), "outcome": string(outcome.NotRun)})
}

// fanOut queries all shards of a service in parallel. The answers are in the order of
// the shards.
func (v *naiveVM) fanOut(ctx context.Context, c *config.Config, s *config.Service, body []byte) []naiveShardAnswer {
	parts := make([]naiveShardAnswer, len(s.Shards))
	done := make(chan naiveShardAnswer, len(s.Shards))
	for i := range s.Shards {
		go func() {
			p := naiveShardAnswer{Group: s.Shards[i].Name, index: i}
			p.Body, p.ok = v.queryShard(ctx, c, s, &s.Shards[i], body)
			done <- p
		}()
	}
	for range s.Shards {
		p := <-done
		parts[p.index] = p
	}
	return parts
}

// queryShard tries random replicas outside of zones that are out, with exponential
// backoff, until one answers.
func (v *naiveVM) queryShard(ctx context.Context, c *config.Config, s *config.Service, shard *config.Shard, body []byte) ([]byte, bool) {
	var usable []string
	for _, t := range shard.Targets {
		if !c.IsZoneOut(t.Zone) {
			usable = append(usable, t.Address)
		}
	}
	for attempt := 0; attempt < naiveMaxAttempts && len(usable) > 0 && ctx.Err() == nil; attempt++ {
		if answer, ok := v.sendAttempt(ctx, usable[rand.IntN(len(usable))], s, shard, body); ok {
			return answer, true
		}
		time.Sleep(naiveRetryBackoff << attempt)
	}
	return nil, false
}

// sendAttempt sends one attempt to a target.
func (v *naiveVM) sendAttempt(ctx context.Context, address string, s *config.Service, shard *config.Shard, body []byte) ([]byte, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/search", bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	req.Header.Set("Anvilfork-Attempt", fmt.Sprintf("%p-%d", v, v.seq.Add(1)))
	req.Header.Set("Anvilfork-Index-Version", "1")
	req.Header.Set("Anvilfork-Partition-Map", strconv.FormatUint(s.PartitionMap, 10))
	req.Header.Set("Anvilfork-Group", shard.Name)
	resp, err := v.client.Do(req)
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return answer, err == nil && resp.StatusCode == http.StatusOK
}
