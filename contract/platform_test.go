package contract

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/config"
	"github.com/anvilfork/anvilfork/standin"
)

const maxDocumentBytes = 1 << 20

// platformClient calls the platform under test. fake is nil if the platform is given
// by the flags.
type platformClient struct {
	url  string
	fake *standin.Platform
}

type vmList struct {
	VMs []standin.VMEntry `json:"vms"`
}

func newPlatformClient(t *testing.T) *platformClient {
	if *platformURL != "" {
		return &platformClient{url: *platformURL}
	}
	fake := standin.NewPlatform()
	t.Cleanup(fake.Close)
	fake.SetDocument(4, minimalDocument(4))
	fake.SetVMs([]standin.VMEntry{{ID: "vm0", Zone: "a", Peer: "http://192.0.2.1:7401", Caller: "http://192.0.2.1:7402", State: "live"}})
	return &platformClient{url: fake.URL(), fake: fake}
}

func minimalDocument(revision uint64) []byte {
	return []byte(fmt.Sprintf("revision = %d\n[fleet]\nmax_vms = 4\n[[zone]]\nname = \"a\"\n", revision))
}

func (p *platformClient) config(t *testing.T, after uint64) answer {
	return call(t, http.MethodGet, fmt.Sprintf("%s/v1/config?after=%d&wait_ms=%d", p.url, after, watchWait.Milliseconds()), nil, "")
}

// revision returns the revision of the document in an answer. It fails the test if
// the document is not valid.
func revision(t *testing.T, a answer) uint64 {
	t.Helper()
	assert.Equal(t, a.status, http.StatusOK)
	assert.Assert(t, len(a.body) <= maxDocumentBytes)
	c, err := config.Parse(a.body)
	assert.NilError(t, err)
	return c.Revision
}

// Guards against platforms, including the fake, that differ from docs/api.md in what
// the configuration watch and the VM list rely on.
func TestPlatformContract(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault bool // the case injects a fault and needs the fake
		check func(t *testing.T, p *platformClient)
	}{
		{"a first read answers at once", false, func(t *testing.T, p *platformClient) {
			a := p.config(t, 0)
			assert.Assert(t, revision(t, a) > 0 && a.elapsed < watchWait, "it took %v", a.elapsed)
		}},
		{"a watch without a change ends after its wait", false, func(t *testing.T, p *platformClient) {
			a := p.config(t, revision(t, p.config(t, 0)))
			assert.Equal(t, a.status, http.StatusNotModified)
			assert.Assert(t, a.elapsed >= watchWait, "it took %v", a.elapsed)
		}},
		{"a reader with a later revision gets the current one", false, func(t *testing.T, p *platformClient) {
			current := revision(t, p.config(t, 0))
			assert.Equal(t, revision(t, p.config(t, current+1)), current)
		}},
		{"the list of VMs", false, func(t *testing.T, p *platformClient) {
			a := call(t, http.MethodGet, p.url+"/v1/vms", nil, "")
			assert.Equal(t, a.status, http.StatusOK)
			for _, vm := range decode[vmList](t, a).VMs {
				assert.Assert(t, vm.ID != "" && vm.Zone != "" && (vm.State == "live" || vm.State == "leaving"), "%v", vm)
				for _, base := range []string{vm.Peer, vm.Caller} {
					u, err := url.Parse(base)
					assert.NilError(t, err)
					assert.Assert(t, strings.HasPrefix(u.Scheme, "http") && u.Port() != "" && u.Path == "", "%s", base)
				}
			}
		}},
		{"a change ends the watch", true, func(t *testing.T, p *platformClient) {
			time.AfterFunc(watchWait/4, func() { p.fake.SetDocument(5, minimalDocument(5)) })
			a := p.config(t, 4)
			assert.Equal(t, revision(t, a), uint64(5))
			assert.Assert(t, a.elapsed < watchWait, "it took %v", a.elapsed)
		}},
		{"a service that is down answers neither", true, func(t *testing.T, p *platformClient) {
			p.fake.SetDown(true)
			assert.Equal(t, p.config(t, 0).status, http.StatusServiceUnavailable)
			assert.Equal(t, call(t, http.MethodGet, p.url+"/v1/vms", nil, "").status, http.StatusServiceUnavailable)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlatformClient(t)
			if c.fault && p.fake == nil {
				t.Skip("needs the fake platform")
			}
			c.check(t, p)
		})
	}
}
