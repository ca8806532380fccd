package logstore

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// busyLog is a keyed log to which a record is written ten times a second, for two keys in turn.
// It can be made unreachable, and counts the records that it returns.
type busyLog struct {
	startedAt time.Time // When the record at offset 0 was written.

	mu          sync.Mutex // Guards the fields below.
	unreachable bool
	delivered   int
	newestReads int
}

// recordInterval is the time between two records of a busyLog.
const recordInterval = 100 * time.Millisecond

func (l *busyLog) end() uint64 { return uint64(time.Since(l.startedAt) / recordInterval) }

func (l *busyLog) record(n uint64) KeyedRecord {
	l.delivered++
	return KeyedRecord{Key: fmt.Sprint("key-", n%2), Value: []byte(fmt.Sprint(n))}
}

// setUnreachable makes all reads fail or succeed, and sets the count of returned records to 0.
func (l *busyLog) setUnreachable(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable, l.delivered = cut, 0
}

// Newest implements Keyed.
func (l *busyLog) Newest(context.Context, Topic) (KeyedPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return KeyedPage{}, ErrUnavailable
	}
	l.newestReads++
	end := l.end()
	return KeyedPage{Records: []KeyedRecord{l.record(end - 2), l.record(end - 1)}, Next: end}, nil
}

// Follow implements Keyed.
func (l *busyLog) Follow(_ context.Context, _ Topic, from uint64, wait time.Duration) (KeyedPage, error) {
	time.Sleep(wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return KeyedPage{}, ErrUnavailable
	}
	page := KeyedPage{Next: l.end()}
	for n := from; n < page.Next; n++ {
		page.Records = append(page.Records, l.record(n))
	}
	return page, nil
}

// Put implements Keyed.
func (l *busyLog) Put(context.Context, Topic, WriteID, []KeyedRecord) error { return nil }

// Guards against a follower that reads a long history after a long outage of the log, or that
// reloads after a short one: below ReloadThreshold it must read all records written meanwhile,
// above it the newest record of each key only.
func TestFollowerBeginsAfreshAfterALongCut(t *testing.T) {
	for name, c := range map[string]struct {
		outage       time.Duration
		newestReads  int // Calls of Newest.
		maxDelivered int // Records returned since the outage.
	}{
		"short": {outage: time.Second, newestReads: 1, maxDelivered: 40},
		"long":  {outage: 10 * time.Second, newestReads: 2, maxDelivered: 30},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &busyLog{startedAt: time.Now().Add(-time.Minute)}
				seen := map[string]string{}
				resets := 0
				f := Follower{
					Log: log, PollTimeout: 100 * time.Millisecond, ReloadThreshold: 2 * time.Second,
					OnReset: func() { resets++; clear(seen) }, OnLoaded: func() {}, OnReadEnd: func(error) {},
					OnRecord: func(r KeyedRecord) { seen[r.Key] = string(r.Value) },
				}
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				time.Sleep(time.Second)
				log.setUnreachable(true)
				time.Sleep(c.outage)
				log.setUnreachable(false)
				time.Sleep(2 * time.Second)
				cancel()
				time.Sleep(time.Second)
				synctest.Wait()
				if log.newestReads != c.newestReads || resets != c.newestReads || log.delivered > c.maxDelivered {
					t.Fatalf("%d calls of Newest, %d resets, %d records returned since the outage", log.newestReads, resets, log.delivered)
				}
				for key, value := range seen {
					var n uint64
					if _, err := fmt.Sscan(value, &n); err != nil || log.end()-n > 20 {
						t.Errorf("%s has record %s, the log ends at %d", key, value, log.end())
					}
				}
				if len(seen) != 2 {
					t.Errorf("the reader has %v, want a record of each of two keys", seen)
				}
			})
		})
	}
}

// pagedLog is a keyed log that returns one record per Follow. Each read that returns records is
// followed by the next burst of writes.
type pagedLog struct {
	records           []KeyedRecord
	firstOffset       uint64 // Records before it are trimmed.
	bursts            [][]KeyedRecord
	trimAfterBurst    bool   // Each burst trims all records, its own included.
	recordsExceedPage bool   // No record fits into a page.
	onReadAtEnd       func() // Called by Follow at the end of the log.
}

func (l *pagedLog) end() uint64 { return uint64(len(l.records)) }

// writeBurst appends the next burst, if any.
func (l *pagedLog) writeBurst() {
	if len(l.bursts) == 0 {
		return
	}
	l.records = append(l.records, l.bursts[0]...)
	l.bursts = l.bursts[1:]
	if l.trimAfterBurst {
		l.firstOffset = l.end()
	}
}

