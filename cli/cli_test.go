package cli_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/cli"
	"github.com/anvilfork/anvilfork/core/config"
)

const document = `revision = 1
[fleet]
max_vms = 9
[[zone]]
name = "a"
[[service]]
name = "mats"
partition_map = 1
slots = 2
connections = 25
[[service.group]]
name = "g0"
targets = [{address = "192.0.2.1:80", zone = "a"}]
[[workspace]]
name = "matlane"
rate = 100
burst = 50
`

// result is the exit code and output of one command line.
type result struct {
	code   cli.ExitCode
	stdout string
	stderr string
}

func runCLI(args ...string) result {
	var stdout, stderr bytes.Buffer
	code := cli.Run(args, &stdout, &stderr)
	return result{cli.ExitCode(code), stdout.String(), stderr.String()}
}

// writeFile writes content to a temporary file and returns its path.
func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "text.toml")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// editDocument returns the document with the next revision and with from replaced
// by to.
func editDocument(t *testing.T, from, to string) string {
	t.Helper()
	assert.Assert(t, strings.Contains(document, from))
	return strings.Replace(strings.Replace(document, "revision = 1", "revision = 2", 1), from, to, 1)
}

// Guards against wrong exit codes and against output on the wrong stream: results
// and help belong on standard output, errors on standard error.
func TestCommandLines(t *testing.T) {
	good := writeFile(t, document)
	bad := writeFile(t, "revision = 0\n[fleet]\nmax_vm = 9\n")
	lowered := writeFile(t, editDocument(t, "rate = 100", "rate = 50"))
	raised := writeFile(t, editDocument(t, "rate = 100", "rate = 200"))
	lowUsage := writeFile(t, `{"workspace[matlane].rate": 20}`)
	highUsage := writeFile(t, `{"workspace[matlane].rate": 90}`)
	missing := filepath.Join(t.TempDir(), "none.toml")
	cases := []struct {
		name   string
		args   []string
		code   cli.ExitCode
		stdout []string // substrings; nil requires empty output
		stderr []string
	}{
		{"no verb", nil, cli.ExitUsage, nil, []string{"usage: anvilfork VERB", "key new"}},
		{"unknown verb", []string{"chek"}, cli.ExitUsage, nil, []string{`verb "chek" does not exist; did you mean "check"?`}},
		{"unknown verb without a hint", []string{"zap", "x"}, cli.ExitUsage, nil, []string{`verb "zap x" does not exist` + "\nusage"}},
		{"half a verb", []string{"key"}, cli.ExitUsage, nil, []string{`did you mean "key new"?`}},
		{"empty verb", []string{""}, cli.ExitUsage, nil, []string{`verb "" does not exist`}},
		{"help", []string{"-h"}, cli.ExitOK, []string{"usage: anvilfork VERB", "check", "diff", "key new", "query", "version"}, nil},
		{"help of check", []string{"check", "-h"}, cli.ExitOK, []string{"usage: anvilfork check [flags] FILE", "-json"}, nil},
		{"help of diff", []string{"diff", "-h"}, cli.ExitOK, []string{"usage: anvilfork diff [flags] OLD NEW", "-strict", "-use"}, nil},
		{"help of key new", []string{"key", "new", "-h"}, cli.ExitOK, []string{"usage: anvilfork key new [flags]\n"}, nil},
		{"help of query", []string{"query", "-h"}, cli.ExitOK, []string{"usage: anvilfork query [flags] SERVICE BODY", "ANVILFORK_KEY"}, nil},
		{"help of version", []string{"version", "-h"}, cli.ExitOK, []string{"usage: anvilfork version [flags]\n"}, nil},
		{"version", []string{"version"}, cli.ExitOK, []string{"anvilfork " + cli.Version}, nil},
		{"version with an argument", []string{"version", "x"}, cli.ExitUsage, nil, []string{"version takes 0 arguments after its flags, got 1"}},
		{"unknown flag", []string{"check", "-x", good}, cli.ExitUsage, nil, []string{"flag provided but not defined: -x", "usage: anvilfork check"}},
		{"check", []string{"check", good}, cli.ExitOK, []string{"revision 1 is valid: 1 availability zones, 1 services, 1 groups, 1 targets, 1 workspaces"}, nil},
		{"check of an invalid document", []string{"check", bad}, cli.ExitFailed, nil, []string{
			bad + `: line 1: revision = "0": must be`, bad + ": line 2: fleet.max_vms: is missing", bad + ": line 3: fleet.max_vm: unknown field"}},
		{"check without a file", []string{"check"}, cli.ExitUsage, nil, []string{"check takes 1 arguments"}},
		{"check of a missing file", []string{"check", missing}, cli.ExitUsage, nil, []string{"no such file"}},
		{"diff without changes", []string{"diff", good, good}, cli.ExitOK, []string{"no changes"}, nil},
		{"diff", []string{"diff", good, lowered}, cli.ExitOK, []string{"  revision: 1 -> 2\n", "! workspace[matlane].rate: 100 -> 50  [limit_lowered] present use is not known\n"}, nil},
		{"diff with a risk", []string{"diff", "-strict", good, lowered}, cli.ExitRisk, []string{"limit_lowered"}, nil},
		{"diff without a risk", []string{"diff", "-strict", good, raised}, cli.ExitOK, []string{"  workspace[matlane].rate: 100 -> 200\n"}, nil},
		{"diff with use below the limit", []string{"diff", "-strict", "-use", lowUsage, good, lowered}, cli.ExitOK, []string{"present use is 20"}, nil},
		{"diff with use above the limit", []string{"diff", "-strict", "-use", highUsage, good, lowered}, cli.ExitRisk, []string{"[limit_below_use] present use is 90"}, nil},
		{"diff with a bad use file", []string{"diff", "-use", good, good, lowered}, cli.ExitUsage, nil, []string{"use file " + good}},
		{"diff with an invalid old document", []string{"diff", bad, good}, cli.ExitFailed, nil, []string{bad + ": line 1"}},
		{"diff with an invalid new document", []string{"diff", good, bad}, cli.ExitFailed, nil, []string{bad + ": line 3"}},
		{"diff of one document", []string{"diff", good}, cli.ExitUsage, nil, []string{"diff takes 2 arguments after its flags, got 1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := runCLI(c.args...)
			assert.Equal(t, r.code, c.code, "%+v", r)
			assertContains(t, r.stdout, c.stdout)
			assertContains(t, r.stderr, c.stderr)
		})
	}
}

