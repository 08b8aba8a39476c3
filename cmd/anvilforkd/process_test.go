package main

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/platform/platformtest"
)

// startProcess builds the program, starts it as the only VM of a fleet on its own loopback
// address, and returns once it is ready.
func startProcess(t *testing.T, ip string, store *platformtest.Store) *exec.Cmd {
	t.Helper()
	dir := t.TempDir()
	bin, settings := filepath.Join(dir, "anvilforkd"), filepath.Join(dir, "settings.yaml")
	out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	text := platformtest.Settings("vm1", ip, "z1", store.Address(), []string{ip + ":" + platformtest.PeerPort})
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	cmd := exec.Command(bin, "-platform")
	cmd.Env = append(os.Environ(), platformtest.SettingsVariable+"="+settings)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have ended already
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the process is not ready")
		resp, err := http.Get("http://" + ip + ":" + platformtest.ReadyPort + "/v1/ready") //nolint:noctx // a test's own server
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return cmd
		}
	}
}
