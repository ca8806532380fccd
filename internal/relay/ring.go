package relay

import "guavapier/internal/logstore"

// ring caches the most recent entries of one stream. It holds every entry of the
// stream whose offset is in [firstOffset, nextOffset); its zero value is empty.
type ring struct {
	firstOffset, nextOffset uint64
	entries                 []logstore.Entry
	bytes                   int
}

// add appends entries that were read from an offset on and evicts the oldest
// beyond maxRingEntries and maxRingBytes. Entries that are already held are
// skipped; a gap to those that are held discards them.
func (r *ring) add(from uint64, entries []logstore.Entry) {
	if from > r.nextOffset || len(r.entries) == 0 {
		*r = ring{firstOffset: from, nextOffset: from}
	}
	for _, e := range entries {
		if e.Offset < r.nextOffset {
			continue
		}
		r.entries = append(r.entries, e)
		r.bytes += len(e.Data)
		r.nextOffset = e.Offset + 1
	}
	for len(r.entries) > maxRingEntries || r.bytes > maxRingBytes {
		r.bytes -= len(r.entries[0].Data)
		r.firstOffset = r.entries[0].Offset + 1
		r.entries = r.entries[1:]
	}
}

// read returns the entries from an offset on, and whether the ring covers that
// offset. At nextOffset it covers it with no entries.
func (r *ring) read(from uint64) ([]logstore.Entry, bool) {
	if from < r.firstOffset || from > r.nextOffset {
		return nil, false
	}
	for n, e := range r.entries {
		if e.Offset >= from {
			return r.entries[n:len(r.entries):len(r.entries)], true
		}
	}
	return nil, true
}

// limitReply truncates entries to maxReplyBytes of data. It keeps the first one
// whatever its size.
func limitReply(entries []logstore.Entry) []logstore.Entry {
	size := 0
	for n, e := range entries {
		size += len(e.Data)
		if n > 0 && size > maxReplyBytes {
			return entries[:n]
		}
	}
	return entries
}
