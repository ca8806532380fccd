package logstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Topic names one set of keyed records.
type Topic string

// The topics that a gateway instance uses.
const (
	// TopicState has the operators' desired state under StateKey.
	TopicState Topic = "state"
	// TopicEndpoints has one record an endpoint, under the endpoint's identity.
	TopicEndpoints Topic = "endpoints"
	// TopicBudgets has one record an instance: what it holds of each budget.
	TopicBudgets Topic = "budgets"
	// TopicAllocators has one record an availability zone and slot: who claims
	// tokens there for the others.
	TopicAllocators Topic = "allocators"
	// TopicQuarantine has one record a request under which endpoints have ended.
	TopicQuarantine Topic = "quarantine"
)

// StateKey is the key of the newest desired state.
const StateKey = "config"

// Errors of keyed topics. Callers compare them with errors.Is.
var (
	// ErrFenced says that a writer with a higher epoch has taken over.
	ErrFenced = eris.New("logstore: writer fenced")
	// ErrSequence says that the write is not the writer's next one.
	ErrSequence = eris.New("logstore: write out of sequence")
)

// KeyedRecord is one record of a keyed topic. A nil Value ends the key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// KeyedPage is a part of a topic's records in order. Next is the offset after
// the last one. End is the topic's end when the page was made; where it is above Next,
// more records follow.
type KeyedPage struct {
	Records []KeyedRecord
	Next    uint64
	End     uint64
}

// WriteID identifies one write, so that a repeat has no second effect.
type WriteID struct {
	// Writer names the process; Epoch and Sequence count its lives and writes.
	Writer   string
	Epoch    uint64
	Sequence uint64
}

// KeyedLog is a log that keeps the newest record of each key for good.
type KeyedLog interface {
	// Newest returns the newest record of each key, and the offset to follow
	// from. Records after that offset may be among them already.
	Newest(ctx context.Context, topic Topic) (KeyedPage, error)
	// Follow returns records from an offset on. With none there yet it waits
	// up to wait. ErrTrimmed says that the offset is gone: begin with Newest.
	Follow(ctx context.Context, topic Topic, from uint64, wait time.Duration) (KeyedPage, error)
	// Put appends records, all or none. After ErrUnavailable they may be on
	// the log or come later; the same Write with the same records settles it.
	Put(ctx context.Context, topic Topic, w WriteID, records []KeyedRecord) error
}
