// Package record defines the records that guavapier appends to the platform's
// log, the identifiers used in them, and their CBOR encoding.
//
// A record takes effect when the fold of its stream, which reads the stream in
// offset order, applies it. A written record never changes; a new meaning gets
// a new Kind.
package record

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// InstanceID identifies one process of an instance. It is generated at each
// start, so that a restarted instance is a new one and inherits none of the
// rights that it held before.
type InstanceID string

// NewInstanceID returns a new identifier of the form NAME.UUID. It contains the
// configured name so that operators can read logs and state dumps.
func NewInstanceID(name string) InstanceID {
	return InstanceID(name + "." + uuid.NewString())
}

// Zone is the name of an availability zone.
type Zone string

// Team is the name of a team, the customer that owns prepaid budgets.
type Team string

// BudgetID identifies a prepaid budget by its team and its name within the
// team.
type BudgetID struct {
	Team Team   `cbor:"1,keyasint" json:"team"`
	Name string `cbor:"2,keyasint" json:"name"`
}

// String returns TEAM/NAME.
func (b BudgetID) String() string { return string(b.Team) + "/" + b.Name }

// RightID identifies a right: a budget grant or one epoch of a claim shard.
type RightID string

// NewRightID returns a new random identifier (UUIDv4).
func NewRightID() RightID { return RightID(uuid.NewString()) }

// RunID identifies the execution of one request. All attempts of the execution
// share it.
type RunID string

// NewRunID returns a new time-ordered identifier (UUIDv7).
func NewRunID() RunID { return RunID(uuid.Must(uuid.NewV7()).String()) }

// SessionID identifies a session within its team.
type SessionID string

// RequestKey identifies one request of one caller; retries of the request have
// the same key. Session is empty for a request outside a session.
type RequestKey struct {
	Team    Team      `cbor:"1,keyasint" json:"team"`
	Session SessionID `cbor:"2,keyasint,omitempty" json:"session,omitempty"`
	Key     string    `cbor:"3,keyasint" json:"key"`
}

// String returns TEAM/SESSION/KEY.
func (k RequestKey) String() string {
	return string(k.Team) + "/" + string(k.Session) + "/" + k.Key
}

// Stream is the name of one stream of the platform's log.
type Stream string

// ConfigStream carries the changes of settings and the snapshots of the
// settings table.
const ConfigStream Stream = "config"

// LedgerStream returns the name of the stream of ledger partition n, counted
// from 0.
func LedgerStream(n int) Stream { return Stream("ledger-" + strconv.Itoa(n)) }

// TeamPartition returns the number of the ledger partition that holds a team's
// budgets, from 0 to partitions-1.
func TeamPartition(team Team, partitions int) int {
	return int(xxhash.Sum64String(string(team)) % uint64(partitions))
}

// ClaimPartition returns the number of the ledger partition that holds a
// request's claim, from 0 to partitions-1. Claims are spread by request key
// rather than by team, so that one large team does not load a single claim
// shard.
func ClaimPartition(key RequestKey, partitions int) int {
	return int(xxhash.Sum64String(key.String()) % uint64(partitions))
}
