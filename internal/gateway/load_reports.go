package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/discovery"
	"guavapier/internal/endpointload"
	"guavapier/internal/logstore"
	"guavapier/internal/upstream"
)

const (
	// reportInterval is the pause between two reports of an endpoint. Reading one costs as much
	// as a probe.
	reportInterval = 750 * time.Millisecond
	// reportReadTimeout bounds reading one; a later one is of little use.
	reportReadTimeout = 300 * time.Millisecond
	// reportRetryDelay is how long an endpoint is not asked after it did not answer in time,
	// unreadableReportDelay after it answered without a report. Some services have none.
	reportRetryDelay      = 2 * time.Second
	unreadableReportDelay = 10 * time.Second
	// maxReportBytes bounds the size of a report.
	maxReportBytes = 256 << 10
	// maxFailedReports bounds the endpoints that are remembered for these delays.
	maxFailedReports = 1024
)

// reportReader reads what endpoints state of their load. Each endpoint has one reader in the fleet,
// a collector of its availability zone, which tells the others with the sums.
type reportReader struct {
	exchange *loadExchange
	pool     *upstream.Pool
	request  func(discovery.Endpoint) *upstream.Outgoing
	decode   func(body []byte) (endpointload.Report, error)
	log      zerolog.Logger
	timeout  time.Duration // Of reading one report.
	read     atomic.Int64  // Reports.

	mu        sync.Mutex
	nextReads map[endpointload.Key]time.Duration // Of endpoints that gave no report.
}

// newReportReader returns a reader that does nothing before run.
func newReportReader(exchange *loadExchange, pool *upstream.Pool, p Platform, log zerolog.Logger) *reportReader {
	return &reportReader{
		exchange: exchange, pool: pool, request: p.ReportRequest, decode: p.DecodeReport, log: log, timeout: reportReadTimeout,
		nextReads: map[endpointload.Key]time.Duration{},
	}
}

// run reads reports until ctx ends.
func (r *reportReader) run(ctx context.Context) {
	var reads sync.WaitGroup
	defer reads.Wait()
	for ctx.Err() == nil {
		due := r.due()
		if len(due) == 0 {
			logstore.Pause(ctx, reportInterval, nil)
			continue
		}
		for _, e := range due { // Spread over the interval.
			reads.Go(func() { r.readOne(ctx, e) })
			logstore.Pause(ctx, reportInterval/time.Duration(len(due)), nil)
		}
	}
}

// due returns the endpoints whose reports this instance is to read now.
func (r *reportReader) due() []discovery.Endpoint {
	if r.request == nil || !r.exchange.isNeeded() || !r.exchange.endpoints.UsesOthersLoads() {
		return nil
	}
	now := r.exchange.clock()
	collectors := r.exchange.collectors.Load()
	if !collectors.IsCollector(r.exchange.zone, r.exchange.name) {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []discovery.Endpoint
	for _, e := range r.exchange.endpoints.EndpointsToRead(now) {
		if now >= r.nextReads[endpointload.KeyOf(e.ID, e.Born)] && collectors.Reader(e.ID, e.Zone) == r.exchange.name {
			due = append(due, e)
		}
	}
	return due
}

// readOne reads the report of one endpoint.
func (r *reportReader) readOne(ctx context.Context, e discovery.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	body, err := r.fetch(ctx, e)
	if err != nil {
		r.recordFailure(e, reportRetryDelay, err)
		return
	}
	report, err := r.decode(body)
	if err != nil {
		r.recordFailure(e, unreadableReportDelay, err)
		return
	}
	r.read.Add(1)
	r.exchange.service.table.AddReports(endpointload.ReportList{{Key: endpointload.KeyOf(e.ID, e.Born), Report: report}}, r.exchange.clock())
}

// recordFailure records that an endpoint gave no report, and is not asked for a while.
func (r *reportReader) recordFailure(e discovery.Endpoint, delay time.Duration, err error) {
	r.log.Info().Err(err).Str("endpoint", e.ID).Msg("loads: report of an endpoint not read")
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.nextReads) >= maxFailedReports {
		clear(r.nextReads)
	}
	r.nextReads[endpointload.KeyOf(e.ID, e.Born)] = r.exchange.clock() + delay
}

// fetch asks an endpoint for its report and returns the body of its answer, nil if it refuses.
func (r *reportReader) fetch(ctx context.Context, e discovery.Endpoint) ([]byte, error) {
	answer, err := r.pool.Send(ctx, e.ID, e.Address, r.request(e))
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxReportBytes))
	if answer.Status != http.StatusOK {
		return nil, err
	}
	return body, err
}
