package decide

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// prefixTableSize bounds the memory of the prefix table: 65,536 rows of 24
// bytes. A row that is overwritten makes one prediction worse, never an
// answer wrong.
const prefixTableSize = 1 << 16

type prefixRow struct {
	session  uint64
	endpoint *endpointRow
	tokens   int // Length of the prefix.
}

// prefixTable records which endpoint computed a session's prefix last, by the
// hash of the session. It is direct mapped: no allocation, no scan, and no
// iteration order to depend on.
type prefixTable struct{ rows []prefixRow }

func newPrefixTable() prefixTable { return prefixTable{rows: make([]prefixRow, prefixTableSize)} }

// set records that the endpoint holds that many tokens of the session's
// prefix, or none.
func (t prefixTable) set(session uint64, e *endpointRow, tokens int) {
	row := &t.rows[session%prefixTableSize]
	if tokens <= 0 {
		if row.session == session && row.endpoint == e {
			*row = prefixRow{}
		}
		return
	}
	*row = prefixRow{session: session, endpoint: e, tokens: tokens}
}

// get returns the endpoint that probably holds the session's prefix and the
// prefix's length in tokens, or nil.
func (t prefixTable) get(session uint64) (*endpointRow, int) {
	row := &t.rows[session%prefixTableSize]
	if row.session != session {
		return nil, 0
	}
	return row.endpoint, row.tokens
}

// removeEndpoint drops all rows of an endpoint.
func (t prefixTable) removeEndpoint(e *endpointRow) {
	for i := range t.rows {
		if t.rows[i].endpoint == e {
			t.rows[i] = prefixRow{}
		}
	}
}

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// rendezvous returns the weighted rendezvous score of a key at a node, both
// given as hashes. The node with the highest score gets the key. Over many
// keys each node gets a share in proportion to its weight, and a change of
// one node moves only that node's keys.
func rendezvous(key, node uint64, weight float64) float64 {
	return rendezvousScore(rendezvousUnit(key, node), weight)
}

// rendezvousUnit maps the hash of key and node to a number between 0 and 1.
func rendezvousUnit(key, node uint64) float64 {
	const unitBits = 53
	return (float64(mix64(key^node)>>(64-unitBits)) + 0.5) / (1 << unitBits)
}

func rendezvousScore(unit, weight float64) float64 { return -weight / math.Log(unit) }

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
