package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/core/outcome"
)

// Guards against a VM that serves requests or address lists although it cannot
// know of withdrawn keys, for example with a View from before a pause.
func TestClosed(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	c := &config.Config{}
	for _, tc := range []struct {
		name string
		view *View
		want outcome.Code
	}{
		{"no view", nil, outcome.CodeNotReady},
		{"no document", &View{Serving: true}, outcome.CodeNotReady},
		{"starting", &View{Config: c}, outcome.CodeNotReady},
		{"fenced", &View{Config: c, Serving: true, Fenced: true}, outcome.CodeFenced},
		{"fenced since the view was made", &View{Config: c, Serving: true, FenceAt: now.Add(-1)}, outcome.CodeFenced},
		{"serving", &View{Config: c, Serving: true, FenceAt: now}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			refusal := tc.view.Unavailable(now)
			if tc.want == "" {
				assert.Assert(t, refusal == nil, "%v", refusal)
				return
			}
			assert.Equal(t, refusal.Code, tc.want)
			assert.Equal(t, refusal.Outcome, outcome.NotRun)
		})
	}
}
