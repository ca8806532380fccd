package platform

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"guavapier/internal/record"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
)

// MetaOffset is the metadata key that carries a message's offset.
const MetaOffset = "offset"

const (
	pollWait   = 2 * time.Second
	retryPause = 100 * time.Millisecond
)

// Subscriber is a watermill subscriber that follows streams of the log in
// offset order. Each message's payload is one encoded record.Batch.
type Subscriber struct {
	log     Log
	from    func(record.Stream) uint64
	trimmed func(record.Stream, uint64)

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

var _ message.Subscriber = (*Subscriber)(nil)

// NewSubscriber returns a subscriber. from gives the offset at which each
// stream starts; trimmed is told when records aged out before they were read,
// with the first offset still kept.
func NewSubscriber(log Log, from func(record.Stream) uint64, trimmed func(record.Stream, uint64)) *Subscriber {
	ctx, cancel := context.WithCancel(context.Background())
	return &Subscriber{log: log, from: from, trimmed: trimmed, ctx: ctx, cancel: cancel}
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
	next := s.from(stream)
	for ctx.Err() == nil {
		page, err := s.log.Read(ctx, stream, next, pollWait)
		if errors.Is(err, ErrTrimmed) {
			s.trimmed(stream, page.First)
			next = max(page.First, next)
		}
		if err != nil {
			pause(ctx, retryPause)
			continue
		}
		for _, entry := range page.Entries {
			if !deliver(ctx, entry, out) {
				return
			}
			next = entry.Offset + 1
		}
	}
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
