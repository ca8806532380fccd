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
	// fingerprintBytes is large enough that nobody can find two requests with the same
	// fingerprint.
	fingerprintBytes = metadataHashBytes + 16
)

// Fingerprint identifies a request by its content and the caller's organisation. Requests
// of different organisations never have the same one, so that no organisation can have
// another's requests refused. It begins with the request's metadataHash.
type Fingerprint [fingerprintBytes]byte

// metadataHash is a hash of a request that covers the length of the body but not its
// bytes, and is therefore cheap to compute.
type metadataHash [metadataHashBytes]byte

// Content holds the properties of a request by which the quarantine recognises it.
type Content struct {
	// Organisation is the owner of the caller's API key; "" for none.
	Organisation record.Team
	Method, Host string
	Target       string   // Path and query.
	Body         [][]byte // In pieces, whose number makes no difference.
	// Parts are the IDs of the parts of the prompt that other requests may share. They are not
	// covered by the fingerprint.
	Parts []string
}

// Fingerprint returns the fingerprint of the request: the truncated HMAC-SHA-256 of the
// content, with the organisation as its key.
func (c Content) Fingerprint() Fingerprint {
	h := c.newMetadataHasher()
	var f Fingerprint
	copy(f[:metadataHashBytes], h.Sum(nil))
	for _, piece := range c.Body {
		h.Write(piece)
	}
	copy(f[metadataHashBytes:], h.Sum(nil))
	return f
}

func (c Content) metadataHash() metadataHash {
	var m metadataHash
	copy(m[:], c.newMetadataHasher().Sum(nil))
	return m
}

// newMetadataHasher returns an HMAC-SHA-256 to which all of the content but the body's bytes
// has been written. Each value follows its length, so that different contents never have
// the same input.
func (c Content) newMetadataHasher() hash.Hash {
	h := hmac.New(sha256.New, []byte(c.Organisation))
	for _, part := range []string{c.Method, c.Host, c.Target} {
		h.Write(encodeLength(len(part)))
		h.Write([]byte(part))
	}
	bodyBytes := 0
	for _, piece := range c.Body {
		bodyBytes += len(piece)
	}
	h.Write(encodeLength(bodyBytes))
	return h
}

func encodeLength(n int) []byte { return binary.BigEndian.AppendUint64(nil, uint64(n)) }

func (f Fingerprint) metadataHash() metadataHash { return metadataHash(f[:metadataHashBytes]) }

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// parseFingerprint parses the result of String.
func parseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != fingerprintBytes {
		return f, eris.Errorf("quarantine: key %q is not a fingerprint of %d bytes in hexadecimal", text, fingerprintBytes)
	}
	copy(f[:], data)
	return f, nil
}
