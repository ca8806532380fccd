package quarantine

import (
	"context"
	"slices"
	"time"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

const (
	// ServiceName is the name under which PeerService is registered with a peer.Server.
	ServiceName = "Quarantine"
	// swapInterval is the pause between two calls to neighbours while the log is
	// unavailable.
	swapInterval = 500 * time.Millisecond
	// swapTimeout bounds one call; round trips take a few milliseconds.
	swapTimeout = 200 * time.Millisecond
)

// SwapArgs holds the records of the calling instance, encoded as on the log, by
// fingerprint.
type SwapArgs struct{ Records map[string][]byte }

// SwapReply holds the records of the called instance, in the form of SwapArgs.
type SwapReply struct{ Records map[string][]byte }

// PeerService is the RPC service that other instances of the availability zone call while
// the log is unavailable.
type PeerService struct{ syncer *Syncer }

// NewPeerService returns the service that exchanges the records of s.
func NewPeerService(s *Syncer) *PeerService { return &PeerService{syncer: s} }

// Swap merges the caller's records and returns those that this instance had before.
func (p *PeerService) Swap(args SwapArgs, reply *SwapReply) error {
	reply.Records = p.syncer.encodeRecords()
	p.syncer.mergeRecords(args.Records)
	return nil
}

// runExchange exchanges records with the other instances of the availability zone, one
// after the other, while the log is unavailable. It returns when ctx ends.
func (s *Syncer) runExchange(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		logstore.Pause(ctx, swapInterval, nil)
		neighbours := s.Neighbours()
		if !s.logUnavailable.Load() || len(neighbours) == 0 {
			continue
		}
		slices.Sort(neighbours) // In a fixed order, so that each neighbour is called in turn.
		s.exchangeWith(ctx, neighbours[turn%len(neighbours)])
	}
}

// exchangeWith sends this instance's records to a neighbour and merges the neighbour's.
func (s *Syncer) exchangeWith(ctx context.Context, neighbour record.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	var reply SwapReply
	if err := s.Caller.Call(ctx, neighbour, ServiceName+".Swap", SwapArgs{Records: s.encodeRecords()}, &reply); err != nil {
		s.ThinnedLogger.Info().Err(err).Str("instance", string(neighbour)).Msg("quarantine: neighbour not reached")
		return
	}
	s.mergeRecords(reply.Records)
}

// encodeRecords returns the records of all entries, encoded, by fingerprint.
func (s *Syncer) encodeRecords() map[string][]byte {
	out := map[string][]byte{}
	for f, r := range s.Table.records() {
		if value, err := r.encode(); err == nil {
			out[f.String()] = value
		} else {
			s.Logger.Error().Err(err).Stringer("content", f).Msg("quarantine: record not encoded, not sent to neighbour")
		}
	}
	return out
}

// mergeRecords merges the encoded records of another instance into the table.
func (s *Syncer) mergeRecords(records map[string][]byte) {
	for key, value := range records {
		s.observe(logstore.KeyedRecord{Key: key, Value: value}, false)
	}
}
