package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	refundShards     = 10
	searchersOfShard = 3
	refundGrey       = 3   // shards whose searchers reject requests
	refundShed       = 0.6 // of the requests
	refundFor        = 9 * time.Second
	refundLimit      = 81  // requests per second, and burst, of the tenant
	refundUsual      = 50  // requests per second that it sends at first
	refundHot        = 375 // and later
	refundCalm       = 5 * time.Second
	refundHotTime    = 6500 * time.Millisecond
)

// playRefund has a tenant that sends more than its rate, from a zone without searchers
// of the shards. With trouble, the searchers of some shards reject requests.
func playRefund(p *play) error {
	zones := []string{"a", "a", "b", "b", "c", "c", "d", "d"}
	if err := p.setUp(zones, 3); err != nil {
		return err
	}
	ran := newFirstRuns()
	var shards, services []string
	var searchers []*searcher
	for i := range refundShards {
		service := fmt.Sprintf("shard%d", i)
		shards = append(shards, service)
		services = append(services, fmt.Sprintf(`{"Name":%q,"HealthPath":"/health","MaxConnections":26,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":0.0}`, service))
		for k, zone := range []string{"a", "b", "c"}[:searchersOfShard] {
			s, err := newSearcher(p.st, p.rec, p.fleet.network+".240:0", fmt.Sprintf("i-%d-%d", i, k), service, zone, 2, 12, 8*time.Millisecond, ran.add)
			if err != nil {
				return err
			}
			searchers = append(searchers, s)
		}
	}
	p.st.put("op/config", fmt.Sprintf(`{"Version":7,"Routes":[{"Name":"r-1","Host":"h.example","Prefix":"/sweep/","Kind":"idempotent","TimeoutMs":1000,"TargetLatencyMs":100,"Priority":1,"Gather":["%s"],"MaxAttempts":2,"TopK":10,"MinShardShare":0.89,"Public":false}],
"Services":[%s],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":5000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"t1","ApiKeys":["key1"],"Priority":1,"RatePerS":%d,"Burst":%d}]}`, strings.Join(shards, `","`), strings.Join(services, ","), refundLimit, refundLimit))
	if err := p.fleet.startAll(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	send := func(name string, perSecond int, length time.Duration) []answered {
		return p.sendSteadily([]string{"d"}, perSecond, length, 1, func(i int) request {
			id := fmt.Sprintf("%s%d", name, i)
			return request{method: http.MethodGet, path: "/sweep/" + id, key: "key1", id: id, deadline: time.Second}
		})
	}
	answers := send("usual", refundUsual, refundCalm)
	if p.trouble {
		p.rec.add("the searchers of %d shards of %d begin to reject %.0f%% of their requests", refundGrey, refundShards, refundShed*100)
		for _, s := range searchers[:refundGrey*searchersOfShard] {
			s.reject(refundShed)
			time.AfterFunc(refundFor, func() { s.reject(0) })
		}
	}
	answers = append(answers, send("hot", refundHot, refundHotTime)...)
	return p.checkQuota(answers, ran.times(), refundLimit, refundLimit)
}
