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

// Errors of the credential checks.
var (
	// ErrForged says that no such credential stands in the settings.
	ErrForged = eris.New("config: credential is not valid")
	// ErrExpired says that the credential's time is over by this instance's
	// clock. Clocks may differ between instances by as much as they are off;
	// delete a credential to end it everywhere.
	ErrExpired = eris.New("config: credential has expired")
)

// HashKey returns the form in which a credential stands in the settings.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func join(parts ...string) string { return strings.Join(parts, "/") }

// TeamPath returns the subtree of a team.
func TeamPath(team record.Team) string { return join(TeamsPath, string(team)) }

// APIKeyPath returns the path that makes key a credential of team. The value
// is a note for people.
func APIKeyPath(team record.Team, key string) string {
	return join(TeamPath(team), apiKeysName, HashKey(key))
}

// OperatorKeyPath returns the path that makes key an operator's credential of
// team, or of the fleet if team is empty.
func OperatorKeyPath(team record.Team, key string) string {
	if team == "" {
		return join(FleetPath, operatorKeysName, HashKey(key))
	}
	return join(TeamPath(team), operatorKeysName, HashKey(key))
}

// ExpiresPath returns the path of a credential's last moment.
func ExpiresPath(credential string) string { return join(credential, expiresName) }

// TeamOfKey returns the team that a key of the form team:secret names.
func TeamOfKey(key string) (record.Team, bool) {
	name, secret, ok := strings.Cut(key, ":")
	if !ok || secret == "" || !ValidName(name) {
		return "", false
	}
	return record.Team(name), true
}

// credential checks that a credential stands and has not expired.
func credential(c *fold.Config, path string, now time.Time) (fold.Value, error) {
	v, ok := c.Get(path)
	if !ok {
		return fold.Value{}, ErrForged
	}
	limit, ok := c.Get(ExpiresPath(path))
	if !ok {
		return v, nil
	}
	expires, err := time.Parse(time.RFC3339, limit.Value)
	if err != nil || !now.Before(expires) {
		return fold.Value{}, ErrExpired
	}
	return v, nil
}

// Operator is who calls the operators' interface.
type Operator struct {
	// Name stands in the history of changes.
	Name string
	// Team is empty for a fleet operator.
	Team record.Team
	// Credential is the path that the credential stands at; empty for the
	// token of the settings file.
	Credential string
}

// Fleet says whether the operator may act on the whole fleet.
func (o Operator) Fleet() bool { return o.Team == "" }

// Scope is the subtree that the operator may change; "" is all.
func (o Operator) Scope() string {
	if o.Fleet() {
		return ""
	}
	return TeamPath(o.Team)
}

// MayRead says whether the operator may see a path.
func (o Operator) MayRead(path string) bool { return o.Fleet() || fold.IsAtOrBelow(path, o.Scope()) }

// AuthenticateOperator returns the operator of a token that stands in the
// settings. Errors: ErrForged, ErrExpired.
func AuthenticateOperator(c *fold.Config, token string, now time.Time) (Operator, error) {
	if team, ok := TeamOfKey(token); ok {
		path := OperatorKeyPath(team, token)
		v, err := credential(c, path, now)
		if err == nil || eris.Is(err, ErrExpired) {
			return Operator{Name: "team " + string(team) + ": " + v.Value, Team: team, Credential: path}, err
		}
	}
	path := OperatorKeyPath("", token)
	v, err := credential(c, path, now)
	return Operator{Name: "fleet: " + v.Value, Credential: path}, err
}
