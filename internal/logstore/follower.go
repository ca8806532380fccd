package logstore

import (
	"context"
	"errors"
	"slices"
	"time"
)

// Follower keeps a reader current with a keyed topic: the newest records first,
// then every record in order. Where part of the history is gone it begins anew.
type Follower struct {
	Log   KeyedLog
	Topic Topic
	// PollTimeout is the longest wait of one read. A connection that fell silent
	// without an error is noticed after it.
	PollTimeout time.Duration
	// ReadInterval is the shortest time between two reads; Kick cuts it short.
	ReadInterval time.Duration
	Trigger      <-chan struct{}
	// ReloadThreshold is how long the reads may fail before the next one takes the newest
	// records in place of all that came meanwhile; 0 for never. It pays where
	// few keys are written often.
	ReloadThreshold time.Duration
	// SoleKey names the only key of a topic that matters, where each record replaces the
	// one before: a reader that is behind passes over all but the last one. "" reads all.
	SoleKey string

	// OnReadStart is called before each read; may be nil.
	OnReadStart func()
	// OnReceive is called whenever a part of an answer has come; may be nil.
	OnReceive func()
	// OnCaughtUp is called after a read that reached the topic's end; may be nil.
	OnCaughtUp func()
	// OnReset is called before the newest records are handed over again.
	OnReset func()
	// OnRecord gets each record in order.
	OnRecord func(KeyedRecord)
	// OnLoaded is called after the newest records of a Reset.
	OnLoaded func()
	// OnReadEnd is called after each read with its error; nil means current.
	OnReadEnd func(error)
}

// followRetryDelay is the pause after a failed read: short against the two seconds
// in which a change is to be in force, long against a call's cost.
const followRetryDelay = 150 * time.Millisecond

// Run follows until ctx ends.
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

// position is where the next read begins.
type position struct {
	next    uint64
	loaded  bool // The newest records have been read.
	skipped bool // Records before next were passed over.
}

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

// applyPage hands a page over and returns where the next read begins.
func (f *Follower) applyPage(page KeyedPage, pos position) position {
	switch {
	case pos.skipped && len(page.Records) > 0 && !f.containsSoleKey(page):
		return position{} // The key's last record is among those that were passed over.
	case pos.loaded && len(page.Records) == 0 && page.End > page.Next:
		return position{} // The next record does not fit into a page.
	}
	f.deliverRecords(page, !pos.loaded)
	next := position{next: page.Next, loaded: true}
	if page.End <= page.Next {
		if f.OnCaughtUp != nil {
			f.OnCaughtUp()
		}
		return next
	}
	if last := page.End - 1; f.SoleKey != "" && last > page.Next {
		next.next, next.skipped = last, true
	}
	return next
}

// containsSoleKey says whether a page has a record of the sole key.
func (f *Follower) containsSoleKey(page KeyedPage) bool {
	return slices.ContainsFunc(page.Records, func(r KeyedRecord) bool { return r.Key == f.SoleKey })
}

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

// Pause waits for d, for a kick or for the end of ctx.
func Pause(ctx context.Context, d time.Duration, trigger <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-trigger:
	case <-ctx.Done():
	}
}

// Notify cuts a Pause short, now or the next one; c has room for one kick.
func Notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
