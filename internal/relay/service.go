package relay

import (
	"context"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

// ReadArgs requests the entries of a stream from an offset on.
type ReadArgs struct {
	Stream record.Stream
	From   uint64
}

// ReadReply holds the entries in offset order, without a gap. It is empty if the
// peer has none at or after the requested offset.
type ReadReply struct{ Entries []logstore.Entry }

// Service serves log entries to peers over net/rpc, registered as ServiceName.
type Service struct{ log *Log }

// NewService returns a Service that serves the entries of l.
func NewService(l *Log) *Service { return &Service{log: l} }

// Read is the net/rpc method behind a peer's read. It serves cached entries, and
// reads those that are no longer cached from the platform if this instance can
// reach it. A failed platform read gives an empty reply, not an error.
func (s *Service) Read(args ReadArgs, reply *ReadReply) error {
	s.log.mu.Lock()
	entries, covered := s.log.ringFor(args.Stream).read(args.From)
	platformReachable := s.log.lastFailure.IsZero()
	s.log.mu.Unlock()
	if !covered && platformReachable {
		ctx, cancel := context.WithTimeout(context.Background(), peerReadTimeout)
		defer cancel()
		page, err := s.log.platform.Read(ctx, args.Stream, args.From, 0)
		if err == nil {
			entries = page.Entries
		}
	}
	reply.Entries = limitReply(entries)
	return nil
}
