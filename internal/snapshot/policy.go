package snapshot

import "time"

// StreamStatus is what an instance knows of a stream when it decides.
type StreamStatus struct {
	// First is the oldest offset that the log still keeps; Next is the offset
	// after the last one that this instance has applied.
	First, Next uint64
	// Covers is the offset that the newest whole snapshot covers, 0 for none,
	// and Age is the time since it was written.
	Covers uint64
	Age    time.Duration
}

// minNewRecords is the least number of new records that make another snapshot due
// before its time.
const minNewRecords = 64

// IsDue says whether a new snapshot is to be written now.
//
// Load: a stream with a steady flow of records and a log that drops the oldest
// ones, by number or by age, at a pace that instances are not told.
// Harm that it prevents: a record that ages out before a snapshot covers it is
// lost to every instance that starts later.
// Reasons of the limits: the newest snapshot must stay in the younger half of
// what is kept, so that one failed write, or the loss of its writer, costs
// nothing yet. On a log that has dropped nothing this doubles the distance
// between snapshots, so that a stream of n records has about log2(n) of them.
// Without any new record the log may still drop the snapshot's own records by
// age, and all at once after a burst; hence a new one after every, which must
// be less than half of the log's retention.
func IsDue(s StreamStatus, maxAge time.Duration) bool {
	if s.Covers == 0 || s.Covers < s.First {
		return s.Next > 0
	}
	if s.Covers+minNewRecords <= s.Next && s.Covers < s.First+(s.Next-s.First)/2 {
		return true
	}
	return s.Age >= maxAge
}
