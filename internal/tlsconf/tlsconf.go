// Package tlsconf secures listeners and dialers by certificates from files.
// The files are looked at again with each handshake, so a new certificate is
// in use without a restart; a file that can't be used leaves the last good
// certificate in force.
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

// ErrNoCACertificate says that a file holds no certificate of an authority.
var ErrNoCACertificate = eris.New("tlsconf: no certificate of an authority in the file")

// Files names PEM files. Certificate and Key are this side's own and may be
// empty for a client that shows none; CA has the authorities that the other
// side's certificate must be signed by, and may be empty for a server that
// asks for none.
type Files struct {
	Certificate, Key, CA string
}

// lookEvery bounds how often the files' times are looked at.
const fileCheckInterval = time.Second

// Credentials holds what the files held last. It is safe for concurrent use.
type Credentials struct {
	files   Files
	onError func(error)

	mu          sync.Mutex // Guards all below.
	checkedAt   time.Time
	modTimes    [3]time.Time
	certificate *tls.Certificate
	caPool      *x509.CertPool
}

// New reads the files. onError is told of files that later can't be used.
func New(files Files, onError func(error)) (*Credentials, error) {
	c := &Credentials{files: files, onError: onError}
	if err := c.loadFiles(); err != nil {
		return nil, err
	}
	c.modTimes, c.checkedAt = c.fileModTimes(), time.Now()
	return c, nil
}

// ServerConfig returns the configuration of a listener. With mutual set a client
// must show a certificate that the authorities signed.
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

// Dial connects to IP:port and checks that the other side's certificate is for
// that IP and signed by one of the authorities.
func (c *Credentials) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "tlsconf: address")
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

// current returns what is in force now.
func (c *Credentials) currentCertificates() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.checkedAt) >= fileCheckInterval {
		c.checkedAt = now
		c.reloadIfChanged()
	}
	return c.certificate, c.caPool
}

// refresh reads files that have changed. s.mu is held.
func (c *Credentials) reloadIfChanged() {
	modTimes := c.fileModTimes()
	if modTimes == c.modTimes {
		return
	}
	if err := c.loadFiles(); err != nil {
		c.onError(err)
		return // Looked at again in lookEvery: the files may be half written.
	}
	c.modTimes = modTimes
}

// times returns when each file was changed last; zero for none.
func (c *Credentials) fileModTimes() (modTimes [3]time.Time) {
	for i, file := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		if info, err := os.Stat(file); file != "" && err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// load reads all files, or changes nothing.
func (c *Credentials) loadFiles() error {
	var certificate *tls.Certificate
	if c.files.Certificate != "" {
		keyPair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
		if err != nil {
			return eris.Wrap(err, "tlsconf: certificate and key")
		}
		certificate = &keyPair
	}
	var caPool *x509.CertPool
	if c.files.CA != "" {
		data, err := os.ReadFile(c.files.CA)
		if err != nil {
			return eris.Wrap(err, "tlsconf: authorities")
		}
		caPool = x509.NewCertPool()
		if !caPool.AppendCertsFromPEM(data) {
			return eris.Wrap(ErrNoCACertificate, c.files.CA)
		}
	}
	c.certificate, c.caPool = certificate, caPool
	return nil
}
