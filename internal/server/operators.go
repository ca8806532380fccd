package server

import (
	"net/http"
	"runtime"
	"time"

	"guavapier/internal/fold"
	"guavapier/internal/logstore"
	"guavapier/internal/metrics"
	"guavapier/internal/operator"
	"guavapier/internal/record"
	"guavapier/internal/snapshot"
)

// changeTimeout bounds the time that an operator's change waits for the log. It
// allows for two lost responses, and is below the 9 s within which an accepted
// change must be in force on all instances.
const changeTimeout = 5 * time.Second

// operatorsHandler returns the handler of the operators' interface.
func (s *Server) operatorsHandler() http.Handler {
	o := &operator.API{
		FleetToken: s.secrets.Operator, Log: s.publisher, Config: s.config, Ledgers: s.partitions,
		State: s.tables, Metrics: s.metrics, Instances: s.listInstances, ConfirmTimeout: changeTimeout,
		CloseGrant: s.budgets.ForceClose, CloseShard: s.holder.ForceClose,
	}
	return s.metrics.Measure(metrics.OperatorsHTTP, o.Handler())
}

// listInstances returns the platform's instance list with this instance's row
// replaced by its current state.
func (s *Server) listInstances() []logstore.Instance {
	rows := []logstore.Instance{s.self()}
	for _, in := range s.members.List().Instances {
		if in.ID != s.id {
			rows = append(rows, in)
		}
	}
	return rows
}

// instanceRow is the table "instance" of the state dump.
type instanceRow struct {
	ID       record.InstanceID `json:"id"`
	Name     string            `json:"name"`
	Zone     string            `json:"zone"`
	Draining bool              `json:"draining"`
}

// registerTables registers the state tables and metrics that no other component
// registers.
func (s *Server) registerTables() {
	s.tables.Register("instance", func() any {
		return instanceRow{ID: s.id, Name: s.settings.Instance.Name, Zone: s.settings.Instance.Zone, Draining: s.draining.Load()}
	})
	s.tables.Register("applied", func() any { return s.appliedOffsets() })
	s.tables.Register("members", func() any { return s.members.List() })
	s.tables.Register("live", func() any { return s.members.Live() })
	s.tables.Register("budgets", func() any { return s.budgetRows() })
	s.tables.Register("config", func() any {
		var values []fold.Value
		s.config.View(func(f *fold.Config) { values = f.List("") })
		return values
	})
	s.tables.Register("streams", func() any { return s.streamRows() })
	s.registerMetrics()
}

// streamRow is a row of the table "streams" of the state dump. Next is the offset
// after the last applied entry, First the oldest offset that the log was seen to
// keep.
type streamRow struct {
	Stream   record.Stream    `json:"stream"`
	Next     uint64           `json:"next"`
	First    uint64           `json:"first_kept"`
	Current  bool             `json:"current"`
	Gap      bool             `json:"gap"`
	Snapshot snapshot.Summary `json:"snapshot"`
}

func (s *Server) streamRows() []streamRow {
	rows := []streamRow{}
	for _, st := range s.followedStreams() {
		rows = append(rows, streamRow{
			Stream: st.Stream(), Next: st.NextOffset(), First: s.subscriber.OldestOffset(st.Stream()),
			Current: s.subscriber.IsCaughtUp(st.Stream()), Gap: st.HasGap(), Snapshot: st.NewestSnapshot(),
		})
	}
	return rows
}

// registerMetrics registers the gauges of this package and creates the counters, so
// that they are published before their first event.
func (s *Server) registerMetrics() {
	s.metrics.Gauge(metrics.ConfigNext, func() int64 { return int64(s.config.NextOffset()) })
	s.metrics.Gauge(metrics.ConfigValues, func() (n int64) {
		s.config.View(func(f *fold.Config) { n = int64(f.Len()) })
		return n
	})
	s.metrics.Gauge(metrics.LedgerNext, func() (sum int64) {
		for _, p := range s.partitions {
			sum += int64(p.NextOffset())
		}
		return sum
	})
	for _, name := range []string{
		metrics.BatchesPassed, metrics.RecordsLost, metrics.SnapshotsWritten, metrics.SnapshotsRestored, metrics.SnapshotsDiscarded,
	} {
		s.metrics.Counter(name)
	}
	s.metrics.Gauge(metrics.Goroutines, func() int64 { return int64(runtime.NumGoroutine()) })
	s.metrics.Gauge(metrics.HeapBytes, heapBytes)
}

// appliedOffsets returns, for each stream, the offset after the last applied
// entry.
func (s *Server) appliedOffsets() map[record.Stream]uint64 {
	next := map[record.Stream]uint64{record.ConfigStream: s.config.NextOffset()}
	for _, p := range s.partitions {
		next[p.Stream()] = p.NextOffset()
	}
	return next
}

func (s *Server) budgetRows() []fold.Budget {
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
