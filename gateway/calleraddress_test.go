package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against callers that count as others with each port or IPv6 address that they
// use.
func TestCallerAddress(t *testing.T) {
	for remote, want := range map[string]string{
		"192.0.2.7:4242":                "192.0.2.7",
		"[::ffff:192.0.2.7]:1":          "192.0.2.7",
		"[2001:db8:0:1:2:3:4:5%eth0]:9": "2001:db8:0:1::",
		"192.0.2.7":                     "",
		"@":                             "",
	} {
		assert.Equal(t, callerAddress(remote), want, remote)
	}
}
