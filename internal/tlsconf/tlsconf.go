// Package tlsconf configures TLS for listeners and dialers with certificates from
// files. A handshake checks whether the files have changed, so that a renewed
// certificate is used without a restart. If a changed file is unusable, the last
// valid certificates stay in use.
package tlsconf

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoCACertificate reports that a CA file contains no certificate in PEM.
var ErrNoCACertificate = eris.New("tlsconf: no CA certificate in the file")

// Files holds the paths of PEM files. Certificate and Key are this side's own, and
// may be empty for a client that presents no certificate. CA has the certificate
// authorities that must have signed the peer's certificate, and may be empty for a
// server that requests none.
type Files struct {
	Certificate, Key, CA string
}

// fileCheckInterval is the minimum time between two checks for changed files.
const fileCheckInterval = time.Second

// Credentials holds the certificates last loaded from the files. It is safe for
// concurrent use.
type Credentials struct {
	files   Files
	onError func(error)

	mu          sync.Mutex // Guards all below.
	checkedAt   time.Time
	modTimes    [3]time.Time
	certificate *tls.Certificate
	caPool      *x509.CertPool
}

// New loads the files, and returns an error if one is unusable. onError is called
// with the error of a later reload; it must not call the Credentials.
func New(files Files, onError func(error)) (*Credentials, error) {
	c := &Credentials{files: files, onError: onError}
	if err := c.loadFiles(); err != nil {
		return nil, err
	}
	c.modTimes, c.checkedAt = c.fileModTimes(), time.Now()
	return c, nil
}

// ServerConfig returns the TLS configuration of a listener. If mutual is set, a
// client must present a certificate signed by one of the authorities.
func (c *Credentials) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, caPool := c.currentCertificates()
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*certificate}}
			if mutual {
				config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, caPool
			}
			return config, nil
		},
	}
}

// Dial connects to address, which is IP:port, and verifies that the server's
// certificate is valid for that IP address and signed by one of the authorities.
func (c *Credentials) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "tlsconf: dial address is not IP:port")
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	certificate, caPool := c.currentCertificates()
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: caPool, ServerName: host}
	if certificate != nil {
		config.Certificates = []tls.Certificate{*certificate}
	}
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, eris.Wrap(err, "tlsconf: handshake")
	}
	return tlsConn, nil
}

// currentCertificates returns this side's certificate, nil if there is none, and
// the authorities. It reloads changed files first.
func (c *Credentials) currentCertificates() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checkedAt) >= fileCheckInterval {
		c.checkedAt = now
		c.reloadIfChanged()
	}
	return c.certificate, c.caPool
}

// reloadIfChanged reloads the files if one of them has changed. The caller holds
// c.mu.
func (c *Credentials) reloadIfChanged() {
	modTimes := c.fileModTimes()
	if modTimes == c.modTimes {
		return
	}
	if err := c.loadFiles(); err != nil {
		c.onError(err)
		return // Retried after fileCheckInterval: the files may be partially written.
	}
	c.modTimes = modTimes
}

// fileModTimes returns the modification time of each file, or zero for one that
// is not configured or can't be read.
func (c *Credentials) fileModTimes() (modTimes [3]time.Time) {
	for i, file := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		if info, err := os.Stat(file); file != "" && err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// loadFiles loads all files. On an error it keeps the certificates as they were.
func (c *Credentials) loadFiles() error {
	var certificate *tls.Certificate
	if c.files.Certificate != "" {
		keyPair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
		if err != nil {
			return eris.Wrap(err, "tlsconf: load certificate and key")
		}
		certificate = &keyPair
	}
	var caPool *x509.CertPool
	if c.files.CA != "" {
		data, err := os.ReadFile(c.files.CA)
		if err != nil {
			return eris.Wrap(err, "tlsconf: read CA file")
		}
		caPool = x509.NewCertPool()
		if !caPool.AppendCertsFromPEM(data) {
			return eris.Wrap(ErrNoCACertificate, c.files.CA)
		}
	}
	c.certificate, c.caPool = certificate, caPool
	return nil
}
