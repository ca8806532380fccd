package logstore

import (
	"context"
	"errors"
	"time"
)

// Follower delivers a keyed topic to a reader: first the newest record of each key, then every
// record that follows, in order. After it has lost part of the history it reloads, that is,
// begins again with the newest records. The callbacks run in the goroutine of Run.
type Follower struct {
	Log   KeyedLog
	Topic Topic
	// PollTimeout is how long one read may wait for a record. It bounds the time until a
	// connection that went silent without an error is noticed.
	PollTimeout time.Duration
	// ReadInterval is the pause after a read that succeeded.
	ReadInterval time.Duration
	// Trigger ends the pause after a read early; see Notify. May be nil.
	Trigger <-chan struct{}
	// ReloadThreshold is how long reads may fail before the follower reloads instead of
	// reading all records written meanwhile; 0 means never. It saves reading where few keys
	// are written often.
	ReloadThreshold time.Duration
	// NewestOnly states that the reader needs only the newest record of each key. A follower
	// that is behind then reloads instead of reading all records in between.
	NewestOnly bool

	// OnReadStart is called before each read; may be nil.
	OnReadStart func()
	// OnReceive is called for each part of an answer that arrives; may be nil.
	OnReceive func()
	// OnCaughtUp is called after a read that reached the end of the topic; may be nil.
	OnCaughtUp func()
	// OnReset is called before the newest records are delivered, the first time and at each
	// reload.
	OnReset func()
	// OnRecord is called with each record, in order.
	OnRecord func(KeyedRecord)
	// OnLoaded is called after the newest records were delivered.
	OnLoaded func()
	// OnReadEnd is called after each read with its error, which is nil if it succeeded.
	OnReadEnd func(error)
}

// followRetryDelay is the pause after a failed read: short compared with the two seconds in
// which a change must take effect, long compared with the cost of a call.
const followRetryDelay = 150 * time.Millisecond

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var pos position
	lastSuccess := time.Now()
	for ctx.Err() == nil {
		page, err := f.read(ctx, pos)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			pos = f.applyPage(page, pos)
			lastSuccess = time.Now()
		} else if errors.Is(err, ErrTrimmed) || f.ReloadThreshold > 0 && time.Since(lastSuccess) > f.ReloadThreshold {
			pos.loaded = false
		}
		f.OnReadEnd(err)
		if err != nil {
			Pause(ctx, followRetryDelay, nil)
			continue
		}
		Pause(ctx, f.ReadInterval, f.Trigger)
	}
}

// position is where the next read begins. The zero value reads the newest records.
type position struct {
	next   uint64
	loaded bool // The newest records have been read.
}

// read returns the next page, or the newest records if those are not loaded.
func (f *Follower) read(ctx context.Context, pos position) (KeyedPage, error) {
	if f.OnReadStart != nil {
		f.OnReadStart()
	}
	if f.OnReceive != nil {
		ctx = WithProgress(ctx, f.OnReceive)
	}
	if pos.loaded {
		return f.Log.Follow(ctx, f.Topic, pos.next, f.PollTimeout)
	}
	return f.Log.Newest(ctx, f.Topic)
}

// applyPage delivers a page and returns where the next read begins.
func (f *Follower) applyPage(page KeyedPage, pos position) position {
	if pos.loaded && len(page.Records) == 0 && page.End > page.Next {
		return position{} // The next record does not fit into a page: reload.
	}
	f.deliverRecords(page, !pos.loaded)
	if page.End <= page.Next && f.OnCaughtUp != nil {
		f.OnCaughtUp()
	}
	if f.NewestOnly && page.End > page.Next+1 {
		return position{}
	}
	return position{next: page.Next, loaded: true}
}

// deliverRecords calls the callbacks with a page's records; reload states that they are the
// newest records rather than the next ones.
func (f *Follower) deliverRecords(page KeyedPage, reload bool) {
	if reload {
		f.OnReset()
	}
	for _, r := range page.Records {
		f.OnRecord(r)
	}
	if reload {
		f.OnLoaded()
	}
}

// Pause returns after d, when trigger is notified or when ctx ends, whichever is first.
// trigger may be nil.
func Pause(ctx context.Context, d time.Duration, trigger <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-trigger:
	case <-ctx.Done():
	}
}

// Notify ends a Pause with the trigger c: the current one, or the next if there is none. It
// does not block; c must have a buffer of one, and notifications beyond that are merged.
func Notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
