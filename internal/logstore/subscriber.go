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

// MetaOffset is the metadata key that carries a message's offset.
const MetaOffset = "offset"

const (
	pollTimeout    = 2 * time.Second
	readRetryDelay = 100 * time.Millisecond
	// startRetryDelay spares the log: a start may read all that it keeps.
	startRetryDelay = 500 * time.Millisecond
)

// Subscriber is a watermill subscriber that follows streams of the log in
// offset order. Each message's payload is one encoded record.Batch.
type Subscriber struct {
	log         Log
	startOffset StartOffsetFunc

	mu sync.Mutex // Guards the maps.
	// oldestOffset is the oldest offset that the log was seen to keep, and current
	// has the streams that were read to their end once.
	oldestOffset map[record.Stream]uint64
	caughtUp     map[record.Stream]bool
	// longestPage is the longestPage page since the stream's start.
	longestPage map[record.Stream]int

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

var _ message.Subscriber = (*Subscriber)(nil)

// StartOffsetFunc returns the offset from which a stream is to be read. It is called
// before the first read, and again when that offset has aged out. After an
// error it is called again.
type StartOffsetFunc func(ctx context.Context, stream record.Stream) (uint64, error)

// NewSubscriber returns a subscriber.
func NewSubscriber(log Log, startOffset StartOffsetFunc) *Subscriber {
	ctx, cancel := context.WithCancel(context.Background())
	return &Subscriber{
		log: log, startOffset: startOffset, ctx: ctx, cancel: cancel,
		oldestOffset: map[record.Stream]uint64{}, caughtUp: map[record.Stream]bool{}, longestPage: map[record.Stream]int{},
	}
}

// OldestOffset returns the oldest offset that the log was seen to keep.
func (s *Subscriber) OldestOffset(stream record.Stream) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.oldestOffset[stream]
}

// IsCaughtUp says whether a stream was read to its end since its start.
func (s *Subscriber) IsCaughtUp(stream record.Stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caughtUp[stream]
}

// observePage sees the end of a stream in a page that is empty or shorter than one
// before it. On a stream that others append to all the time no page need ever
// be empty.
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

// Close implements message.Subscriber.
func (s *Subscriber) Close() error {
	s.cancel()
	s.running.Wait()
	return nil
}

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
		s.observePage(stream, page) // After its entries: a current stream is applied.
	}
}

// resolveStart returns where to read from; ok is false when ctx has ended before the
// start was known.
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

// readWait is how long a read may readWait for the next entry. Until the end of the
// stream was seen it does not readWait, so that the end is noticed at once.
func (s *Subscriber) readWait(stream record.Stream) time.Duration {
	if s.IsCaughtUp(stream) {
		return pollTimeout
	}
	return 0
}

// deliver hands one entry over and waits until it is applied, so that the
// handler sees each stream in offset order.
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

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
