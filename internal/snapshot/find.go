package snapshot

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

// ErrRecordsLost says that records have aged out which no whole snapshot
// covers: the stream's tables cannot be built.
var ErrRecordsLost = eris.New("snapshot: records aged out that no whole snapshot covers")

// Find reads what the log keeps of a stream and returns the newest whole
// snapshot from which the kept records go on without a gap. At the end of a
// stream that has lost nothing there may be none: ok is false and the stream
// is read from its start. discarded is how many chunks and snapshots were not
// usable. Errors: ErrRecordsLost, and those of the log.
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

// collectSnapshots hands every kept snapshot record to the assembly. It returns the first
// offset that the log keeps at the end of the collectSnapshots.
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

// addChunks passes over what is no snapshot, as the folds do.
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