// assertContains fails unless output contains all parts, or is empty when there are
// none.
func assertContains(t *testing.T, output string, parts []string) {
	t.Helper()
	if len(parts) == 0 {
		assert.Equal(t, output, "")
	}
	for _, p := range parts {
		assert.Assert(t, strings.Contains(output, p), "%q is not in %q", p, output)
	}
}

// Guards against JSON output of the wrong form, also for an invalid document.
func TestJSON(t *testing.T) {
	good, bad := writeFile(t, document), writeFile(t, "revision = 0\n[fleet]\nmax_vms = 9\n")
	lowered := writeFile(t, editDocument(t, "rate = 100", "rate = 50"))
	cases := []struct {
		name string
		args []string
		code cli.ExitCode
		want string
	}{
		{"check", []string{"check", "-json", good}, cli.ExitOK, `{"valid":true,"revision":1,"digest":"` + documentDigest(t) +
			`","zones":1,"services":1,"groups":1,"targets":1,"workspaces":1,"mistakes":[]}`},
		{"check of an invalid document", []string{"check", "-json", bad}, cli.ExitFailed, `{"valid":false,"zones":0,"services":0,"groups":0,"targets":0,"workspaces":0,"mistakes":[` +
			`{"line":1,"field":"revision","value":"0","reason":"must be from 1 to 9223372036854775807"}]}`},
		{"diff", []string{"diff", "-json", good, lowered}, cli.ExitOK, `[{"path":"revision","old":"1","new":"2"},` +
			`{"path":"workspace[matlane].rate","old":"100","new":"50","risk":"limit_lowered","note":"present use is not known"}]`},
		{"diff without changes", []string{"diff", "-json", good, good}, cli.ExitOK, `[]`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := runCLI(c.args...)
			assert.Equal(t, r.code, c.code, "%+v", r)
			assert.Equal(t, r.stderr, "")
			var compact bytes.Buffer
			assert.NilError(t, json.Compact(&compact, []byte(r.stdout)))
			want := strings.NewReplacer("<", `\u003c`, ">", `\u003e`).Replace(c.want)
			assert.Equal(t, compact.String(), want)
		})
	}
	var version struct{ Version, Go string }
	assert.NilError(t, json.Unmarshal([]byte(runCLI("version", "-json").stdout), &version))
	assert.Equal(t, version.Version, cli.Version)
}

func documentDigest(t *testing.T) string {
	t.Helper()
	c, err := config.Parse([]byte(document))
	assert.NilError(t, err)
	return c.Digest.String()
}

// Guards against keys that are too short or repeated, and against a printed hash
// that does not match the key.
func TestKeyNew(t *testing.T) {
	seen := make(map[string]bool)
	for range 20 {
		r := runCLI("key", "new")
		assert.Equal(t, r.code, cli.ExitOK)
		lines := strings.Split(strings.TrimSpace(r.stdout), "\n")
		assert.Equal(t, len(lines), 2)
		key := lines[0]
		assert.Assert(t, strings.HasPrefix(key, "afk_"))
		assert.Equal(t, len(key), len("afk_")+43, "256 bits are 43 characters of base64")
		assert.Assert(t, !seen[key])
		seen[key] = true
		c, err := config.Parse([]byte(document + lines[1] + "\n"))
		assert.NilError(t, err)
		assert.Equal(t, c.Workspaces[0].Keys[0], config.HashKey(key))
	}
	var j struct{ Key, Hash string }
	assert.NilError(t, json.Unmarshal([]byte(runCLI("key", "new", "-json").stdout), &j))
	assert.Equal(t, j.Hash, config.HashKey(j.Key).String())
}
