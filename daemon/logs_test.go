package daemon_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/daemon"
)

// Guards against keys in the log, also at level debug, and against lines without
// an event name.
func TestLogsHoldNoKeys(t *testing.T) {
	const adminKey = "an-admin-key-of-the-test"
	f := startFleet(t, 1, 1)
	lines := make(logLines, 4096)
	vm, err := daemon.Start(daemon.Settings{
		VM: "logged", Zone: "a", PeerListen: "127.0.0.1:0", CallerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		PlatformURL: f.platform.URL(), AdminKey: adminKey,
	}, zerolog.New(lines).Level(zerolog.DebugLevel))
	assert.NilError(t, err)
	t.Cleanup(vm.Kill)
	for _, key := range []string{adminKey, "a-wrong-admin-key"} {
		for _, url := range []string{vm.AdminURL() + "/v1/dump", vm.CallerURL() + "/v1/services/stock/query"} {
			req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("mat"))
			assert.NilError(t, err)
			req.Header.Set("Authorization", "Bearer "+key)
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			resp.Body.Close()
		}
	}
	f.platform.SetDocument(2, []byte("revision = 2\nbad = 1\n"))
	timeout := time.After(waitTimeout)
	for rejected := false; !rejected; {
		select {
		case line := <-lines:
			assertLogLine(t, string(line))
			rejected = strings.Contains(string(line), "text_rejected")
		case <-timeout:
			t.Fatal("the rejected document was not logged")
		}
	}
}

func assertLogLine(t *testing.T, line string) {
	t.Helper()
	assert.Assert(t, strings.Contains(line, `"event":`), line)
	for _, secret := range []string{"admin-key", testKey} {
		assert.Assert(t, !strings.Contains(line, secret), line)
	}
}

// Guards against a log level that silences the process by mistake.
func TestLogLevelRefused(t *testing.T) {
	f := startFleet(t, 1, 1)
	for _, c := range []struct {
		body   string
		status int
	}{
		{`{"level":"error"}`, http.StatusOK},
		{`{"level":"info"}`, http.StatusOK},
		{`{"level":""}`, http.StatusBadRequest},
		{`{"level":"disabled"}`, http.StatusBadRequest},
		{`{`, http.StatusBadRequest},
	} {
		t.Run(c.body, func(t *testing.T) {
			before := zerolog.GlobalLevel()
			t.Cleanup(func() { zerolog.SetGlobalLevel(before) })
			req, err := http.NewRequest(http.MethodPut, f.vms[0].AdminURL()+"/v1/loglevel", strings.NewReader(c.body))
			assert.NilError(t, err)
			req.Header.Set("Content-Type", "application/json")
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			resp.Body.Close()
			assert.Equal(t, resp.StatusCode, c.status)
		})
	}
}
