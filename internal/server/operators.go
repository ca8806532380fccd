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

// changePatience is how long an operator waits for the log. It leaves room
// for two lost answers, and is below the 9 s in which an accepted change must
// be in force everywhere.
const changePatience = 5 * time.Second

func (s *Server) operatorsHandler() http.Handler {
	o := &operator.API{
		FleetToken: s.secrets.Operator, Log: s.publisher, Config: s.config, Ledgers: s.partitions,
		State: s.tables, Metrics: s.metrics, Instances: s.instances, ConfirmTimeout: changePatience,
		CloseGrant: s.budgets.ForceClose, CloseShard: s.holder.ForceClose,
	}
	return s.metrics.Instrument(metrics.OperatorsHTTP, o.Handler())
}

// instances returns the instance list with this instance's row as it is now.
func (s *Server) instances() []logstore.Instance {
	rows := []logstore.Instance{s.self()}
	for _, in := range s.members.List().Instances {
		if in.ID != s.id {
			rows = append(rows, in)
		}
	}
	return rows
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

// streamRow is one row of the state dump's table of streams.
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
	for _, st := range s.streams() {
		rows = append(rows, streamRow{
			Stream: st.Stream(), Next: st.Next(), First: s.subscriber.First(st.Stream()),
			Current: s.subscriber.Current(st.Stream()), Gap: st.HasGap(), Snapshot: st.NewestSnapshot(),
		})
	}
	return rows
}

func (s *Server) registerMetrics() {
	s.metrics.Gauge(metrics.ConfigNextOffset, func() int64 { return int64(s.config.Next()) })
	s.metrics.Gauge(metrics.ConfigValues, func() (n int64) {
		s.config.View(func(f *fold.Config) { n = int64(f.Len()) })
		return n
	})
	s.metrics.Gauge(metrics.LedgerNextOffset, func() (sum int64) {
		for _, p := range s.partitions {
			sum += int64(p.Next())
		}
		return sum
	})
	for _, name := range []string{
		metrics.BatchesSkipped, metrics.RecordsAgedOut, metrics.SnapshotsWritten, metrics.SnapshotsRestored, metrics.SnapshotsDiscarded,
	} {
		s.metrics.Counter(name)
	}
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
