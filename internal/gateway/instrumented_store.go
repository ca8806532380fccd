package gateway

import (
	"context"
	"errors"
	"time"

	"guavapier/internal/logstore"
	"guavapier/internal/metrics"
)

// instrumentedStore wraps a store and counts each call under a metric that names its
// outcome.
type instrumentedStore struct {
	logstore.KeyedLog
	metrics *metrics.Registry
}

// Newest implements logstore.KeyedLog.
func (c instrumentedStore) Newest(ctx context.Context, topic logstore.Topic) (logstore.KeyedPage, error) {
	page, err := c.KeyedLog.Newest(ctx, topic)
	c.countOutcome(err)
	return page, err
}

// Follow implements logstore.KeyedLog.
func (c instrumentedStore) Follow(ctx context.Context, topic logstore.Topic, from uint64, wait time.Duration) (logstore.KeyedPage, error) {
	page, err := c.KeyedLog.Follow(ctx, topic, from, wait)
	c.countOutcome(err)
	return page, err
}

// Put implements logstore.KeyedLog.
func (c instrumentedStore) Put(ctx context.Context, topic logstore.Topic, w logstore.WriteID, records []logstore.KeyedRecord) error {
	err := c.KeyedLog.Put(ctx, topic, w, records)
	c.countOutcome(err)
	return err
}

// countOutcome increments the counter of the outcome that err stands for.
func (c instrumentedStore) countOutcome(err error) {
	c.metrics.Counter(metrics.GatewayStoreCallsPrefix + storeOutcome(err)).Inc(1)
}

// storeOutcome returns the suffix of the metric that counts calls with this result.
func storeOutcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, logstore.ErrThrottled):
		return "throttled"
	case errors.Is(err, logstore.ErrTrimmed):
		return "trimmed"
	case errors.Is(err, logstore.ErrFenced), errors.Is(err, logstore.ErrSequence):
		return "fenced"
	default:
		return "unavailable"
	}
}
