package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/platform/platformtest"
)

// Guards against a process that starts with unusable settings, or that fails
// without naming the wrong one.
func TestPlatformSettingsAreChecked(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "anvilforkd")
	out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	good := platformtest.Settings("vm1", "127.8.1.1", "z1", "127.0.0.1:1", []string{"127.8.1.1:18360"})
	for _, c := range []struct{ name, text, wantText string }{
		{"no zone", strings.Replace(good, `Zone: "z1"`, "", 1), "setting Zone: is missing"},
		{"no grace", strings.Replace(good, "GraceS: 3", "GraceS: 0", 1), "setting StopGrace: must be above zero"},
		{"no store", strings.Replace(good, `"127.0.0.1:1"`, `""`, 1), "setting platform.Address: is missing"},
	} {
		path := filepath.Join(t.TempDir(), "settings.yaml")
		assert.NilError(t, os.WriteFile(path, []byte(c.text), 0o600))
		cmd := exec.Command(bin, "-platform")
		cmd.Env = append(os.Environ(), platformtest.SettingsVariable+"="+path)
		out, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		assert.Assert(t, errors.As(err, &exit), "%s: %v", c.name, err)
		assert.Equal(t, exit.ExitCode(), exitUsage, c.name)
		assert.Assert(t, strings.Contains(string(out), c.wantText), "%s: %s", c.name, out)
	}
	out, err = exec.Command(bin, "-platform", "-settings", "x").CombinedOutput()
	var exit *exec.ExitError
	assert.Assert(t, errors.As(err, &exit))
	assert.Equal(t, exit.ExitCode(), exitUsage, string(out))
}
