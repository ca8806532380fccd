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

// ErrClosed is returned by a publisher that has been closed. An append that Close interrupted may
// have taken effect.
var ErrClosed = eris.New("logstore: publisher closed")

// PublisherOptions configures a Publisher.
type PublisherOptions struct {
	// Linger is how long the first records of a batch wait for more to join them. It trades
	// the append rate against latency: a publisher sends at most one batch per Linger and
	// stream, unless batches reach MaxRecords.
	Linger time.Duration
	// RetryInterval is the pause before an append is retried.
	RetryInterval time.Duration
	// MaxRecords is the number of records at which a batch is sent without further linger.
	// It is to keep batches below record.MaxBatchBytes.
	MaxRecords int
}

// Publisher is a watermill publisher that appends to the log. Each message's payload is one
// encoded record.Envelope. The messages of concurrent callers share one append (group commit).
// Publish returns once its messages are known to be on the log, or once the first message's
// context ends: then they may or may not be there.
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

// NewPublisher returns a publisher whose batches name writer as their writer.
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

// Append appends records to a stream in one batch and returns the offset of the batch. If ctx
// ends first it returns ErrUnavailable: the records may or may not be on the log, now or later.
func (p *Publisher) Append(ctx context.Context, stream record.Stream, records ...record.Record) (uint64, error) {
	envelopes, err := record.EncodeAll(records...)
	if err != nil {
		return 0, err
	}
	return p.append(ctx, stream, envelopes)
}

// Close stops the publisher and waits for its goroutines. Batches that are being appended may or
// may not be on the log.
func (p *Publisher) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.running.Wait()
	return nil
}

// append queues envelopes for the stream's next batch and waits for its offset.
func (p *Publisher) append(ctx context.Context, stream record.Stream, envelopes []record.Envelope) (uint64, error) {
	w, err := p.writerFor(stream)
	if err != nil {
		return 0, err
	}
	waiting := &pendingAppend{envelopes: envelopes, done: make(chan commitResult, 1)}
	select {
	case w.queue <- waiting:
	case <-ctx.Done():
		return 0, eris.Wrap(ErrUnavailable, "logstore: append not queued in time")
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

// writerFor returns the stream's writer and starts it if there is none.
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

// commitResult is the outcome of a batch: its offset, or why it isn't known to be on the log.
type commitResult struct {
	offset uint64
	err    error
}

// pendingAppend is one caller's part of a batch.
type pendingAppend struct {
	envelopes []record.Envelope
	done      chan commitResult // Buffered: the caller may have given up.
}

// streamWriter appends the batches of one stream, one at a time, so that their sequence numbers
// reach the log in order.
type streamWriter struct {
	p      *Publisher
	stream record.Stream
	queue  chan *pendingAppend
	seq    uint64
	// minOffset is a lower bound of the offset of the batch being appended.
	minOffset uint64
}

// run appends batches until the publisher is closed.
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

// collectGroup waits for the first append and then for others, until Linger has passed or
// MaxRecords is reached. It returns nil if the publisher is closed before the first.
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

// commitGroup appends a group as one batch and returns its offset.
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

// appendUntilConfirmed retries an append until it is known to be on the log. After an append
// without an answer it looks for the batch on the log before it retries. Such an append can
// still reach the log after that; folds skip the duplicate by its sequence number.
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

// findOnLog searches the log from minOffset on for the batch with the current sequence number, and
// advances minOffset past the entries that it has read.
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
