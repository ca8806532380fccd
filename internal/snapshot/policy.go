package snapshot

import "time"

// StreamStatus is what an instance knows about a stream when it decides whether
// to write a snapshot.
type StreamStatus struct {
	// First is the oldest offset that the log retains; Next is the offset after
	// the last one that this instance has applied.
	First, Next uint64
	// Covers is the offset after the last record in the newest complete
	// snapshot, 0 for none. Age is the time since that snapshot was written.
	Covers uint64
	Age    time.Duration
}

// minNewRecords is the minimum number of records after the newest snapshot for
// another one to be written before maxAge.
const minNewRecords = 64

// IsDue reports whether a new snapshot has to be written now.
//
// A record that ages out of the log before a snapshot covers it is lost to
// every instance that starts later. IsDue expects a steady flow of records and
// a log that drops the oldest ones, by number or by age, at a rate that
// instances are not told. It therefore keeps the newest snapshot in the newer
// half of the retained records, so that one failed write, or the loss of the
// instance that writes, loses nothing yet. On a log that has dropped nothing,
// this doubles the distance between snapshots, so that a stream of n records
// has about log2(n) of them.
//
// Without any new record the log may still drop the snapshot's own records by
// age, and all at once after a burst. A new snapshot is therefore due after
// maxAge, which must be less than half of the log's retention.
func IsDue(s StreamStatus, maxAge time.Duration) bool {
	if s.Covers == 0 || s.Covers < s.First {
		return s.Next > 0
	}
	if s.Covers+minNewRecords <= s.Next && s.Covers < s.First+(s.Next-s.First)/2 {
		return true
	}
	return s.Age >= maxAge
}
