// Package state collects the tables of one instance for its state dump. Each
// part registers its tables when it is put together; the operators' interface
// shows them all as JSON.
package state

import (
	"sync"
)

// Registry names the tables of one instance. It is safe for concurrent use.
type Registry struct {
	mu     sync.Mutex
	tables map[string]func() any
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{tables: map[string]func() any{}}
}

// Register adds a table. read returns a copy that can be encoded as JSON; it
// is called for each dump and takes the locks that it needs. A name that is
// registered again shows the later table.
func (r *Registry) Register(name string, read func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tables[name] = read
}

// Dump reads every table. The tables are read one after the other, so rows of
// two tables may be some milliseconds apart.
func (r *Registry) Dump() map[string]any {
	dump := map[string]any{}
	for name, read := range r.copyTables() {
		dump[name] = read()
	}
	return dump
}

// copyTables copies the table list, so that no table is read under r.mu.
func (r *Registry) copyTables() map[string]func() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	tables := make(map[string]func() any, len(r.tables))
	for name, read := range r.tables {
		tables[name] = read
	}
	return tables
}
