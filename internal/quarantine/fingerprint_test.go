package quarantine

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"guavapier/internal/record"
)

// drawContent draws a content with short values, so that equal ones are frequent.
func drawContent(t *rapid.T, name string) Content {
	text := rapid.StringOfN(rapid.SampledFrom([]rune("ab/")), 0, 3, -1)
	return Content{
		Organisation: record.Team(text.Draw(t, name+" organisation")), Method: text.Draw(t, name+" method"),
		Host: text.Draw(t, name+" host"), Target: text.Draw(t, name+" target"), Body: [][]byte{[]byte(text.Draw(t, name+" body"))},
	}
}

func TestFingerprintsDifferExactlyWhereContentsDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawContent(t, "first"), drawContent(t, "second")
		same := a.Organisation == b.Organisation && a.Method == b.Method && a.Host == b.Host && a.Target == b.Target && string(bytes.Join(a.Body, nil)) == string(bytes.Join(b.Body, nil))
		if got := a.Fingerprint() == b.Fingerprint(); got != same {
			t.Fatalf("contents %+v and %+v: same fingerprint is %v, want the opposite", a, b, got)
		}
		if parsed, err := parseFingerprint(a.Fingerprint().String()); err != nil || parsed != a.Fingerprint() {
			t.Fatalf("fingerprint %s is parsed as %s, error %v", a.Fingerprint(), parsed, err)
		}
	})
}

func TestMalformedFingerprintsAreRejected(t *testing.T) {
	for _, text := range []string{"", "ab", "zz", "00112233445566778899aabbccddeeff00"} {
		if _, err := parseFingerprint(text); err == nil {
			t.Errorf("%q is accepted as a fingerprint", text)
		}
	}
}