// Newest implements Keyed.
func (l *pagedLog) Newest(context.Context, Topic) (KeyedPage, error) {
	page := KeyedPage{Next: l.end(), End: l.end()}
	seen := map[string]bool{}
	for i := len(l.records) - 1; i >= 0; i-- {
		r := l.records[i]
		if !seen[r.Key] && r.Value != nil {
			page.Records = append(page.Records, r)
		}
		seen[r.Key] = true
	}
	l.writeBurst()
	return page, nil
}

// Follow implements Keyed.
func (l *pagedLog) Follow(ctx context.Context, _ Topic, from uint64, _ time.Duration) (KeyedPage, error) {
	switch {
	case from < l.firstOffset:
		return KeyedPage{}, ErrTrimmed
	case from == l.end():
		l.onReadAtEnd()
		return KeyedPage{Next: from, End: l.end()}, nil
	}
	ReportProgress(ctx)
	if l.recordsExceedPage {
		return KeyedPage{Next: from, End: l.end()}, nil
	}
	page := KeyedPage{Records: l.records[from : from+1], Next: from + 1, End: l.end()}
	l.writeBurst()
	return page, nil
}

// Put implements Keyed.
func (l *pagedLog) Put(context.Context, Topic, WriteID, []KeyedRecord) error { return nil }

// Guards against a follower that falls behind ever further when records are written faster than
// it reads, and against one that misses a key's record on the way: with NewestOnly it must take
// the newest record of each key, and learn of the keys that were deleted meanwhile.
func TestAReaderThatIsBehindTakesTheNewestRecords(t *testing.T) {
	record := func(key, value string) KeyedRecord { return KeyedRecord{Key: key, Value: []byte(value)} }
	config := func(values ...string) (burst []KeyedRecord) {
		for _, value := range values {
			burst = append(burst, record("config", value))
		}
		return burst
	}
	other, deleted := record("other", "x"), KeyedRecord{Key: "other"}
	for name, c := range map[string]struct {
		bursts            [][]KeyedRecord
		trimAfterBurst    bool
		recordsExceedPage bool
		want              string // Values of "config" that were delivered.
		wantOther         bool   // Whether the key "other" exists at the end.
	}{
		"one at a time":               {bursts: [][]KeyedRecord{config("1"), config("2"), config("3")}, want: "[0 1 2 3]"},
		"several at a time":           {bursts: [][]KeyedRecord{config("1", "2", "3"), config("4", "5", "6"), config("7")}, want: "[0 1 6 7]"},
		"another key's at last":       {bursts: [][]KeyedRecord{append(config("1", "2", "3"), other)}, want: "[0 1 3]", wantOther: true},
		"another key's in between":    {bursts: [][]KeyedRecord{append(append(config("1", "2"), other), config("3", "4")...)}, want: "[0 1 4]", wantOther: true},
		"another key's taken back":    {bursts: [][]KeyedRecord{{other}, append(append(config("1", "2"), deleted), config("3")...)}, want: "[0 1 3]"},
		"another key's set and reset": {bursts: [][]KeyedRecord{{other, deleted, other}, config("1", "2", "3", "4")}, want: "[0 4]", wantOther: true},
		"history trimmed":             {bursts: [][]KeyedRecord{config("1", "2"), append(config("3", "4"), other)}, trimAfterBurst: true, want: "[0 2 4]", wantOther: true},
		"too large for a page":        {bursts: [][]KeyedRecord{config("1", "2"), config("3")}, recordsExceedPage: true, want: "[0 2 3]"},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			log := &pagedLog{records: config("0"), bursts: c.bursts, trimAfterBurst: c.trimAfterBurst, recordsExceedPage: c.recordsExceedPage, onReadAtEnd: cancel}
			var got []string
			hasOther := false
			ends, parts := 0, 0
			f := Follower{
				Log: log, NewestOnly: true, OnReset: func() { hasOther = false }, OnLoaded: func() {}, OnReadEnd: func(error) {},
				OnReceive: func() { parts++ }, OnCaughtUp: func() { ends++ },
				OnRecord: func(r KeyedRecord) {
					if r.Key == "config" {
						got = append(got, string(r.Value))
					} else {
						hasOther = r.Value != nil
					}
				},
			}
			f.Run(ctx)
			if got = slices.Compact(got); fmt.Sprint(got) != c.want {
				t.Errorf("delivered %v, want %s", got, c.want)
			}
			if hasOther != c.wantOther {
				t.Errorf("the other key exists: %v, want %v", hasOther, c.wantOther)
			}
			if ends == 0 || parts == 0 && !c.trimAfterBurst {
				t.Errorf("OnCaughtUp was called %d times, OnReceive %d times, want at least one call of each", ends, parts)
			}
		})
	}
}
