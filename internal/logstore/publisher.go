package logstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// ErrClosed is returned by a publisher that has been closed.
var ErrClosed = eris.New("logstore: publisher closed")

// PublisherOptions bound a Publisher.
type PublisherOptions struct {
	// Linger is how long the first record of a batch waits for company. It
	// trades append rate against latency: one append per linger and stream is
	// the most that a publisher sends.
	Linger time.Duration
	// RetryInterval is the pause before an append is tried again.
	RetryInterval time.Duration
	// MaxRecords bounds a batch, so that it stays below record.MaxBatchBytes.
	MaxRecords int
}

// Publisher is a watermill publisher onto the log. Each message's payload is
// one encoded record.Envelope. Messages of many callers go out together in
// one append (group commit). Publish returns when its messages are certainly
// on the log, or ctx of the message ends: then they may or may not be.
type Publisher struct {
	log    Log
	writer record.InstanceID
	opts   PublisherOptions

	mu      sync.Mutex
	streams map[record.Stream]*streamWriter
	closed  bool
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

var _ message.Publisher = (*Publisher)(nil)

// NewPublisher returns a publisher that writes as writer.
func NewPublisher(log Log, writer record.InstanceID, opts PublisherOptions) *Publisher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Publisher{
		log: log, writer: writer, opts: opts,
		streams: map[record.Stream]*streamWriter{},
		ctx:     ctx, cancel: cancel,
	}
}

// Publish implements message.Publisher; topic is the stream.
func (p *Publisher) Publish(topic string, messages ...*message.Message) error {
	envelopes := make([]record.Envelope, 0, len(messages))
	for _, msg := range messages {
		env, err := record.DecodeEnvelope(msg.Payload)
		if err != nil {
			return err
		}
		envelopes = append(envelopes, env)
	}
	ctx := context.Background()
	if len(messages) > 0 {
		ctx = messages[0].Context()
	}
	_, err := p.append(ctx, record.Stream(topic), envelopes)
	return err
}

// Append commits records to a stream together and returns their batch's
// offset. All of them share one batch.
func (p *Publisher) Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error) {
	envelopes, err := record.EncodeAll(records...)
	if err != nil {
		return 0, err
	}
	return p.append(ctx, stream, envelopes)
}

// Close stops the publisher. Batches under way may or may not be on the log.
func (p *Publisher) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.running.Wait()
	return nil
}

func (p *Publisher) append(ctx context.Context, stream record.Stream, envelopes []record.Envelope) (uint64, error) {
	w, err := p.writerFor(stream)
	if err != nil {
		return 0, err
	}
	waiting := &pendingAppend{envelopes: envelopes, done: make(chan commitResult, 1)}
	select {
	case w.queue <- waiting:
	case <-ctx.Done():
		return 0, eris.Wrap(ErrUnavailable, "logstore: not queued in time")
	case <-p.ctx.Done():
		return 0, ErrClosed
	}
	select {
	case got := <-waiting.done:
		return got.offset, got.err
	case <-ctx.Done():
		return 0, eris.Wrap(ErrUnavailable, "logstore: append not confirmed in time")
	case <-p.ctx.Done():
		return 0, ErrClosed
	}
}

func (p *Publisher) writerFor(stream record.Stream) (*streamWriter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	w, ok := p.streams[stream]
	if !ok {
		w = &streamWriter{p: p, stream: stream, queue: make(chan *pendingAppend, 1024)}
		p.streams[stream] = w
		p.running.Add(1)
		go w.run()
	}
	return w, nil
}

type commitResult struct {
	offset uint64
	err    error
}

type pendingAppend struct {
	envelopes []record.Envelope
	done      chan commitResult
}

// streamWriter has at most one batch under way, so its sequence numbers reach
// the log in order.
type streamWriter struct {
	p      *Publisher
	stream record.Stream
	queue  chan *pendingAppend
	seq    uint64
	// minOffset is an offset that the batch under way cannot be before.
	minOffset uint64
}

func (w *streamWriter) run() {
	defer w.p.running.Done()
	for {
		group := w.collectGroup()
		if group == nil {
			return
		}
		offset, err := w.commitGroup(group)
		for _, waiting := range group {
			waiting.done <- commitResult{offset: offset, err: err}
		}
	}
}

func (w *streamWriter) collectGroup() []*pendingAppend {
	var group []*pendingAppend
	select {
	case first := <-w.queue:
		group = append(group, first)
	case <-w.p.ctx.Done():
		return nil
	}
	records := len(group[0].envelopes)
	timer := time.NewTimer(w.p.opts.Linger)
	defer timer.Stop()
	for records < w.p.opts.MaxRecords {
		select {
		case next := <-w.queue:
			group = append(group, next)
			records += len(next.envelopes)
		case <-timer.C:
			return group
		case <-w.p.ctx.Done():
			return group
		}
	}
	return group
}

func (w *streamWriter) commitGroup(group []*pendingAppend) (uint64, error) {
	w.seq++
	batch := record.Batch{Writer: w.p.writer, Seq: w.seq}
	for _, waiting := range group {
		batch.Records = append(batch.Records, waiting.envelopes...)
	}
	data, err := record.EncodeBatch(batch)
	if err != nil {
		return 0, err
	}
	return w.appendUntilConfirmed(data)
}

// appendUntilConfirmed appends data and resolves lost answers by reading back. A
// late copy of an append whose answer was lost can still reach the log after
// the read; folds skip it by its sequence number.
func (w *streamWriter) appendUntilConfirmed(data []byte) (uint64, error) {
	for {
		offset, err := w.p.log.Append(w.p.ctx, w.stream, data)
		if err == nil {
			w.minOffset = offset + 1
			return offset, nil
		}
		if w.p.ctx.Err() != nil {
			return 0, ErrClosed
		}
		if errors.Is(err, ErrUnavailable) {
			if offset, found := w.findOnLog(); found {
				return offset, nil
			}
		}
		select {
		case <-time.After(w.p.opts.RetryInterval):
		case <-w.p.ctx.Done():
			return 0, ErrClosed
		}
	}
}

func (w *streamWriter) findOnLog() (uint64, bool) {
	for {
		page, err := w.p.log.Read(w.p.ctx, w.stream, w.minOffset, 0)
		if errors.Is(err, ErrTrimmed) && page.First > w.minOffset {
			w.minOffset = page.First
			continue
		}
		if err != nil || len(page.Entries) == 0 {
			return 0, false
		}
		for _, entry := range page.Entries {
			w.minOffset = entry.Offset + 1
			batch, err := record.DecodeBatch(entry.Data)
			if err == nil && batch.Writer == w.p.writer && batch.Seq == w.seq {
				return entry.Offset, true
			}
		}
	}
}
