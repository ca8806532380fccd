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

// stream is a stream that this instance follows.
type stream interface {
	snapshot.Source
	Handler(onError func(error)) message.NoPublishHandlerFunc
	Restore(whole snapshot.Assembled) error
	SetGap()
	HasGap() bool
}

// streams lists the streams that this instance follows.
func (s *Server) streams() []stream {
	out := []stream{s.config}
	for _, p := range s.partitions {
		if s.follows(p) {
			out = append(out, p)
		}
	}
	return out
}

func (s *Server) follow(ctx context.Context) error {
	onError := func(err error) {
		s.metrics.Counter(metrics.BatchesSkipped).Inc(1)
		s.log.Error().Err(err).Msg("replica: batch passed over")
	}
	var sources []replica.Source
	for _, st := range s.streams() {
		sources = append(sources, replica.Source{Stream: st.Stream(), Handler: st.Handler(onError)})
	}
	return replica.Follow(ctx, s.subscriber, sources)
}

// current says whether every stream was read to its end since its start. Until
// then this instance is not ready: it knows neither all budgets nor all
// credentials.
func (s *Server) current() bool {
	for _, st := range s.streams() {
		if !s.subscriber.Current(st.Stream()) {
			return false
		}
	}
	return true
}

// startStream returns where to go on in a stream: after what was applied, if
// the log still has that; else from the newest whole snapshot.
func (s *Server) startStream(ctx context.Context, name record.Stream) (uint64, error) {
	for _, st := range s.streams() {
		if st.Stream() == name {
			return s.start(ctx, st)
		}
	}
	return 0, nil
}

func (s *Server) start(ctx context.Context, st stream) (uint64, error) {
	_, err := s.client.Read(ctx, st.Stream(), st.Next(), 0)
	if err == nil && !st.HasGap() {
		return st.Next(), nil
	}
	if err != nil && !errors.Is(err, logstore.ErrTrimmed) {
		return 0, err
	}
	st.SetGap()
	s.metrics.Counter(metrics.RecordsAgedOut).Inc(1)
	whole, _, discarded, err := snapshot.Find(ctx, s.client, st.Stream())
	s.metrics.Counter(metrics.SnapshotsDiscarded).Inc(int64(discarded))
	if err == nil {
		err = st.Restore(whole)
	}
	if err != nil {
		s.log.Error().Err(err).Str("stream", string(st.Stream())).Uint64("applied", st.Next()).Msg("snapshot: records aged out unread and none can be used, not ready")
		return 0, err
	}
	s.metrics.Counter(metrics.SnapshotsRestored).Inc(1)
	s.log.Info().Str("stream", string(st.Stream())).Str("id", whole.ID).Uint64("covers", whole.Covers).Msg("snapshot: tables restored")
	return whole.Covers, nil
}

func (s *Server) snapshotWriter() *snapshot.Writer {
	w := &snapshot.Writer{
		Log: s.publisher, FirstOffset: s.subscriber.First, MaxAge: s.settings.Snapshots.Every.D(),
		OnWritten: func(name record.Stream, covers uint64, bytes int) {
			s.metrics.Counter(metrics.SnapshotsWritten).Inc(1)
			s.log.Info().Str("stream", string(name)).Uint64("covers", covers).Int("bytes", bytes).Msg("snapshot: written")
		},
		OnError: func(name record.Stream, err error) {
			s.log.Error().Err(err).Str("stream", string(name)).Msg("snapshot: not written")
		},
	}
	for _, st := range s.streams() {
		w.Sources = append(w.Sources, st)
	}
	return w
}
