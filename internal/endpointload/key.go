package endpointload

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies an incarnation of an endpoint in messages, in a third of the bytes of its ID. Two
// of 640 endpoints share one with a probability of 5 in 100,000; the loads of both are then taken
// for that of each.
type Key uint32

// KeyOf returns the key of the endpoint with this ID whose process started at born, in Unix
// milliseconds. An endpoint that restarts under its ID has another key, so that no late message
// adds the load of its predecessor.
func KeyOf(id string, born int64) Key {
	buf := make([]byte, 0, 64)
	buf = append(buf, id...)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(born))
	return Key(xxhash.Sum64(buf))
}

// KeyedLoad is the load of the endpoint with this key.
type KeyedLoad struct {
	Key Key
	Load
}

// KeyedSample is a Sample of the endpoint with this key.
type KeyedSample struct {
	Key    Key
	Tokens int64
	TTFT   time.Duration
}

// KeyedReport is the report of the endpoint with this key.
type KeyedReport struct {
	Key Key
	Report
}

// sub subtracts a load that was added before.
func (l *Load) sub(other Load) {
	l.Requests -= other.Requests
	l.Waiting -= other.Waiting
	l.Prefill -= other.Prefill
	l.Tokens -= other.Tokens
}
