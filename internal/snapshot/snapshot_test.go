package snapshot_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
	"guavapier/internal/snapshot"
)

// trimmedLog is a log that has dropped all entries before the offset first.
type trimmedLog struct {
	logstore.Log
	first   uint64
	entries []logstore.Entry
}

func (l *trimmedLog) Read(_ context.Context, _ record.Stream, from uint64, _ time.Duration) (logstore.Page, error) {
	page := logstore.Page{First: l.first, Next: l.first + uint64(len(l.entries))}
	if from < l.first {
		return page, logstore.ErrTrimmed
	}
	if from < page.Next {
		page.Entries = l.entries[from-l.first:]
	}
	return page, nil
}

func (l *trimmedLog) append(t *rapid.T, records ...record.Record) {
	batch := record.Batch{Writer: "w"}
	envelopes, err := record.EncodeAll(records...)
	if err != nil {
		t.Fatal(err)
	}
	batch.Records = envelopes
	data, err := record.EncodeBatch(batch)
	if err != nil {
		t.Fatal(err)
	}
	l.entries = append(l.entries, logstore.Entry{Offset: l.first + uint64(len(l.entries)), Data: data})
}

// appendedSnapshot is a snapshot that the test has put on the log. damage is
// empty for an intact one.
type appendedSnapshot struct {
	assembled snapshot.Assembled
	damage    string
}

// drawSnapshot appends a snapshot that is intact, or whose chunks are copied,
// in reverse order, not all there, altered, or said to cover later records.
func drawSnapshot(t *rapid.T, l *trimmedLog) appendedSnapshot {
	next := l.first + uint64(len(l.entries))
	w := appendedSnapshot{damage: rapid.SampledFrom([]string{"", "", "", "copied", "reversed", "torn", "flipped", "future"}).Draw(t, "damage")}
	state := bytes.Repeat([]byte{byte(next)}, rapid.SampledFrom([]int{0, 1, snapshot.ChunkBytes, 2*snapshot.ChunkBytes + 7}).Draw(t, "size"))
	w.assembled = snapshot.Assembled{ID: snapshot.NewID(), Covers: rapid.Uint64Range(max(l.first, 3)-3, next).Draw(t, "covers"), State: state}
	chunks := snapshot.Split(w.assembled.ID, w.assembled.Covers, state)
	switch w.damage {
	case "copied":
		chunks = append(chunks, chunks...)
	case "reversed":
		for i, j := 0, len(chunks)-1; i < j; i, j = i+1, j-1 {
			chunks[i], chunks[j] = chunks[j], chunks[i]
		}
	case "torn":
		chunks = chunks[1:]
	case "flipped":
		chunks[0].Data = append([]byte{^byte(next)}, chunks[0].Data...)
	case "future":
		for i := range chunks {
			chunks[i].Covers = next + 1000
		}
	}
	for _, c := range chunks {
		l.append(t, c)
	}
	return w
}

// Find returns the newest complete snapshot from which the retained records
// continue without a gap, whatever else is on the log, and never uses another
// one.
func TestFindTakesTheNewestWholeOneOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &trimmedLog{first: rapid.Uint64Range(0, 10).Draw(t, "first")}
		var best snapshot.Assembled
		usable := false
		for range rapid.IntRange(0, 6).Draw(t, "snapshots") {
			for range rapid.IntRange(0, 3).Draw(t, "records") {
				l.append(t, record.TopUp{ID: "x", Tokens: 1})
			}
			w := drawSnapshot(t, l)
			unusable := w.damage == "torn" || w.damage == "flipped" || w.damage == "future"
			if !unusable && w.assembled.Covers >= l.first && (!usable || w.assembled.Covers > best.Covers) {
				best, usable = w.assembled, true
			}
		}
		got, ok, _, err := snapshot.Find(context.Background(), l, record.ConfigStream)
		if !usable && l.first > 0 {
			if !errors.Is(err, snapshot.ErrRecordsLost) {
				t.Fatalf("records are lost, but Find returned ok %v and error %v", ok, err)
			}
			return
		}
		if err != nil || ok != usable || ok && (got.Covers != best.Covers || !bytes.Equal(got.State, best.State)) {
			t.Fatalf("got snapshot %s covering %d (ok %v, error %v), want %s covering %d (ok %v)", got.ID, got.Covers, ok, err, best.ID, best.Covers, usable)
		}
	})
}

// On a log that retains a fixed number of records, a writer that checks from
// time to time, and fails up to three times in a row, lets no record age out
// before a snapshot covers it.
func TestDueKeepsEveryRecordCovered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		retain := rapid.Uint64Range(512, 4096).Draw(t, "retain")
		var s snapshot.StreamStatus
		written, failed := 0, 0
		const rounds, maxFailures = 400, 3
		for range rounds {
			s.Next += rapid.Uint64Range(0, retain/16).Draw(t, "records")
			if s.Next > retain {
				s.First = s.Next - retain
			}
			if s.First > s.Covers {
				t.Fatalf("records %d to %d aged out before a snapshot covered them: %+v", s.Covers, s.First, s)
			}
			if !snapshot.IsDue(s, time.Hour) {
				continue
			}
			if failed < maxFailures && rapid.Bool().Draw(t, "fails") {
				failed++
				continue
			}
			s.Covers, s.Next, written, failed = s.Next, s.Next+1, written+1, 0
		}
		if maxWritten := 12 + 4*int(s.Next/retain); written > maxWritten {
			t.Fatalf("%d snapshots of %d records on a log that retains %d, want at most %d", written, s.Next, retain, maxWritten)
		}
	})
}

// Age alone makes a snapshot due, so that a log that drops records by age is
// covered after the last change.
func TestDueByAge(t *testing.T) {
	s := snapshot.StreamStatus{Next: 4, Covers: 2, Age: time.Hour}
	if !snapshot.IsDue(s, time.Hour) || snapshot.IsDue(s, 2*time.Hour) {
		t.Fatal("a snapshot is not due at maxAge, or is due before it")
	}
}
