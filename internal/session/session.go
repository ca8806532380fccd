// Package session issues and verifies signed session tokens, and records which
// sessions are open or ended. A token carries the whole identity of its session,
// so any instance that has the signing key verifies it without stored state, and
// no restart, network partition or log outage invalidates a session.
package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Errors of Verify. Issue returns ErrUnknownKey too, wrapped with the key ID.
var (
	ErrMalformed  = eris.New("session: malformed token")
	ErrUnknownKey = eris.New("session: signed with an unknown key")
	ErrForged     = eris.New("session: signature does not match")
)

// A token is "gs1.ID.TEAM.HOME.KEYID.MAC". The four identity fields and the MAC
// (HMAC-SHA256 over everything before the last separator) are in unpadded
// base64url.
const (
	tokenPrefix = "gs1"
	separator   = "."
)

// Identity is the content of a session token.
type Identity struct {
	ID    record.SessionID `json:"id"`
	Team  record.Team      `json:"team"`
	Home  record.Zone      `json:"home"`   // Availability zone of the instance that issued the token.
	KeyID string           `json:"key_id"` // Key that signed the token.
}

// Keyring holds the HMAC keys by key ID. Issue signs with CurrentKeyID; Verify
// accepts every key. When keys are rotated, an old key has to stay until the
// last session that it signed has ended.
type Keyring struct {
	CurrentKeyID string
	Keys         map[string][]byte
}

// Issue returns a new session identity, with a random ID, and its token. The error
// is ErrUnknownKey if the keyring lacks the current key.
func (k Keyring) Issue(team record.Team, home record.Zone) (Identity, string, error) {
	key, ok := k.Keys[k.CurrentKeyID]
	if !ok {
		return Identity{}, "", eris.Wrapf(ErrUnknownKey, "session: current key %q", k.CurrentKeyID)
	}
	id := Identity{ID: record.SessionID(uuid.NewString()), Team: team, Home: home, KeyID: k.CurrentKeyID}
	body := strings.Join([]string{tokenPrefix, encodeField(string(id.ID)), encodeField(string(team)), encodeField(string(home)), encodeField(id.KeyID)}, separator)
	return id, body + separator + sign(key, body), nil
}

// Verify returns the identity of a token. The error is ErrMalformed for a token
// that cannot be parsed, ErrUnknownKey if the keyring lacks its key, and
// ErrForged for a wrong signature.
func (k Keyring) Verify(token string) (Identity, error) {
	macSeparator := strings.LastIndex(token, separator)
	if macSeparator < 0 {
		return Identity{}, ErrMalformed
	}
	body, mac := token[:macSeparator], token[macSeparator+1:]
	id, err := parseBody(body)
	if err != nil {
		return Identity{}, err
	}
	key, ok := k.Keys[id.KeyID]
	if !ok {
		return Identity{}, ErrUnknownKey
	}
	if !hmac.Equal([]byte(mac), []byte(sign(key, body))) {
		return Identity{}, ErrForged
	}
	return id, nil
}

// parseBody decodes the part of a token before the signature. It does not check
// the signature. The error is ErrMalformed.
func parseBody(body string) (Identity, error) {
	parts := strings.Split(body, separator)
	if len(parts) != 5 || parts[0] != tokenPrefix {
		return Identity{}, ErrMalformed
	}
	fields := make([]string, 4)
	for i, part := range parts[1:] {
		raw, err := base64.RawURLEncoding.DecodeString(part)
		if err != nil {
			return Identity{}, ErrMalformed
		}
		fields[i] = string(raw)
	}
	return Identity{
		ID:    record.SessionID(fields[0]),
		Team:  record.Team(fields[1]),
		Home:  record.Zone(fields[2]),
		KeyID: fields[3],
	}, nil
}

// encodeField encodes one identity field, so that it cannot contain the separator.
func encodeField(s string) string { return base64.RawURLEncoding.EncodeToString([]byte(s)) }

// sign returns the MAC of a token's body, encoded as in the token.
func sign(key []byte, body string) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}
