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
	pollWait   = 2 * time.Second
	retryPause = 100 * time.Millisecond
	// startPause spares the log: a start may read all that it keeps.
	startPause = 500 * time.Millisecond
)

// Subscriber is a watermill subscriber that follows streams of the log in
// offset order. Each message's payload is one encoded record.Batch.
type Subscriber struct {
	log   Log
	start Start

	mu sync.Mutex // Guards the maps.
	// first is the oldest offset that the log was seen to keep, and current
	// has the streams that were read to their end once.
	first   map[record.Stream]uint64
	current map[record.Stream]bool
	// longest is the longest page since the stream's start.
	longest map[record.Stream]int

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

var _ message.Subscriber = (*Subscriber)(nil)

// Start returns the offset from which a stream is to be read. It is called
// before the first read, and again when that offset has aged out. After an
// error it is called again.
type Start func(ctx context.Context, stream record.Stream) (uint64, error)

// NewSubscriber returns a subscriber.
func NewSubscriber(log Log, start Start) *Subscriber {
	ctx, cancel := context.WithCancel(context.Background())
	return &Subscriber{
		log: log, start: start, ctx: ctx, cancel: cancel,
		first: map[record.Stream]uint64{}, current: map[record.Stream]bool{}, longest: map[record.Stream]int{},
	}
}

// First returns the oldest offset that the log was seen to keep.
func (s *Subscriber) First(stream record.Stream) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first[stream]
}

// Current says whether a stream was read to its end since its start.
func (s *Subscriber) Current(stream record.Stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current[stream]
}

// note sees the end of a stream in a page that is empty or shorter than one
// before it. On a stream that others append to all the time no page need ever
// be empty.
func (s *Subscriber) note(stream record.Stream, page Page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first[stream] = max(s.first[stream], page.First)
	if len(page.Entries) == 0 || len(page.Entries) < s.longest[stream] {
		s.current[stream] = true
	}
	s.longest[stream] = max(s.longest[stream], len(page.Entries))
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
	next, ok := s.begin(ctx, stream)
	for ok && ctx.Err() == nil {
		page, err := s.log.Read(ctx, stream, next, s.wait(stream))
		switch {
		case errors.Is(err, ErrTrimmed):
			next, ok = s.begin(ctx, stream)
			continue
		case err != nil:
			pause(ctx, retryPause)
			continue
		}
		for _, entry := range page.Entries {
			if !deliver(ctx, entry, out) {
				return
			}
			next = entry.Offset + 1
		}
		s.note(stream, page) // After its entries: a current stream is applied.
	}
}

// begin returns where to read from; ok is false when ctx has ended before the
// start was known.
func (s *Subscriber) begin(ctx context.Context, stream record.Stream) (next uint64, ok bool) {
	s.mu.Lock()
	s.current[stream], s.longest[stream] = false, 0
	s.mu.Unlock()
	for ctx.Err() == nil {
		next, err := s.start(ctx, stream)
		if err == nil {
			return next, true
		}
		pause(ctx, startPause)
	}
	return 0, false
}

// wait is how long a read may wait for the next entry. Until the end of the
// stream was seen it does not wait, so that the end is noticed at once.
func (s *Subscriber) wait(stream record.Stream) time.Duration {
	if s.Current(stream) {
		return pollWait
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

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
