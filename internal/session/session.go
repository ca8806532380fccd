// Package session makes and verifies session identities. An identity carries
// all that is needed to verify it, so any instance can do so without state
// and no restart, partition or outage can drop a session.
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

// Errors of Verify.
var (
	ErrMalformed  = eris.New("session: malformed token")
	ErrUnknownKey = eris.New("session: signed with an unknown key")
	ErrForged     = eris.New("session: signature does not match")
)

const (
	tokenPrefix = "gs1"
	separator   = "."
)

// Identity is what a session token says.
type Identity struct {
	ID    record.SessionID `json:"id"`
	Team  record.Team      `json:"team"`
	Home  record.Zone      `json:"home"`
	KeyID string           `json:"key_id"`
}

// Keyring holds the signing keys by key id. Old keys stay until their last
// session has ended; new sessions are signed with Current.
type Keyring struct {
	CurrentKeyID string
	Keys         map[string][]byte
}

// Issue makes a new identity and its token.
func (k Keyring) Issue(team record.Team, home record.Zone) (Identity, string, error) {
	key, ok := k.Keys[k.CurrentKeyID]
	if !ok {
		return Identity{}, "", eris.Wrapf(ErrUnknownKey, "session: current key %q", k.CurrentKeyID)
	}
	id := Identity{ID: record.SessionID(uuid.NewString()), Team: team, Home: home, KeyID: k.CurrentKeyID}
	body := strings.Join([]string{tokenPrefix, encodeField(string(id.ID)), encodeField(string(team)), encodeField(string(home)), encodeField(id.KeyID)}, separator)
	return id, body + separator + sign(key, body), nil
}

// Verify checks a token and returns its identity.
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

func encodeField(s string) string { return base64.RawURLEncoding.EncodeToString([]byte(s)) }

func sign(key []byte, body string) string {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(body))
	return base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}
