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
	Log   Keyed
	Topic Topic
	// Wait is the longest wait of one read. A connection that fell silent
	// without an error is noticed after it.
	Wait time.Duration
	// Pause is the shortest time between two reads; Kick cuts it short.
	Pause time.Duration
	Kick  <-chan struct{}
	// Afresh is how long the reads may fail before the next one takes the newest
	// records in place of all that came meanwhile; 0 for never. It pays where
	// few keys are written often.
	Afresh time.Duration
	// Sole names the only key of a topic that matters, where each record replaces the
	// one before: a reader that is behind passes over all but the last one. "" reads all.
	Sole string

	// Begin is called before each read; may be nil.
	Begin func()
	// Came is called whenever a part of an answer has come; may be nil.
	Came func()
	// Current is called after a read that reached the topic's end; may be nil.
	Current func()
	// Reset is called before the newest records are handed over again.
	Reset func()
	// Record gets each record in order.
	Record func(KeyedRecord)
	// Loaded is called after the newest records of a Reset.
	Loaded func()
	// Outcome is called after each read with its error; nil means current.
	Outcome func(error)
}

// followAgain is the pause after a failed read: short against the two seconds
// in which a change is to be in force, long against a call's cost.
const followAgain = 150 * time.Millisecond

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var at position
	current := time.Now()
	for ctx.Err() == nil {
		page, err := f.read(ctx, at)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			at = f.take(page, at)
			current = time.Now()
		} else if errors.Is(err, ErrTrimmed) || f.Afresh > 0 && time.Since(current) > f.Afresh {
			at.loaded = false
		}
		f.Outcome(err)
		if err != nil {
			Pause(ctx, followAgain, nil)
			continue
		}
		Pause(ctx, f.Pause, f.Kick)
	}
}

// position is where the next read begins.
type position struct {
	next   uint64
	loaded bool // The newest records have been read.
	passed bool // Records before next were passed over.
}

func (f *Follower) read(ctx context.Context, at position) (KeyedPage, error) {
	if f.Begin != nil {
		f.Begin()
	}
	if f.Came != nil {
		ctx = WithProgress(ctx, f.Came)
	}
	if at.loaded {
		return f.Log.Follow(ctx, f.Topic, at.next, f.Wait)
	}
	return f.Log.Newest(ctx, f.Topic)
}

// take hands a page over and returns where the next read begins.
func (f *Follower) take(page KeyedPage, at position) position {
	switch {
	case at.passed && len(page.Records) > 0 && !f.names(page):
		return position{} // The key's last record is among those that were passed over.
	case at.loaded && len(page.Records) == 0 && page.End > page.Next:
		return position{} // The next record does not fit into a page.
	}
	f.hand(page, !at.loaded)
	next := position{next: page.Next, loaded: true}
	if page.End <= page.Next {
		if f.Current != nil {
			f.Current()
		}
		return next
	}
	if last := page.End - 1; f.Sole != "" && last > page.Next {
		next.next, next.passed = last, true
	}
	return next
}

// names says whether a page has a record of the sole key.
func (f *Follower) names(page KeyedPage) bool {
	return slices.ContainsFunc(page.Records, func(r KeyedRecord) bool { return r.Key == f.Sole })
}

func (f *Follower) hand(page KeyedPage, first bool) {
	if first {
		f.Reset()
	}
	for _, r := range page.Records {
		f.Record(r)
	}
	if first {
		f.Loaded()
	}
}

// Pause waits for d, for a kick or for the end of ctx.
func Pause(ctx context.Context, d time.Duration, kicked <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-kicked:
	case <-ctx.Done():
	}
}

// Kick cuts a Pause short, now or the next one; c has room for one kick.
func Kick(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
