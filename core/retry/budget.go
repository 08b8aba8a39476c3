// Package retry limits the attempts beyond the first of each request. All VMs
// share the limit, and each one holds its share as a token bucket that requests
// fill and extra attempts empty.
package retry

// Settings are the limit for all VMs together: in any window, extra attempts at
// a service stay within Ratio times its requests plus Slack.
type Settings struct {
	Ratio float64
	Slack float64
}

const (
	// ratioUsed is the fraction of Ratio that is used. The remainder is for
	// requests that end in another window than their extra attempts.
	ratioUsed = 0.85
	// slackUsed is the fraction of Slack that is used. The remainder is for VMs
	// that start with new budgets.
	slackUsed = 0.7
	// hedgeReserve is the fraction of the token limit that is reserved for
	// retries: a retry replaces an attempt that failed, a hedge one that may
	// yet succeed.
	hedgeReserve = 0.25
)

// Budget is the share that one VM has of a service's limit.
type Budget struct {
	settings Settings
	tokens   float64
	limit    float64
}

// NewBudget returns the budget of one of the given number of VMs. It starts
// half full.
func NewBudget(settings Settings, vms int) *Budget {
	b := &Budget{}
	b.SetSettings(settings, vms)
	b.tokens = b.limit / 2
	return b
}

// SetSettings sets the settings and the number of VMs that share them. Tokens
// above the new limit are lost.
func (b *Budget) SetSettings(settings Settings, vms int) {
	b.settings = settings
	b.limit = max(settings.Slack*slackUsed/float64(max(vms, 1)), 1)
	b.tokens = min(b.tokens, b.limit)
}

// Earn adds the tokens that one request for the service earns.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.settings.Ratio*ratioUsed, b.limit) }

// TakeRetry takes a token for an attempt that replaces a failed one. It returns
// false if there is none.
func (b *Budget) TakeRetry() bool { return b.take(1) }

// TakeHedge takes a token for an attempt beside one that still runs. It returns
// false if none is left above the reserve for retries. A full bucket always permits
// a hedge: with a limit of one token there is no reserve.
func (b *Budget) TakeHedge() bool { return b.take(1 + hedgeReserve*b.limit) }

func (b *Budget) take(minTokens float64) bool {
	if b.tokens < min(minTokens, b.limit) {
		return false
	}
	b.tokens--
	return true
}
