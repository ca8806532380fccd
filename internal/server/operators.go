package server

import (
	"net/http"
	"runtime"

	"guavapier/internal/entry"
	"guavapier/internal/fold"
	"guavapier/internal/metrics"
	"guavapier/internal/record"
)

func (s *Server) operatorsHandler() http.Handler {
	o := &entry.Operators{
		Token: s.secrets.Operator, Log: s.publisher, Config: s.config, Ledgers: s.partitions, State: func() any { return s.tables.Dump() },
	}
	return o.Handler()
}

// instanceRow is the state dump's table about the instance itself.
type instanceRow struct {
	ID       record.InstanceID `json:"id"`
	Name     string            `json:"name"`
	Zone     string            `json:"zone"`
	Draining bool              `json:"draining"`
}

// registerTables adds the tables and gauges that belong to no other part.
func (s *Server) registerTables() {
	s.tables.Register("instance", func() any {
		return instanceRow{ID: s.id, Name: s.settings.Instance.Name, Zone: s.settings.Instance.Zone, Draining: s.draining.Load()}
	})
	s.tables.Register("applied", func() any { return s.applied() })
	s.tables.Register("members", func() any { return s.members.list() })
	s.tables.Register("budgets", func() any { return s.budgets() })
	s.tables.Register("config", func() any {
		var values []fold.Value
		s.config.View(func(f *fold.Config) { values = f.List("") })
		return values
	})
	s.metrics.Gauge(metrics.Goroutines, func() int64 { return int64(runtime.NumGoroutine()) })
	s.metrics.Gauge(metrics.HeapBytes, heapBytes)
}

// applied gives, for each stream, the offset after the last applied entry.
func (s *Server) applied() map[record.Stream]uint64 {
	next := map[record.Stream]uint64{record.ConfigStream: s.config.Next()}
	for _, p := range s.partitions {
		next[p.Stream()] = p.Next()
	}
	return next
}

func (s *Server) budgets() []fold.Budget {
	rows := []fold.Budget{}
	for _, p := range s.partitions {
		p.View(func(f *fold.Ledger) { rows = append(rows, f.Budgets()...) })
	}
	return rows
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}
