package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/fold"
	"guavapier/internal/record"
)

// Reasons for which a credential is refused.
var (
	// ErrInvalidCredential reports that the settings contain no such credential.
	ErrInvalidCredential = eris.New("config: credential is not valid")
	// ErrExpiredCredential reports that the credential has expired by this
	// instance's clock. As clocks may differ, instances may disagree on it by their
	// clock skew; deleting a credential revokes it on all instances.
	ErrExpiredCredential = eris.New("config: credential has expired")
)

// HashKey returns the form in which the settings store a credential: its
// SHA-256 in lower-case hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func joinPath(parts ...string) string { return strings.Join(parts, "/") }

// TeamPath returns the root of a team's subtree, /teams/{team}.
func TeamPath(team record.Team) string { return joinPath(TeamsPath, string(team)) }

// APIKeyPath returns the path whose presence makes key an API key of team. Its
// value is a free-form note.
func APIKeyPath(team record.Team, key string) string {
	return joinPath(TeamPath(team), apiKeysSegment, HashKey(key))
}

// OperatorKeyPath returns the path whose presence makes key an operator key of
// team, or of the fleet if team is empty.
func OperatorKeyPath(team record.Team, key string) string {
	if team == "" {
		return joinPath(FleetPath, operatorKeysSegment, HashKey(key))
	}
	return joinPath(TeamPath(team), operatorKeysSegment, HashKey(key))
}

// ExpiresPath returns the path of the expiry time of the credential at the path
// credential. Its value is an RFC 3339 time.
func ExpiresPath(credential string) string { return joinPath(credential, expiresSegment) }

// TeamFromKey returns the team named by a key of the form team:secret. It is
// false for a key of another form.
func TeamFromKey(key string) (record.Team, bool) {
	name, secret, ok := strings.Cut(key, ":")
	if !ok || secret == "" || !ValidName(name) {
		return "", false
	}
	return record.Team(name), true
}

// findCredential returns the value at a credential's path. Errors:
// ErrInvalidCredential if there is none, ErrExpiredCredential if it has expired
// or its expiry time is malformed.
func findCredential(c *fold.Config, path string, now time.Time) (fold.Value, error) {
	v, ok := c.Get(path)
	if !ok {
		return fold.Value{}, ErrInvalidCredential
	}
	expiry, ok := c.Get(ExpiresPath(path))
	if !ok {
		return v, nil
	}
	expires, err := time.Parse(time.RFC3339, expiry.Value)
	if err != nil || !now.Before(expires) {
		return fold.Value{}, ErrExpiredCredential
	}
	return v, nil
}

// Operator is an authenticated caller of the operators' API.
type Operator struct {
	// Name is recorded as the author of a change in the history.
	Name string
	// Team is empty for a fleet operator.
	Team record.Team
	// Credential is the path of the operator's credential; empty for the token
	// of the settings file.
	Credential string
}

// IsFleetOperator reports whether the operator may act on the whole fleet.
func (o Operator) IsFleetOperator() bool { return o.Team == "" }

// Scope returns the root of the subtree that the operator may change; "" means
// all paths.
func (o Operator) Scope() string {
	if o.IsFleetOperator() {
		return ""
	}
	return TeamPath(o.Team)
}

// MayRead reports whether the operator may read a path.
func (o Operator) MayRead(path string) bool {
	return o.IsFleetOperator() || fold.IsAtOrBelow(path, o.Scope())
}

// AuthenticateOperator returns the operator whose token is in the settings. A
// token of the form team:secret is looked up among the team's operator keys
// first, then among the fleet's. Errors: ErrInvalidCredential,
// ErrExpiredCredential.
func AuthenticateOperator(c *fold.Config, token string, now time.Time) (Operator, error) {
	if team, ok := TeamFromKey(token); ok {
		path := OperatorKeyPath(team, token)
		v, err := findCredential(c, path, now)
		if err == nil || eris.Is(err, ErrExpiredCredential) {
			return Operator{Name: "team " + string(team) + ": " + v.Value, Team: team, Credential: path}, err
		}
	}
	path := OperatorKeyPath("", token)
	v, err := findCredential(c, path, now)
	return Operator{Name: "fleet: " + v.Value, Credential: path}, err
}
