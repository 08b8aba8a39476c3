package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/daemon"
)

// startWithoutPlatform starts a VM that cannot reach a platform.
func startWithoutPlatform(t *testing.T) *daemon.VM {
	t.Helper()
	const anyAddress = "127.0.0.1:0"
	vm, err := daemon.Start(daemon.Settings{
		VM: "one", Zone: "a", PeerListen: anyAddress, CallerListen: anyAddress, AdminListen: anyAddress, PlatformURL: "http://127.0.0.1:1",
	}, zerolog.Nop())
	assert.NilError(t, err)
	t.Cleanup(vm.Kill)
	return vm
}

// dialAndSend opens a connection and sends text without waiting for an answer.
func dialAndSend(t *testing.T, url, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	go io.WriteString(conn, text)
	return conn
}

// Guards against clients that occupy the caller or the admin interface with
// oversized or slow requests.
func TestFaultHostileSender(t *testing.T) {
	vm := startWithoutPlatform(t)
	for _, c := range []struct{ name, url, method, path string }{
		{"caller", vm.CallerURL(), "POST", "/v1/services/stock/query"},
		{"admin", vm.AdminURL(), "PUT", "/v1/loglevel"},
	} {
		for _, s := range []struct {
			name, part string
			within     time.Duration
			want       string // start of the answer; empty when the connection closes without one
		}{
			{"long header", "Long: " + strings.Repeat("x", 32<<10) + "\r\n\r\n", waitTimeout, "HTTP/1.1 431"},
			{"long body", fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n{\"level\":\"error\"%s}", 2<<20, strings.Repeat(" ", 2<<20-len(`{"level":"error"}`))), waitTimeout, "HTTP/1.1 413"},
			{"slow header", "Slow: ", 8 * time.Second, ""},
			{"slow body", "Content-Type: application/json\r\nContent-Length: 9\r\n\r\n{", 13 * time.Second, "HTTP/1.1 400"},
		} {
			t.Run(c.name+" "+s.name, func(t *testing.T) {
				t.Parallel()
				start := time.Now()
				conn := dialAndSend(t, c.url, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: vm\r\n%s", c.method, c.path, s.part))
				assert.NilError(t, conn.SetReadDeadline(start.Add(s.within)))
				line, err := bufio.NewReader(conn).ReadString('\n')
				assert.Assert(t, strings.HasPrefix(line, s.want) && (s.want != "" || err == io.EOF), "%q %v", line, err)
			})
		}
	}
}

// Guards against an admin interface that accepts any number of connections, and
// against idle connections that lock operators out permanently.
func TestFaultAdminConnectionFlood(t *testing.T) {
	const maxConnections = 64
	vm := startWithoutPlatform(t)
	for range maxConnections {
		dialAndSend(t, vm.AdminURL(), "GET /metrics HTTP/1.1\r\n")
	}
	get := func(timeout time.Duration) error {
		resp, err := (&http.Client{Timeout: timeout}).Get(vm.AdminURL() + "/metrics")
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	assert.ErrorContains(t, get(time.Second), "Client.Timeout")
	assert.NilError(t, get(waitTimeout))
}
