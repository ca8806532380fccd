package process_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// writeSelfSignedCert creates a self-signed certificate for 127.0.0.1 that is also
// its own CA, and returns the paths of its PEM files.
func writeSelfSignedCert(t *testing.T) (cert, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for file, block := range map[string]*pem.Block{cert: {Type: "CERTIFICATE", Bytes: der}, key: {Type: "EC PRIVATE KEY", Bytes: keyDER}} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return cert, key
}

// startTLSInstance runs an instance with TLS on its own three interfaces, for
// callers, operators and peers. Connections to the stand-ins remain without TLS.
func startTLSInstance(t *testing.T, name, platform, cert, key string) listenAddresses {
	t.Helper()
	file := instanceSettings(t, name, "hall-a", platform, "")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	secured := fmt.Sprintf("certificate = %q\nkey = %q\npeers_ca = %q\nplain = [\"platform\", \"endpoints\"]", cert, key, cert)
	changed := strings.Replace(string(text), "plain = ["+allInterfaces+"]", secured, 1)
	if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	_, line := startProcess(t, "server: serving", "serve", "-settings", file)
	var at listenAddresses
	if err := json.Unmarshal([]byte(line), &at); err != nil {
		t.Fatal(err)
	}
	return at
}

// tlsGet sends a GET request over TLS, with cert as the only trusted CA. It decodes
// the JSON body into out, if not nil, and returns the status.
func tlsGet(t *testing.T, cert, address, path string, out any) int {
	t.Helper()
	data, err := os.ReadFile(cert)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(data)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodGet, "https://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if out != nil {
		if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode
}

// reachableInstances returns the names of the instances that the given one regards
// as reachable, as a formatted set.
func reachableInstances(t *testing.T, cert, operators string) string {
	t.Helper()
	var state struct {
		Live []struct {
			ID string `json:"id"`
		} `json:"live"`
	}
	tlsGet(t, cert, operators, "/state", &state)
	names := map[string]bool{}
	for _, in := range state.Live {
		name, _, _ := strings.Cut(in.ID, ".")
		names[name] = true
	}
	return fmt.Sprint(names)
}

func TestSecuredInterfaces(t *testing.T) {
	_, platform := startStandin(t, "platform", "-lag", listLag)
	cert, key := writeSelfSignedCert(t)
	otherCert, otherKey := writeSelfSignedCert(t)
	a := startTLSInstance(t, "a1", platform, cert, key)
	b := startTLSInstance(t, "b1", platform, cert, key)
	startTLSInstance(t, "stranger", platform, otherCert, otherKey)
	eventually(t, "ready over TLS", func() bool { return tlsGet(t, cert, a.Callers, "/readyz", nil) == http.StatusOK })
	for _, address := range []string{a.Callers, a.Operators} {
		if got := call(http.MethodGet, "http://"+address+"/readyz", operatorToken, nil); got.status == http.StatusOK {
			t.Errorf("%s answers requests without TLS", address)
		}
	}
	if err := dialPeerWithoutCert(t, platform, "a1"); err == nil || !strings.Contains(err.Error(), "certificate required") {
		t.Errorf("peer connection without a certificate: error %v, want certificate required", err)
	}
	// Instances regard each other as reachable, but not the one whose certificate
	// was signed by another CA.
	for _, in := range []listenAddresses{a, b} {
		eventually(t, "the instance with a foreign certificate is not reachable", func() bool {
			return reachableInstances(t, cert, in.Operators) == fmt.Sprint(map[string]bool{"a1": true, "b1": true})
		})
	}
}

// dialPeerWithoutCert connects to an instance's peer address without a client
// certificate and returns the resulting error, which is nil if the instance
// accepts the connection and sends data.
func dialPeerWithoutCert(t *testing.T, platform, name string) error {
	t.Helper()
	var list struct {
		Instances []struct {
			ID   string `json:"id"`
			Peer string `json:"peer"`
		} `json:"instances"`
	}
	if err := json.Unmarshal([]byte(mustCall(t, http.MethodGet, platform+"/instances", "", nil).body), &list); err != nil {
		t.Fatal(err)
	}
	for _, in := range list.Instances {
		if !strings.HasPrefix(in.ID, name+".") {
			continue
		}
		conn, err := tls.Dial("tcp", in.Peer, &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13})
		if err != nil {
			return err
		}
		defer conn.Close()
		_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
		_, err = conn.Read(make([]byte, 1)) // With TLS 1.3 a rejected client certificate shows up at the first read.
		return err
	}
	t.Fatalf("instance %s is not on the instance list", name)
	return nil
}
