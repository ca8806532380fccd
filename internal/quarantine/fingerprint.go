package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

const (
	metadataHashBytes = 8
	// fingerprintBytes is enough that nobody finds two requests with the same one.
	fingerprintBytes = metadataHashBytes + 16
)

// Fingerprint stands for a request's content and its caller. Requests of two
// organisations never share one, so that none can have another's requests refused. It
// begins with the request's place.
type Fingerprint [fingerprintBytes]byte

// metadataHash stands for a request but for its body, of which it has the length only. It is
// cheap to take.
type metadataHash [metadataHashBytes]byte

// Content is what makes two requests the same.
type Content struct {
	// Organisation is whom the caller's key stands for; "" for none.
	Organisation record.Team
	Method, Host string
	Target       string // Path and query.
	Body         []byte
}

// Fingerprint returns the content's keyed hash.
func (c Content) Fingerprint() Fingerprint {
	h := c.newMetadataHasher()
	var f Fingerprint
	copy(f[:metadataHashBytes], h.Sum(nil))
	h.Write(c.Body)
	copy(f[metadataHashBytes:], h.Sum(nil))
	return f
}

func (c Content) metadataHash() metadataHash {
	var m metadataHash
	copy(m[:], c.newMetadataHasher().Sum(nil))
	return m
}

// newMetadataHasher returns the hash of all but the body's bytes.
func (c Content) newMetadataHasher() hash.Hash {
	h := hmac.New(sha256.New, []byte(c.Organisation))
	for _, part := range []string{c.Method, c.Host, c.Target} {
		h.Write(encodeLength(len(part)))
		h.Write([]byte(part))
	}
	h.Write(encodeLength(len(c.Body)))
	return h
}

func encodeLength(n int) []byte { return binary.BigEndian.AppendUint64(nil, uint64(n)) }

func (f Fingerprint) metadataHash() metadataHash { return metadataHash(f[:metadataHashBytes]) }

// String implements fmt.Stringer.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// parseFingerprint reads what String has written.
func parseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != fingerprintBytes {
		return f, eris.Errorf("quarantine: key %q is no fingerprint of %d bytes in hexadecimal", text, fingerprintBytes)
	}
	copy(f[:], data)
	return f, nil
}
