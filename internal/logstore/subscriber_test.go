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

// busyLog is a log whose reads never return an empty page: pages are full up to offset
// fullPagesEnd and hold one entry after it. Entries before firstOffset are trimmed.
type busyLog struct {
	logstore.Log
	firstOffset, fullPagesEnd uint64
}

// pageLength is the number of entries of a full page.
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

// Guards against a subscriber that never counts as caught up while other instances append all the
// time, that counts as caught up before the end, or that stops after a failed StartOffsetFunc.
func TestSubscriberIsCurrentAtTheEndOfABusyStream(t *testing.T) {
	defer goleak.VerifyNone(t)
	log := &busyLog{firstOffset: 10, fullPagesEnd: 30}
	var starts atomic.Int32
	start := func(context.Context, record.Stream) (uint64, error) {
		switch starts.Add(1) {
		case 1:
			return 0, nil // This offset has aged out.
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
			t.Fatalf("caught up after %d entries, before the end", n)
		}
		msg.Ack()
	}
	(<-messages).Ack()
	<-messages // From the next page: the one before it was observed.
	if !sub.IsCaughtUp(record.ConfigStream) {
		t.Error("not caught up at the end")
	}
	if got := starts.Load(); got != 3 {
		t.Errorf("%d calls of the StartOffsetFunc, want 3", got)
	}
	if err := sub.Close(); err != nil {
		t.Error(err)
	}
}
