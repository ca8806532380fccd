package fold

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"guavapier/internal/record"
)

// ResultWindow is the number of offsets of the configuration stream for which
// the fold remembers a change's ID and result. A retry after that counts as a
// new change, which its base versions admit or refuse. At 2,100 changes a day
// and an hourly snapshot of 40 chunks the window is more than a day long; a
// change has at most config.MaxChangeBytes, which bounds the memory.
const ResultWindow = 4096

// Value is one row of the settings table.
type Value struct {
	Path    string `json:"path" cbor:"1,keyasint"`
	Value   string `json:"value" cbor:"2,keyasint"`
	Version uint64 `json:"version" cbor:"3,keyasint"` // Offset of the change that set the value, plus 1.
	By      string `json:"by" cbor:"4,keyasint"`
	Change  string `json:"change" cbor:"5,keyasint"`
}

// Verdict is the fold's decision on a change.
type Verdict string

// The verdicts. Only an accepted change modifies the table.
const (
	VerdictAccepted Verdict = "accepted"
	// VerdictLost: another change modified one of the paths first.
	VerdictLost Verdict = "lost"
	// VerdictOutOfScope: a path is outside the subtree that the change is
	// restricted to.
	VerdictOutOfScope Verdict = "out_of_scope"
	// VerdictRevoked: the credential no longer existed when the change was
	// applied.
	VerdictRevoked Verdict = "credential_revoked"
)

// ChangeResult is a change with the fold's decision on it. Offset is the offset
// at which the decision was made.
type ChangeResult struct {
	ID       string  `json:"id" cbor:"1,keyasint"`
	Accepted bool    `json:"accepted" cbor:"2,keyasint"`
	Verdict  Verdict `json:"verdict" cbor:"3,keyasint"`
	Offset   uint64  `json:"offset" cbor:"4,keyasint"`
	// Lost lists the current values, and who set them, of the paths on which a
	// refused change was based on another version. A path without a value has
	// version 0.
	Lost []Value `json:"lost,omitempty" cbor:"5,keyasint,omitempty"`
	// By, UnixMilli and Ops are those of the change; the history shows them.
	By        string            `json:"by" cbor:"6,keyasint"`
	UnixMilli int64             `json:"unix_milli" cbor:"7,keyasint"`
	Ops       []record.ChangeOp `json:"ops" cbor:"8,keyasint"`
	// Digest distinguishes the change from a different one with the same ID.
	Digest uint64 `json:"-" cbor:"9,keyasint"`
}

// Config is the table of settings by path. It is not safe for concurrent use.
//
// Invariants: a path's version only rises while the path has a value; a change
// applies entirely or not at all, and at most once within ResultWindow.
type Config struct {
	values  map[string]Value
	results map[string]ChangeResult
	// resultIDs holds the keys of results in the order of their offsets.
	resultIDs []string
	next      uint64
}

// NewConfig returns an empty table.
func NewConfig() *Config {
	return &Config{
		values:  map[string]Value{},
		results: map[string]ChangeResult{},
	}
}

// NextOffset returns the offset after the last applied batch.
func (c *Config) NextOffset() uint64 { return c.next }

// Len returns the number of paths that have a value.
func (c *Config) Len() int { return len(c.values) }

// Get returns the value at a path.
func (c *Config) Get(path string) (Value, bool) {
	v, ok := c.values[path]
	return v, ok
}

// List returns the values at and below prefix, sorted by path.
func (c *Config) List(prefix string) []Value {
	out := []Value{}
	for path, v := range c.values {
		if IsAtOrBelow(path, prefix) {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b Value) int { return cmp.Compare(a.Path, b.Path) })
	return out
}

// IsAtOrBelow reports whether path equals prefix or is below it. A slash at the
// end of prefix has no meaning.
func IsAtOrBelow(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

// Result returns the decision on a change, if the fold remembers it.
func (c *Config) Result(id string) (ChangeResult, bool) {
	r, ok := c.results[id]
	return r, ok
}

// History returns the remembered changes, accepted or not, that have an
// operation at or below prefix: newest first, at most limit of them.
func (c *Config) History(prefix string, limit int) []ChangeResult {
	out := []ChangeResult{}
	for _, id := range slices.Backward(c.resultIDs) {
		if len(out) == limit {
			break
		}
		r := c.results[id]
		if slices.ContainsFunc(r.Ops, func(op record.ChangeOp) bool { return IsAtOrBelow(op.Path, prefix) }) {
			out = append(out, r)
		}
	}
	return out
}

// Apply applies the batch at an offset. Offsets that were applied before have
// no effect; in a copy of a batch at a later offset, each change is recognized
// by its ID. The first record that cannot be decoded ends the batch; the error
// is that of record.Decode.
func (c *Config) Apply(offset uint64, batch record.Batch) error {
	if offset < c.next {
		return nil
	}
	c.next = offset + 1
	c.pruneResults(offset)
	for _, env := range batch.Records {
		rec, err := record.Decode(env)
		if err != nil {
			return err
		}
		if change, ok := rec.(record.Change); ok {
			c.applyChange(offset, change)
		}
	}
	return nil
}

// pruneResults removes the results that are older than ResultWindow.
func (c *Config) pruneResults(offset uint64) {
	if offset < ResultWindow {
		return
	}
	oldest := offset - ResultWindow
	for len(c.resultIDs) > 0 && c.results[c.resultIDs[0]].Offset < oldest {
		delete(c.results, c.resultIDs[0])
		c.resultIDs = c.resultIDs[1:]
	}
}

// applyChange applies all operations of a change or none. A change whose ID is
// remembered has no effect.
func (c *Config) applyChange(offset uint64, change record.Change) {
	if _, seen := c.results[change.ID]; seen {
		return
	}
	result := ChangeResult{
		ID: change.ID, Offset: offset, By: change.By, UnixMilli: change.UnixMilli, Ops: change.Ops, Digest: ChangeDigest(change.Ops),
	}
	result.Verdict, result.Lost = c.evaluate(change)
	result.Accepted = result.Verdict == VerdictAccepted
	c.results[change.ID] = result
	c.resultIDs = append(c.resultIDs, change.ID)
	if !result.Accepted {
		return
	}
	for _, op := range change.Ops {
		if op.Delete {
			delete(c.values, op.Path)
			continue
		}
		c.values[op.Path] = Value{Path: op.Path, Value: op.Value, Version: offset + 1, By: change.By, Change: change.ID}
	}
}

// evaluate decides whether a change applies, and returns the current values of
// the paths with another version. The scope and the credential are checked here
// and not only in the operators' API, because a credential may be revoked while
// the change is on its way to the log.
func (c *Config) evaluate(change record.Change) (Verdict, []Value) {
	if change.Credential != "" {
		if _, exists := c.values[change.Credential]; !exists {
			return VerdictRevoked, nil
		}
	}
	var lost []Value
	for _, op := range change.Ops {
		if change.Scope != "" && !IsAtOrBelow(op.Path, change.Scope) {
			return VerdictOutOfScope, nil
		}
		if current := c.values[op.Path]; current.Version != op.Base {
			current.Path = op.Path
			lost = append(lost, current)
		}
	}
	if len(lost) > 0 {
		return VerdictLost, lost
	}
	return VerdictAccepted, nil
}

// ChangeDigest returns a hash of a change's operations. It tells a retry of a
// change from a different change with the same ID.
func ChangeDigest(ops []record.ChangeOp) uint64 {
	data, err := cbor.Marshal(ops)
	if err != nil {
		return 0 // Cannot happen: the operations are strings and numbers.
	}
	return xxhash.Sum64(data)
}
