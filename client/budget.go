package client

const (
	hedgesPerRequest = 0.1 // hedged requests that each query adds to the budget
	maxHedgeTokens   = 10  // hedged requests that the budget holds; it starts full
)

// hedgeBudget is a token bucket that bounds the load of hedged requests: when the
// whole tier is slow, most queries are not sent twice. One token is one hedged
// request.
type hedgeBudget struct{ tokens float64 }

// earnHedge adds hedgesPerRequest tokens to the budget, up to maxHedgeTokens.
func (c *Client) earnHedge() {
	b := <-c.hedges
	b.tokens = min(b.tokens+hedgesPerRequest, maxHedgeTokens)
	c.hedges <- b
}

// spendHedge takes a token and reports whether there was one.
func (c *Client) spendHedge() bool {
	b := <-c.hedges
	ok := b.tokens >= 1
	if ok {
		b.tokens--
	}
	c.hedges <- b
	return ok
}
