package logstore

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"

	"guavapier/internal/record"
)

// MetaOffset is the metadata key under which a message carries its offset, in decimal.
const MetaOffset = "offset"

const (
	// pollTimeout is how long a read at the end of a stream waits for the next entry.
	pollTimeout = 2 * time.Second
	// readRetryDelay is the pause after a failed read.
	readRetryDelay = 100 * time.Millisecond
	// startRetryDelay is the pause after a failed StartOffsetFunc. It is longer, to spare the
	// log: finding the start may read all entries that it keeps.
	startRetryDelay = 500 * time.Millisecond
)

// Subscriber is a watermill subscriber that delivers the entries of streams of the log in offset
// order. Each message's payload is one encoded record.Batch.
type Subscriber struct {
	log         Log
	startOffset StartOffsetFunc

	mu sync.Mutex // Guards the maps.
	// oldestOffset is the highest Page.First seen of each stream.
	oldestOffset map[record.Stream]uint64
	// caughtUp has the streams that were read to their end since the last resolveStart.
	caughtUp map[record.Stream]bool
	// longestPage is the number of entries of the longest page since the last resolveStart.
	longestPage map[record.Stream]int

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

var _ message.Subscriber = (*Subscriber)(nil)

// StartOffsetFunc returns the offset from which a stream is to be read. It is called before the
// first read, again whenever the next offset to read has aged out, and until it succeeds.
type StartOffsetFunc func(ctx context.Context, stream record.Stream) (uint64, error)

// NewSubscriber returns a subscriber that reads each stream from the offset that startOffset
// returns for it.
func NewSubscriber(log Log, startOffset StartOffsetFunc) *Subscriber {
	ctx, cancel := context.WithCancel(context.Background())
	return &Subscriber{
		log: log, startOffset: startOffset, ctx: ctx, cancel: cancel,
		oldestOffset: map[record.Stream]uint64{}, caughtUp: map[record.Stream]bool{}, longestPage: map[record.Stream]int{},
	}
}

// OldestOffset returns the oldest offset of a stream that the log still keeps, as of the last read.
func (s *Subscriber) OldestOffset(stream record.Stream) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oldestOffset[stream]
}

// IsCaughtUp reports whether a stream was read, and its entries handled, up to its end at some time
// since reading last started at a StartOffsetFunc's offset.
func (s *Subscriber) IsCaughtUp(stream record.Stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caughtUp[stream]
}

// observePage updates the state of a stream after the entries of a page were handled. It takes a
// page that is empty, or shorter than an earlier one, as the stream's end: while other
// instances append all the time, no page may ever be empty.
func (s *Subscriber) observePage(stream record.Stream, page Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldestOffset[stream] = max(s.oldestOffset[stream], page.First)
	if len(page.Entries) == 0 || len(page.Entries) < s.longestPage[stream] {
		s.caughtUp[stream] = true
	}
	s.longestPage[stream] = max(s.longestPage[stream], len(page.Entries))
}

// Subscribe implements message.Subscriber; topic is the stream.
func (s *Subscriber) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	out := make(chan *message.Message)
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		defer close(out)
		s.follow(ctx, record.Stream(topic), out)
	}()
	return out, nil
}

// Close implements message.Subscriber. It waits until the channels of all subscriptions are closed.
func (s *Subscriber) Close() error {
	s.cancel()
	s.running.Wait()
	return nil
}

// follow delivers a stream's entries to out until ctx ends or the subscriber is closed.
func (s *Subscriber) follow(ctx context.Context, stream record.Stream, out chan<- *message.Message) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	next, ok := s.resolveStart(ctx, stream)
	for ok && ctx.Err() == nil {
		page, err := s.log.Read(ctx, stream, next, s.readWait(stream))
		switch {
		case errors.Is(err, ErrTrimmed):
			next, ok = s.resolveStart(ctx, stream)
			continue
		case err != nil:
			sleep(ctx, readRetryDelay)
			continue
		}
		for _, entry := range page.Entries {
			if !deliver(ctx, entry, out) {
				return
			}
			next = entry.Offset + 1
		}
		s.observePage(stream, page) // After delivery: a stream that is caught up has been applied.
	}
}

// resolveStart returns the offset to read from, and marks the stream as not caught up; ok is
// false if ctx ended before the offset was known.
func (s *Subscriber) resolveStart(ctx context.Context, stream record.Stream) (next uint64, ok bool) {
	s.mu.Lock()
	s.caughtUp[stream], s.longestPage[stream] = false, 0
	s.mu.Unlock()
	for ctx.Err() == nil {
		next, err := s.startOffset(ctx, stream)
		if err == nil {
			return next, true
		}
		sleep(ctx, startRetryDelay)
	}
	return 0, false
}

// readWait returns how long the next read may wait for an entry. Until the stream has caught up
// that is 0, so that its end is noticed at once.
func (s *Subscriber) readWait(stream record.Stream) time.Duration {
	if s.IsCaughtUp(stream) {
		return pollTimeout
	}
	return 0
}

// deliver sends one entry to out and waits for its acknowledgement, so that the handler sees each
// stream in offset order. It sends an entry again after a negative acknowledgement, and returns
// false if ctx ended first.
func deliver(ctx context.Context, entry Entry, out chan<- *message.Message) bool {
	for {
		msg := message.NewMessage(watermill.NewULID(), entry.Data)
		msg.Metadata.Set(MetaOffset, strconv.FormatUint(entry.Offset, 10))
		msg.SetContext(ctx)
		select {
		case out <- msg:
		case <-ctx.Done():
			return false
		}
		select {
		case <-msg.Acked():
			return true
		case <-msg.Nacked():
		case <-ctx.Done():
			return false
		}
	}
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
