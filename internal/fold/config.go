package fold

import (
	"maps"
	"slices"
	"strings"

	"guavapier/internal/record"
)

// Value is one row of the settings table.
type Value struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Version uint64 `json:"version"` // Offset plus one of the change that set it.
	By      string `json:"by"`
	Change  string `json:"change"`
}

// ChangeResult says what became of a change.
type ChangeResult struct {
	ID       string `json:"id"`
	Accepted bool   `json:"accepted"`
	Offset   uint64 `json:"offset"`
	// Lost lists the values that stood at the paths on which a refused change
	// lost its race.
	Lost []Value `json:"lost,omitempty"`
}

// Config holds the settings under paths. It is not safe for concurrent use.
type Config struct {
	values  map[string]Value
	results map[string]ChangeResult
	writers map[record.InstanceID]uint64
	next    uint64
}

// NewConfig returns the empty table.
func NewConfig() *Config {
	return &Config{
		values:  map[string]Value{},
		results: map[string]ChangeResult{},
		writers: map[record.InstanceID]uint64{},
	}
}

// Next returns the offset after the last applied batch.
func (c *Config) Next() uint64 { return c.next }

// Get returns the value at a path.
func (c *Config) Get(path string) (Value, bool) {
	v, ok := c.values[path]
	return v, ok
}

// List returns the values at and below a path, by path.
func (c *Config) List(prefix string) []Value {
	var out []Value
	for _, path := range slices.Sorted(maps.Keys(c.values)) {
		if Within(path, prefix) {
			out = append(out, c.values[path])
		}
	}
	return out
}

// Within says whether path is prefix or below it.
func Within(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

// Result returns what became of a change.
func (c *Config) Result(id string) (ChangeResult, bool) {
	r, ok := c.results[id]
	return r, ok
}

// Apply applies the batch at an offset; see Ledger.Apply.
func (c *Config) Apply(offset uint64, batch record.Batch) error {
	if offset < c.next {
		return nil
	}
	c.next = offset + 1
	if batch.Seq <= c.writers[batch.Writer] {
		return nil
	}
	c.writers[batch.Writer] = batch.Seq
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

// applyChange applies all operations of a change or none. A change identity
// that was seen before has no effect.
func (c *Config) applyChange(offset uint64, change record.Change) {
	if _, seen := c.results[change.ID]; seen {
		return
	}
	result := ChangeResult{ID: change.ID, Accepted: true, Offset: offset}
	for _, op := range change.Ops {
		if current := c.values[op.Path]; current.Version != op.Base {
			result.Accepted = false
			result.Lost = append(result.Lost, current)
		}
	}
	c.results[change.ID] = result
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
