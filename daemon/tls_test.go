package daemon_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/anvilfork/anvilfork/core/fleet"
	"github.com/anvilfork/anvilfork/daemon"
	"github.com/anvilfork/anvilfork/standin"
)

const waitTimeout = 20 * time.Second // limit of every wait; each ends as soon as its condition holds

// authority is a CA for the certificates of one test.
type authority struct {
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	dir        string
	lastSerial int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir(), lastSerial: 1}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.lastSerial), Subject: pkix.Name{CommonName: "test CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	writePEM(t, a.caFile(), "CERTIFICATE", der)
	return a
}

func (a *authority) caFile() string { return filepath.Join(a.dir, "ca.pem") }

// issue writes a certificate for 127.0.0.1 and its key to files that begin with
// name, and returns their paths and the serial number.
func (a *authority) issue(t *testing.T, name string) (cert, key string, serial int64) {
	t.Helper()
	a.lastSerial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.lastSerial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &private.PublicKey, a.key)
	assert.NilError(t, err)
	secret, err := x509.MarshalPKCS8PrivateKey(private)
	assert.NilError(t, err)
	cert, key = filepath.Join(a.dir, name+".pem"), filepath.Join(a.dir, name+".key")
	writePEM(t, cert, "CERTIFICATE", der)
	writePEM(t, key, "PRIVATE KEY", secret)
	return cert, key, a.lastSerial
}

func (a *authority) pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// logLines receives the log lines of VMs. Lines are dropped when it is full.
type logLines chan []byte

func (l logLines) Write(line []byte) (int, error) {
	select {
	case l <- bytes.Clone(line):
	default:
	}
	return len(line), nil
}

// waitForEvent returns the next line with the event and drops the lines before it.
func (l logLines) waitForEvent(t *testing.T, event string) string {
	t.Helper()
	timeout := time.After(waitTimeout)
	for {
		select {
		case line := <-l:
			if strings.Contains(string(line), fmt.Sprintf(`"event":%q`, event)) {
				return string(line)
			}
		case <-timeout:
			t.Fatalf("no event %q was logged", event)
		}
	}
}

// startTLSVM starts a VM with a certificate signed by ca that accepts certificates
// signed by trusted.
func startTLSVM(t *testing.T, ca, trusted *authority, name, platform string, lines logLines) *daemon.VM {
	t.Helper()
	cert, key, _ := ca.issue(t, name)
	vm, err := daemon.Start(daemon.Settings{
		VM: name, Zone: "a", PeerListen: "127.0.0.1:0", CallerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		PlatformURL: platform, PeerTLSCert: cert, PeerTLSKey: key, PeerTLSCA: trusted.caFile(),
	}, zerolog.New(lines))
	assert.NilError(t, err)
	t.Cleanup(vm.Kill)
	return vm
}

func controlDump(t *testing.T, vm *daemon.VM) daemon.ControlDump {
	t.Helper()
	return readAdmin[daemon.ControlDump](t, vm, "/v1/status")
}

func readAdmin[T any](t *testing.T, vm *daemon.VM, path string) T {
	t.Helper()
	resp, err := http.Get(vm.AdminURL() + path)
	assert.NilError(t, err)
	defer resp.Body.Close()
	var d T
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&d))
	return d
}

func knowsVM(d daemon.ControlDump, id fleet.VMID) bool {
	for _, vm := range d.VMs {
		if vm.ID == id {
			return true
		}
	}
	return false
}

func vmEntries(vms ...*daemon.VM) []standin.VMEntry {
	var entries []standin.VMEntry
	for _, vm := range vms {
		name, _, _ := strings.Cut(string(vm.ID()), "-")
		entries = append(entries, standin.VMEntry{ID: name, Zone: "a", Peer: vm.PeerURL(), Caller: vm.CallerURL(), State: "live"})
	}
	return entries
}

const documentFormat = "revision = %d\n[fleet]\nmax_vms = 3\n[[zone]]\nname = \"a\"\n"

func startPlatform(t *testing.T, revision uint64) *standin.Platform {
	t.Helper()
	p := standin.NewPlatform()
	t.Cleanup(p.Close)
	p.SetDocument(revision, fmt.Appendf(nil, documentFormat, revision))
	return p
}

// Guards against VMs of one CA that do not connect, and against a VM of another
// CA that is accepted: it has a newer document, which must not spread. A VM of
// the right CA with that document shows that it would have spread.
func TestFaultPeerOfAnotherCA(t *testing.T) {
	trustedCA, otherCA := newAuthority(t), newAuthority(t)
	lines := make(logLines, 1024)
	platform, newer := startPlatform(t, 1), startPlatform(t, 9)
	first := startTLSVM(t, trustedCA, trustedCA, "first", platform.URL(), lines)
	second := startTLSVM(t, trustedCA, trustedCA, "second", platform.URL(), lines)
	untrusted := startTLSVM(t, otherCA, trustedCA, "intruder", newer.URL(), make(logLines, 1))
	assert.Assert(t, strings.HasPrefix(first.PeerURL(), "https://"))
	platform.SetVMs(vmEntries(first, second))
	newer.SetVMs(vmEntries(first, second, untrusted))

	eventually(t, "the VMs of one CA do not discover each other", func() bool {
		a, b := controlDump(t, first), controlDump(t, second)
		return a.Serving && b.Serving && knowsVM(a, second.ID()) && knowsVM(b, first.ID())
	})
	assert.Assert(t, strings.Contains(lines.waitForEvent(t, "connection_refused"), `"endpoint":"peer"`))
	assert.Equal(t, controlDump(t, first).Revision, uint64(1))
	assert.Assert(t, !knowsVM(controlDump(t, first), untrusted.ID()))

	member := startTLSVM(t, trustedCA, trustedCA, "member", newer.URL(), lines)
	newer.SetVMs(vmEntries(first, second, member))
	eventually(t, "the document of a VM of the right CA does not spread", func() bool {
		return controlDump(t, first).Revision == 9 && controlDump(t, second).Revision == 9
	})
	assert.Assert(t, !knowsVM(controlDump(t, first), untrusted.ID()))
	assert.Assert(t, !knowsVM(controlDump(t, second), untrusted.ID()))
	vms := readAdmin[daemon.FleetDump](t, first, "/v1/fleet").VMs
	assert.Assert(t, len(vms) > 1)
	for _, vm := range vms {
		assert.Equal(t, vm.Report != nil, vm.PeerURL != untrusted.PeerURL(), "%+v", vm)
	}
}

