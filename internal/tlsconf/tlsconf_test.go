package tlsconf_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"guavapier/internal/tlsconf"
)

// authority is a certificate authority that issues test certificates.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

// writePEM writes one PEM block of the given type to a file.
func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a := authority{cert: cert, key: key, file: filepath.Join(t.TempDir(), "ca.pem")}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

// issue signs a certificate for an IP address and overwrites the certificate and
// key files with it and its key.
func (a authority) issue(t *testing.T, files tlsconf.Files, ip string, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.ParseIP(ip)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER)
}

// newFiles returns the path of the authority's CA file and, in a new directory, paths
// for a certificate and a key, which don't exist yet.
func newFiles(t *testing.T, a authority) tlsconf.Files {
	dir := t.TempDir()
	return tlsconf.Files{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: a.file}
}

func newCredentials(t *testing.T, files tlsconf.Files, onError func(error)) *tlsconf.Credentials {
	t.Helper()
	s, err := tlsconf.New(files, onError)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// serve starts a TLS server that sends one byte on each connection and closes it.
// It returns the server's address.
func serve(t *testing.T, s *tlsconf.Credentials, mutual bool) string {
	t.Helper()
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = plain.Close() })
	listener := tls.NewListener(plain, s.ServerConfig(mutual))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte{1})
			_ = conn.Close()
		}
	}()
	return plain.Addr().String()
}

// dial connects and reads one byte. It returns the serial number of the server's
// certificate.
func dial(s *tlsconf.Credentials, address string) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := s.Dial(ctx, "tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err // In TLS 1.3 a server rejects a client's certificate after the client's handshake.
	}
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestOnlyTheRightCertificatesConnect(t *testing.T) {
	ca, otherCA := newAuthority(t), newAuthority(t)
	valid, untrusted, otherIP := newFiles(t, ca), newFiles(t, otherCA), newFiles(t, ca)
	ca.issue(t, valid, "127.0.0.1", 1)
	otherCA.issue(t, untrusted, "127.0.0.1", 2)
	ca.issue(t, otherIP, "127.0.0.9", 3)
	reportError := func(err error) { t.Error(err) }
	for _, row := range []struct {
		name           string
		server, client tlsconf.Files
		mutual, ok     bool
	}{
		{"one-sided", valid, tlsconf.Files{CA: ca.file}, false, true},
		{"mutual", valid, valid, true, true},
		{"server of another authority", untrusted, tlsconf.Files{CA: ca.file}, false, false},
		{"server of another IP", otherIP, tlsconf.Files{CA: ca.file}, false, false},
		{"client without certificate", valid, tlsconf.Files{CA: ca.file}, true, false},
		{"client of another authority", valid, tlsconf.Files{Certificate: untrusted.Certificate, Key: untrusted.Key, CA: ca.file}, true, false},
	} {
		address := serve(t, newCredentials(t, row.server, reportError), row.mutual)
		if _, err := dial(newCredentials(t, row.client, reportError), address); (err == nil) != row.ok {
			t.Errorf("%s: unexpected outcome of the connection, error %v", row.name, err)
		}
	}
}

func TestNewCertificateIsUsedWithoutRestart(t *testing.T) {
	ca := newAuthority(t)
	files := newFiles(t, ca)
	ca.issue(t, files, "127.0.0.1", 1)
	var reloadErrors atomic.Int32
	server := newCredentials(t, files, func(error) { reloadErrors.Add(1) })
	client := newCredentials(t, tlsconf.Files{CA: ca.file}, func(err error) { t.Error(err) })
	address := serve(t, server, false)
	waitUntil := func(what string, ok func(serial int64) bool) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			serial, err := dial(client, address)
			if err != nil {
				t.Fatal(err)
			}
			if ok(serial) {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("timeout waiting until %s", what)
			}
		}
	}
	if err := os.WriteFile(files.Certificate, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	waitUntil("the malformed file is reported while the old certificate is served", func(serial int64) bool { return serial == 1 && reloadErrors.Load() > 0 })
	ca.issue(t, files, "127.0.0.1", 2)
	waitUntil("the new certificate is served", func(serial int64) bool { return serial == 2 })
}
