// Package retry bounds the attempts beyond the first of each request. All VMs
// share the bound, so each keeps its part of it.
package retry

// Settings are the bound that all VMs have together: in any window, extra attempts
// at a service stay within Ratio times its requests plus Slack.
type Settings struct {
	Ratio float64
	Slack float64
}

const (
	// ratioUsed leaves a part of the ratio for requests that end in another
	// window than their extra attempts.
	ratioUsed = 0.85
	// slackUsed leaves a part of the slack for VMs that start with new budgets.
	slackUsed = 0.7
	// hedgeReserve is the part of the saved tokens that only retries may use: a
	// retry replaces an attempt that failed, a hedge one that may yet succeed.
	hedgeReserve = 0.25
)

// Budget is the part of one VM for one service.
type Budget struct {
	terms  Settings
	tokens float64
	limit  float64
}

// NewBudget returns the budget of one of vms VMs. It starts half full.
func NewBudget(terms Settings, vms int) *Budget {
	b := &Budget{}
	b.Divide(terms, vms)
	b.tokens = b.limit / 2
	return b
}

// Divide sets the terms and the number of VMs that share them.
func (b *Budget) Divide(terms Settings, vms int) {
	b.terms = terms
	b.limit = max(terms.Slack*slackUsed/float64(max(vms, 1)), 1)
	b.tokens = min(b.tokens, b.limit)
}

// Earn notes one request for the service.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.terms.Ratio*ratioUsed, b.limit) }

// TakeRetry spends a token on an attempt that replaces a failed one.
func (b *Budget) TakeRetry() bool { return b.take(1) }

// TakeHedge spends a token on an attempt beside one that still runs.
func (b *Budget) TakeHedge() bool { return b.take(1 + hedgeReserve*b.limit) }

func (b *Budget) take(least float64) bool {
	if b.tokens < min(least, b.limit) {
		return false
	}
	b.tokens--
	return true
}
