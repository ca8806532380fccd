package snapshot

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

// ErrRecordsLost is returned when records have aged out of the log that no
// complete snapshot covers, so that the stream's tables cannot be rebuilt.
var ErrRecordsLost = eris.New("snapshot: records aged out that no complete snapshot covers")

// Find reads the retained part of a stream and returns the newest complete
// snapshot from which the retained records continue without a gap. If the log
// has dropped nothing there may be none; then ok is false and the stream must
// be read from its start. discarded is the number of chunks and snapshots that
// were not usable. Errors: ErrRecordsLost, and those of the log.
func Find(ctx context.Context, log logstore.Log, stream record.Stream) (newest Assembled, ok bool, discarded int, err error) {
	assembly := NewAssembly()
	first, err := collectSnapshots(ctx, log, stream, assembly)
	if err != nil {
		return Assembled{}, false, 0, err
	}
	newest, ok = assembly.Newest()
	if ok && newest.Covers >= first {
		return newest, true, assembly.Discarded, nil
	}
	if first > 0 {
		return Assembled{}, false, assembly.Discarded, ErrRecordsLost
	}
	return Assembled{}, false, assembly.Discarded, nil
}

// collectSnapshots adds every retained snapshot record to the assembly. It
// returns the first offset that the log retains at the end of the read.
func collectSnapshots(ctx context.Context, log logstore.Log, stream record.Stream, assembly *Assembly) (uint64, error) {
	next := uint64(0)
	for {
		page, err := log.Read(ctx, stream, next, 0)
		if errors.Is(err, logstore.ErrTrimmed) && page.First > next {
			next = page.First
			continue
		}
		if err != nil {
			return 0, err
		}
		if len(page.Entries) == 0 {
			return page.First, nil
		}
		for _, entry := range page.Entries {
			addChunks(assembly, entry)
			next = entry.Offset + 1
		}
	}
}

// addChunks adds the snapshot records of an entry to the assembly. Like the
// replicas, it skips what cannot be decoded.
func addChunks(assembly *Assembly, entry logstore.Entry) {
	batch, err := record.DecodeBatch(entry.Data)
	if err != nil {
		return
	}
	for _, env := range batch.Records {
		if env.Kind != record.KindSnapshot {
			continue
		}
		if r, err := record.Decode(env); err == nil {
			assembly.Add(entry.Offset, r.(record.Snapshot))
		}
	}
}
