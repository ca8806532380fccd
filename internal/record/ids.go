// Package record defines every record that guavapier appends to the
// platform's log, the identities used in them, and their encoding.
//
// A record takes effect only when the fold of its stream, read in offset
// order, applies it. Records are never changed after they are written; a new
// meaning gets a new Kind.
package record

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// InstanceID names one run of one instance. It is drawn anew at each start,
// so an instance that restarts is a different instance and inherits no right.
type InstanceID string

// NewInstanceID draws an instance identity. The name is kept in front so that
// operators can read logs and state dumps.
func NewInstanceID(name string) InstanceID {
	return InstanceID(name + "." + uuid.NewString())
}

// Zone names an availability zone.
type Zone string

// Team names a team (the customer whose budgets are drawn on).
type Team string

// BudgetID names a prepaid budget within its team.
type BudgetID struct {
	Team Team   `cbor:"1,keyasint" json:"team"`
	Name string `cbor:"2,keyasint" json:"name"`
}

// String returns team/name.
func (b BudgetID) String() string { return string(b.Team) + "/" + b.Name }

// RightID names a right: a budget grant or the ownership of a claim shard.
type RightID string

// NewRightID draws a right identity.
func NewRightID() RightID { return RightID(uuid.NewString()) }

// RunID names the execution of one request. All attempts of a run share it.
type RunID string

// NewRunID draws a run identity. It is time-ordered (UUIDv7).
func NewRunID() RunID { return RunID(uuid.Must(uuid.NewV7()).String()) }

// SessionID names a session within its team.
type SessionID string

// RequestKey identifies one request of one caller, whatever its retries.
type RequestKey struct {
	Team    Team      `cbor:"1,keyasint" json:"team"`
	Session SessionID `cbor:"2,keyasint,omitempty" json:"session,omitempty"`
	Key     string    `cbor:"3,keyasint" json:"key"`
}

// String returns team/session/key.
func (k RequestKey) String() string {
	return string(k.Team) + "/" + string(k.Session) + "/" + k.Key
}

// Stream names one stream of the platform's log.
type Stream string

// ConfigStream carries settings changes.
const ConfigStream Stream = "config"

// LedgerStream returns the stream of ledger partition n.
func LedgerStream(n int) Stream { return Stream("ledger-" + strconv.Itoa(n)) }

// TeamPartition returns the ledger partition that holds a team's budgets.
func TeamPartition(team Team, partitions int) int {
	return int(xxhash.Sum64String(string(team)) % uint64(partitions))
}

// ClaimPartition returns the ledger partition that holds a request's claim.
// Claims are spread by key so that one large team does not load one shard.
func ClaimPartition(key RequestKey, partitions int) int {
	return int(xxhash.Sum64String(key.String()) % uint64(partitions))
}
