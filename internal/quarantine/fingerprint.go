package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"guavapier/internal/record"
)

// fingerprintBytes is enough that nobody finds two requests with the same one.
const fingerprintBytes = 16

// Fingerprint stands for a request's content and its caller. Requests of two
// organisations never share one, so that none can have another's requests refused.
type Fingerprint [fingerprintBytes]byte

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
	h := hmac.New(sha256.New, []byte(c.Organisation))
	for _, part := range []string{c.Method, c.Host, c.Target} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	h.Write(c.Body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String implements fmt.Stringer.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// parseFingerprint reads what String has written.
func parseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != fingerprintBytes {
		return f, errNoFingerprint
	}
	copy(f[:], data)
	return f, nil
}
