package logstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Topic is the name of one ordered set of keyed records on a KeyedLog.
type Topic string

// The topics that a gateway instance uses.
const (
	// TopicState has the desired state, written by the operators, under StateKey.
	TopicState Topic = "state"
	// TopicEndpoints has one record per endpoint, under the endpoint's ID.
	TopicEndpoints Topic = "endpoints"
	// TopicBudgets has one record per instance: what it claims of each budget.
	TopicBudgets Topic = "budgets"
	// TopicAllocators has one record per availability zone and slot: which instance claims
	// tokens for the zone's other instances.
	TopicAllocators Topic = "allocators"
	// TopicQuarantine has one record per request that endpoints crashed while serving.
	TopicQuarantine Topic = "quarantine"
	// TopicInstances has one record per instance, under its name.
	TopicInstances Topic = "instances"
)

// StateKey is the key of the desired state in TopicState.
const StateKey = "config"

// Errors of keyed topics. Callers compare them with errors.Is.
var (
	// ErrFenced reports that a write of the same writer with a higher epoch is on the log.
	ErrFenced = eris.New("logstore: writer fenced")
	// ErrSequence reports that the write's sequence number neither follows nor equals that of
	// the writer's last write in the epoch.
	ErrSequence = eris.New("logstore: write out of sequence")
)

// KeyedRecord is one record of a keyed topic. A nil Value deletes the key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// KeyedPage holds consecutive records of a topic. Next is the offset after the last of them.
// End is the offset after the topic's last record when the page was read; if it is above
// Next, more records follow.
type KeyedPage struct {
	Records []KeyedRecord
	Next    uint64
	End     uint64
}

// WriteID identifies one write, so that a repeated write takes effect once.
type WriteID struct {
	// Writer identifies the writing process. Sequence numbers its writes within an Epoch; a
	// higher Epoch fences off late writes of the lower ones.
	Writer   string
	Epoch    uint64
	Sequence uint64
}

// KeyedLog is a log that keeps the newest record of each key without a time limit. Older
// records may be trimmed.
type KeyedLog interface {
	// Newest returns the newest record of each key, and as Next the offset to follow from.
	// Records at or after that offset may already be among them.
	Newest(ctx context.Context, topic Topic) (KeyedPage, error)
	// Follow returns the records from an offset on, and waits up to wait if there are none
	// yet. It returns ErrTrimmed if the offset is no longer kept: begin again with Newest.
	Follow(ctx context.Context, topic Topic, from uint64, wait time.Duration) (KeyedPage, error)
	// Put appends records, all or none. After ErrUnavailable they may be on the log or may
	// still arrive there; repeating the call with the same WriteID and records is safe and
	// makes sure of it. It returns ErrFenced or ErrSequence for a WriteID that is out of date.
	Put(ctx context.Context, topic Topic, w WriteID, records []KeyedRecord) error
}
