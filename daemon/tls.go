package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const (
	keyReloadInterval = 5 * time.Second // between checks of the files for changes

	// peerHandshakeTimeout, together with peerDialTimeout, stays below the
	// timeout of a heartbeat.
	peerHandshakeTimeout = 180 * time.Millisecond
)

// KeyFileError reports a TLS key, certificate or CA file that cannot be loaded.
type KeyFileError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *KeyFileError) Error() string { return "TLS file " + e.Path + ": " + e.Reason }

// keyFiles names the files of one TLS identity. ca is empty where clients need
// no certificate.
type keyFiles struct {
	cert string
	key  string
	ca   string
}

// fileVersion distinguishes versions of a file.
type fileVersion struct {
	modified int64 // nanoseconds since 1970
	bytes    int64
}

// keyFileVersions are the versions of the certificate, key and CA file; the
// version of a file that does not exist is zero.
type keyFileVersions [3]fileVersion

// keyMaterial is the content of the files at one load.
type keyMaterial struct {
	cert     tls.Certificate
	ca       *x509.CertPool
	versions keyFileVersions
}

// keyStore holds the newest valid key material, which each new connection uses.
type keyStore struct {
	files   keyFiles
	current atomic.Pointer[keyMaterial]
}

// identities are the TLS identities of a VM. A nil identity means plain HTTP.
type identities struct {
	peers   *keyStore
	callers *keyStore
	admin   *keyStore
}

// readIdentities loads the files that the settings name. The error is a
// *KeyFileError.
func readIdentities(s *Settings) (identities, error) {
	var ids identities
	var err error
	if ids.peers, err = newKeyStore(keyFiles{cert: s.PeerTLSCert, key: s.PeerTLSKey, ca: s.PeerTLSCA}); err != nil {
		return ids, err
	}
	if ids.callers, err = newKeyStore(keyFiles{cert: s.CallerTLSCert, key: s.CallerTLSKey}); err != nil {
		return ids, err
	}
	ids.admin, err = newKeyStore(keyFiles{cert: s.AdminTLSCert, key: s.AdminTLSKey})
	return ids, err
}

// watch starts to reload the identities when their files change, until ctx ends.
func (ids identities) watch(ctx context.Context, log zerolog.Logger) {
	for _, s := range []*keyStore{ids.peers, ids.callers, ids.admin} {
		if s != nil {
			go s.watch(ctx, log)
		}
	}
}

// newKeyStore loads the files. It returns nil when no certificate is named.
func newKeyStore(files keyFiles) (*keyStore, error) {
	if files.cert == "" {
		return nil, nil
	}
	s := &keyStore{files: files}
	m, err := s.load()
	if err != nil {
		return nil, err
	}
	s.current.Store(m)
	return s, nil
}

func (s *keyStore) load() (*keyMaterial, error) {
	// Versions are taken before the files are read: a file that changes meanwhile
	// has another version at the next check and is read again.
	m := &keyMaterial{versions: s.fileVersions()}
	cert, err := tls.LoadX509KeyPair(s.files.cert, s.files.key)
	if err != nil {
		return nil, errors.WithStack(&KeyFileError{Path: s.files.cert, Reason: err.Error()})
	}
	m.cert = cert
	if s.files.ca != "" {
		pem, err := os.ReadFile(s.files.ca)
		if err != nil {
			return nil, errors.WithStack(&KeyFileError{Path: s.files.ca, Reason: err.Error()})
		}
		m.ca = x509.NewCertPool()
		if !m.ca.AppendCertsFromPEM(pem) {
			return nil, errors.WithStack(&KeyFileError{Path: s.files.ca, Reason: "holds no certificate"})
		}
	}
	return m, nil
}

func (s *keyStore) fileVersions() keyFileVersions {
	var versions keyFileVersions
	for i, path := range []string{s.files.cert, s.files.key, s.files.ca} {
		if info, err := os.Stat(path); err == nil {
			versions[i] = fileVersion{modified: info.ModTime().UnixNano(), bytes: info.Size()}
		}
	}
	return versions
}

// watch reloads the files when they change. Invalid files are logged, and the
// previous key material stays in use.
func (s *keyStore) watch(ctx context.Context, log zerolog.Logger) {
	ticker := time.NewTicker(keyReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.reload(log)
		}
	}
}

func (s *keyStore) reload(log zerolog.Logger) {
	if s.fileVersions() == s.current.Load().versions {
		return
	}
	m, err := s.load()
	if err != nil {
		log.Warn().Str("event", "key_reload_failed").Err(err).Msg("TLS files cannot be used, the old ones stay in force")
		return
	}
	s.current.Store(m)
	log.Info().Str("event", "key_reloaded").Str("path", s.files.cert).Msg("TLS files reloaded")
}

// serverConfig returns the TLS configuration of a listening socket. If there is a
// CA, clients need a certificate signed by it.
func (s *keyStore) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.current.Load()
			c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.cert}}
			if m.ca != nil {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.ca
			}
			return c, nil
		},
	}
}

// clientHandshake secures a connection to another VM, whose certificate must be
// valid for the IP address in address. It closes conn when the handshake fails.
func (s *keyStore) clientHandshake(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	m := s.current.Load()
	t := tls.Client(conn, &tls.Config{
		MinVersion: tls.VersionTLS13, ServerName: host, RootCAs: m.ca, Certificates: []tls.Certificate{m.cert},
	})
	ctx, cancel := context.WithTimeout(ctx, peerHandshakeTimeout)
	defer cancel()
	if err := t.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return t, nil
}
