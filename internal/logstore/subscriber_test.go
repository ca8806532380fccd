package logstore_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

// busyLog never has an empty page: each read finds entries, pages of them
// full, and then one at a time. Up to trimmed it has dropped everything.
type busyLog struct {
	logstore.Log
	firstOffset, fullPagesEnd uint64
}

const pageLength = 5

func (l *busyLog) Read(_ context.Context, _ record.Stream, from uint64, _ time.Duration) (logstore.Page, error) {
	if from < l.firstOffset {
		return logstore.Page{First: l.firstOffset}, logstore.ErrTrimmed
	}
	page := logstore.Page{First: l.firstOffset}
	length := uint64(1)
	if from < l.fullPagesEnd {
		length = pageLength
	}
	for n := range length {
		page.Entries = append(page.Entries, logstore.Entry{Offset: from + n})
	}
	return page, nil
}

// A stream is current once its end was seen, also under a steady flow; not
// before; and a start that fails is tried again.
func TestSubscriberIsCurrentAtTheEndOfABusyStream(t *testing.T) {
	defer goleak.VerifyNone(t)
	log := &busyLog{firstOffset: 10, fullPagesEnd: 30}
	var starts atomic.Int32
	start := func(context.Context, record.Stream) (uint64, error) {
		switch starts.Add(1) {
		case 1:
			return 0, nil // It has aged out.
		case 2:
			return 0, errors.New("no snapshot yet")
		default:
			return log.firstOffset, nil
		}
	}
	sub := logstore.NewSubscriber(log, start)
	messages, err := sub.Subscribe(t.Context(), string(record.ConfigStream))
	if err != nil {
		t.Fatal(err)
	}
	for n := uint64(0); n < log.fullPagesEnd-log.firstOffset; n++ {
		msg := <-messages
		if sub.IsCaughtUp(record.ConfigStream) {
			t.Fatalf("current after %d entries", n)
		}
		msg.Ack()
	}
	(<-messages).Ack()
	<-messages // The next one: the page before it was noted.
	if !sub.IsCaughtUp(record.ConfigStream) {
		t.Error("not current at the end")
	}
	if got := starts.Load(); got != 3 {
		t.Errorf("%d starts", got)
	}
	if err := sub.Close(); err != nil {
		t.Error(err)
	}
}
