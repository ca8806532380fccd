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

// ErrNoAuthority says that a file holds no certificate of an authority.
var ErrNoAuthority = eris.New("tlsconf: no certificate of an authority in the file")

// Files names PEM files. Certificate and Key are this side's own and may be
// empty for a client that shows none; CA has the authorities that the other
// side's certificate must be signed by, and may be empty for a server that
// asks for none.
type Files struct {
	Certificate, Key, CA string
}

// lookEvery bounds how often the files' times are looked at.
const lookEvery = time.Second

// Source holds what the files held last. It is safe for concurrent use.
type Source struct {
	files   Files
	onError func(error)

	mu          sync.Mutex // Guards all below.
	looked      time.Time
	stamp       [3]time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// New reads the files. onError is told of files that later can't be used.
func New(files Files, onError func(error)) (*Source, error) {
	s := &Source{files: files, onError: onError}
	if err := s.load(); err != nil {
		return nil, err
	}
	s.stamp, s.looked = s.times(), time.Now()
	return s, nil
}

// Server returns the configuration of a listener. With mutual set a client
// must show a certificate that the authorities signed.
func (s *Source) Server(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := s.current()
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*certificate}}
			if mutual {
				config.ClientAuth, config.ClientCAs = tls.RequireAndVerifyClientCert, authorities
			}
			return config, nil
		},
	}
}

// Dial connects to IP:port and checks that the other side's certificate is for
// that IP and signed by one of the authorities.
func (s *Source) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "tlsconf: address")
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	certificate, authorities := s.current()
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: authorities, ServerName: host}
	if certificate != nil {
		config.Certificates = []tls.Certificate{*certificate}
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, eris.Wrap(err, "tlsconf: handshake")
	}
	return secured, nil
}

// current returns what is in force now.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.looked) >= lookEvery {
		s.looked = now
		s.refresh()
	}
	return s.certificate, s.authorities
}

// refresh reads files that have changed. s.mu is held.
func (s *Source) refresh() {
	stamp := s.times()
	if stamp == s.stamp {
		return
	}
	if err := s.load(); err != nil {
		s.onError(err)
		return // Looked at again in lookEvery: the files may be half written.
	}
	s.stamp = stamp
}

// times returns when each file was changed last; zero for none.
func (s *Source) times() (stamp [3]time.Time) {
	for i, file := range []string{s.files.Certificate, s.files.Key, s.files.CA} {
		if info, err := os.Stat(file); file != "" && err == nil {
			stamp[i] = info.ModTime()
		}
	}
	return stamp
}

// load reads all files, or changes nothing.
func (s *Source) load() error {
	var certificate *tls.Certificate
	if s.files.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
		if err != nil {
			return eris.Wrap(err, "tlsconf: certificate and key")
		}
		certificate = &pair
	}
	var authorities *x509.CertPool
	if s.files.CA != "" {
		data, err := os.ReadFile(s.files.CA)
		if err != nil {
			return eris.Wrap(err, "tlsconf: authorities")
		}
		authorities = x509.NewCertPool()
		if !authorities.AppendCertsFromPEM(data) {
			return eris.Wrap(ErrNoAuthority, s.files.CA)
		}
	}
	s.certificate, s.authorities = certificate, authorities
	return nil
}