// Guards against VMs that send messages to peers without TLS or with a
// certificate of another CA.
func TestFaultListedPeerNotTrusted(t *testing.T) {
	trustedCA, otherCA := newAuthority(t), newAuthority(t)
	platform := startPlatform(t, 1)
	other := startTLSVM(t, otherCA, trustedCA, "other", platform.URL(), make(logLines, 1))
	for _, c := range []struct{ name, url, reason string }{
		{"plain", platform.URL(), "is listed without TLS"},
		{"another CA", other.PeerURL(), "certificate signed by unknown authority"},
	} {
		t.Run(c.name, func(t *testing.T) {
			lines := make(logLines, 1024)
			platform.SetVMs(nil) // otherwise the VM may read the list of the previous case
			vm := startTLSVM(t, trustedCA, trustedCA, "secure", platform.URL(), lines)
			platform.SetVMs(append(vmEntries(vm), standin.VMEntry{ID: "other", Zone: "a", Peer: c.url, State: "live"}))
			line := lines.waitForEvent(t, "peer_refused")
			assert.Assert(t, strings.Contains(line, c.reason), line)
		})
	}
}

// presentedSerial returns the serial number of the certificate that the server
// at address presents.
func presentedSerial(address string, roots *x509.CertPool) (int64, error) {
	conn, err := tls.Dial("tcp", strings.TrimPrefix(address, "https://"), &tls.Config{RootCAs: roots})
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Guards against a replaced certificate that is not presented until a restart,
// and against invalid files that interrupt the service.
func TestFaultServerKeyReplaced(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(s *daemon.Settings, cert, key string)
		url  func(vm *daemon.VM) string
	}{
		{"caller", func(s *daemon.Settings, cert, key string) { s.CallerTLSCert, s.CallerTLSKey = cert, key }, (*daemon.VM).CallerURL},
		{"admin", func(s *daemon.Settings, cert, key string) { s.AdminTLSCert, s.AdminTLSKey = cert, key }, (*daemon.VM).AdminURL},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ca := newAuthority(t)
			cert, key, serial := ca.issue(t, c.name)
			lines := make(logLines, 1024)
			s := daemon.Settings{
				VM: "one", Zone: "a", PeerListen: "127.0.0.1:0", CallerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
				PlatformURL: startPlatform(t, 1).URL(),
			}
			c.set(&s, cert, key)
			vm, err := daemon.Start(s, zerolog.New(lines))
			assert.NilError(t, err)
			t.Cleanup(vm.Kill)
			assert.Assert(t, strings.HasPrefix(c.url(vm), "https://"))
			got, err := presentedSerial(c.url(vm), ca.pool())
			assert.NilError(t, err)
			assert.Equal(t, got, serial)

			assert.NilError(t, os.WriteFile(cert, []byte("not a certificate"), 0o600))
			lines.waitForEvent(t, "key_reload_failed")
			got, err = presentedSerial(c.url(vm), ca.pool())
			assert.NilError(t, err)
			assert.Equal(t, got, serial)

			_, _, serial = ca.issue(t, c.name)
			lines.waitForEvent(t, "key_reloaded")
			got, err = presentedSerial(c.url(vm), ca.pool())
			assert.NilError(t, err)
			assert.Equal(t, got, serial)
		})
	}
}

// Guards against a VM that starts although the TLS files that its settings name
// are missing.
func TestFaultKeyFileMissing(t *testing.T) {
	_, err := daemon.Start(daemon.Settings{
		VM: "one", Zone: "a", PeerListen: "127.0.0.1:0", CallerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		PlatformURL: "http://127.0.0.1:1", CallerTLSCert: filepath.Join(t.TempDir(), "none.pem"), CallerTLSKey: "none.key",
	}, zerolog.Nop())
	var keyFileErr *daemon.KeyFileError
	assert.Assert(t, errors.As(err, &keyFileErr), "%v", err)
}

// Guards against failed handshakes that are not logged, and against a flood of
// them that floods the log.
func TestFaultHandshakeFlood(t *testing.T) {
	const attempts = 40
	ca := newAuthority(t)
	lines := make(logLines, 1024)
	vm := startTLSVM(t, ca, ca, "secure", startPlatform(t, 1).URL(), lines)
	for range attempts {
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", strings.TrimPrefix(vm.PeerURL(), "https://"))
		assert.NilError(t, err)
		fmt.Fprint(conn, "GET / HTTP/1.1\r\n\r\n")
		conn.Read(make([]byte, 1)) // the server logs the failure before it closes the connection
		conn.Close()
	}
	lines.waitForEvent(t, "connection_refused")
	seen := 1
	for len(lines) > 0 {
		if strings.Contains(string(<-lines), "connection_refused") {
			seen++
		}
	}
	assert.Assert(t, seen < attempts/2, "%d of %d refused connections were logged", seen, attempts)
}
