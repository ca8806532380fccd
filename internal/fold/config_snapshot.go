package fold

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// configState is the encoded state of a Config. Values are sorted by path and
// results are in the order of their offsets, so that equal states encode to
// equal bytes.
type configState struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Next    uint64
	Values  []Value
	Results []ChangeResult
}

// Snapshot returns the encoded state. Equal states encode to equal bytes.
func (c *Config) Snapshot() ([]byte, error) {
	s := configState{Version: configSnapshotVersion, Next: c.next}
	for _, path := range slices.Sorted(maps.Keys(c.values)) {
		s.Values = append(s.Values, c.values[path])
	}
	for _, id := range c.resultIDs {
		s.Results = append(s.Results, c.results[id])
	}
	return encodeState(s)
}

// Restore replaces the state with that of a snapshot. It returns
// ErrUnusableSnapshot, and then leaves the state unchanged.
func (c *Config) Restore(data []byte) error {
	var s configState
	if err := cbor.Unmarshal(data, &s); err != nil {
		return eris.Wrap(ErrUnusableSnapshot, err.Error())
	}
	if s.Version != configSnapshotVersion {
		return eris.Wrapf(ErrUnusableSnapshot, "fold: config snapshot has unsupported version %d", s.Version)
	}
	fresh := NewConfig()
	fresh.next = s.Next
	for _, v := range s.Values {
		fresh.values[v.Path] = v
	}
	for _, r := range s.Results {
		fresh.results[r.ID] = r
		fresh.resultIDs = append(fresh.resultIDs, r.ID)
	}
	*c = *fresh
	return nil
}
