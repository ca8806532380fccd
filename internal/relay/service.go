package relay

import (
	"context"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

// ReadArgs ask for a stream's entries from an offset on.
type ReadArgs struct {
	Stream record.Stream
	From   uint64
}

// ReadReply has the entries in offset order, without a gap; none where the
// peer has none.
type ReadReply struct{ Entries []logstore.Entry }

// Service serves an instance's entries over net/rpc, as ServiceName.
type Service struct{ log *Log }

// NewService returns the service of a log.
func NewService(l *Log) *Service { return &Service{log: l} }

// Read is the net/rpc method. What the ring no longer has is read from the
// platform, while that answers here.
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
