package server

import (
	"context"
	"errors"

	"github.com/ThreeDotsLabs/watermill/message"

	"guavapier/internal/logstore"
	"guavapier/internal/metrics"
	"guavapier/internal/record"
	"guavapier/internal/replica"
	"guavapier/internal/snapshot"
)

// followedStream is the replica of a stream that this instance follows.
type followedStream interface {
	snapshot.Source
	Handler(onError func(error)) message.NoPublishHandlerFunc
	Restore(whole snapshot.Assembled) error
	SetGap()
	HasGap() bool
}

// followedStreams returns the replicas of the config stream and of the followed
// ledger partitions.
func (s *Server) followedStreams() []followedStream {
	out := []followedStream{s.config}
	for _, p := range s.partitions {
		if s.followsPartition(p) {
			out = append(out, p)
		}
	}
	return out
}

// followStreams applies the entries of all followed streams until ctx is done. A
// batch that can't be applied is counted, logged and skipped.
func (s *Server) followStreams(ctx context.Context) error {
	onError := func(err error) {
		s.metrics.Counter(metrics.BatchesSkipped).Inc(1)
		s.log.Error().Err(err).Msg("replica: batch passed over")
	}
	var sources []replica.Source
	for _, st := range s.followedStreams() {
		sources = append(sources, replica.Source{Stream: st.Stream(), Handler: st.Handler(onError)})
	}
	return replica.Follow(ctx, s.subscriber, sources)
}

// isCurrent reports whether every followed stream was read to its end since this
// process started. Until then the instance is not ready, since it may lack budgets
// and credentials.
func (s *Server) isCurrent() bool {
	for _, st := range s.followedStreams() {
		if !s.subscriber.IsCaughtUp(st.Stream()) {
			return false
		}
	}
	return true
}

// resumeOffset returns the offset at which to continue reading a stream; see
// resumeOrRestore. A stream that isn't followed starts at 0.
func (s *Server) resumeOffset(ctx context.Context, name record.Stream) (uint64, error) {
	for _, st := range s.followedStreams() {
		if st.Stream() == name {
			return s.resumeOrRestore(ctx, st)
		}
	}
	return 0, nil
}

// resumeOrRestore returns the offset after the last applied entry, if the log still
// keeps the entries from there. Otherwise it restores the newest complete snapshot
// and returns the first offset that the snapshot does not cover. It returns an
// error if the log can't be read or no snapshot is usable.
func (s *Server) resumeOrRestore(ctx context.Context, st followedStream) (uint64, error) {
	_, err := s.client.Read(ctx, st.Stream(), st.NextOffset(), 0)
	if err == nil && !st.HasGap() {
		return st.NextOffset(), nil
	}
	if err != nil && !errors.Is(err, logstore.ErrTrimmed) {
		return 0, err
	}
	st.SetGap()
	s.metrics.Counter(metrics.RecordsAgedOut).Inc(1)
	found, _, discarded, err := snapshot.Find(ctx, s.client, st.Stream())
	s.metrics.Counter(metrics.SnapshotsDiscarded).Inc(int64(discarded))
	if err == nil {
		err = st.Restore(found)
	}
	if err != nil {
		s.log.Error().Err(err).Str("stream", string(st.Stream())).Uint64("applied", st.NextOffset()).Msg("snapshot: records aged out unread and none can be used, not ready")
		return 0, err
	}
	s.metrics.Counter(metrics.SnapshotsRestored).Inc(1)
	s.log.Info().Str("stream", string(st.Stream())).Str("id", found.ID).Uint64("covers", found.Covers).Msg("snapshot: tables restored")
	return found.Covers, nil
}

// snapshotWriter returns the writer of snapshots of all followed streams.
func (s *Server) snapshotWriter() *snapshot.Writer {
	w := &snapshot.Writer{
		Log: s.publisher, FirstOffset: s.subscriber.OldestOffset, MaxAge: s.settings.Snapshots.Every.D(),
		OnWritten: func(name record.Stream, covers uint64, bytes int) {
			s.metrics.Counter(metrics.SnapshotsWritten).Inc(1)
			s.log.Debug().Str("stream", string(name)).Uint64("covers", covers).Int("bytes", bytes).Msg("snapshot: written")
		},
		OnError: func(name record.Stream, err error) {
			s.log.Error().Err(err).Str("stream", string(name)).Msg("snapshot: not written")
		},
	}
	for _, st := range s.followedStreams() {
		w.Sources = append(w.Sources, st)
	}
	return w
}
