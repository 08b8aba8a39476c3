package cli

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/url"
	"os"
)

// ca defines the flag that names the CA certificates of the VMs.
func (f *verbFlags) ca() *string {
	return f.String("ca", "", "PEM `FILE` with the CA certificates of the VMs; empty uses the root certificates of this host")
}

// CAFileError reports a file of CA certificates that cannot be read or holds none.
type CAFileError struct {
	Path   string
	Reason string
}

// Error implements error.
func (e *CAFileError) Error() string { return "CA file " + e.Path + ": " + e.Reason }

// loadTLSConfig returns the TLS configuration that trusts the certificates in a CA
// file only. It returns nil for an empty path.
func loadTLSConfig(path string) (*tls.Config, error) {
	if path == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, &CAFileError{Path: path, Reason: err.Error()}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &CAFileError{Path: path, Reason: "holds no certificate"}
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// sendsInCleartext reports whether a key sent to u would cross the network without
// TLS. Loopback addresses do not count.
func sendsInCleartext(u *url.URL) bool {
	host := u.Hostname()
	return u.Scheme == "http" && host != "localhost" && !net.ParseIP(host).IsLoopback()
}
