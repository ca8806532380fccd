// Package state collects the tables of one instance for its state dump. Each component
// registers its tables when it is constructed; the operators' interface serves all of them
// as JSON.
package state

import (
	"sync"
)

// Registry holds the tables of one instance by name. It is safe for concurrent use.
type Registry struct {
	mu     sync.Mutex
	tables map[string]func() any
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{tables: map[string]func() any{}}
}

// Register adds a table, replacing one of the same name. read is called for each dump and
// returns a copy that can be encoded as JSON; it takes the locks that it needs.
func (r *Registry) Register(name string, read func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tables[name] = read
}

// Dump returns a copy of every table by name. The tables are read one after the other, so
// rows of two tables may be some milliseconds apart.
func (r *Registry) Dump() map[string]any {
	dump := map[string]any{}
	for name, read := range r.copyTables() {
		dump[name] = read()
	}
	return dump
}

// copyTables copies the map of tables, so that r.mu is not held while they are read.
func (r *Registry) copyTables() map[string]func() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	tables := make(map[string]func() any, len(r.tables))
	for name, read := range r.tables {
		tables[name] = read
	}
	return tables
}
