package quarantine

import (
	"context"
	"slices"
	"time"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

const (
	// ServiceName is under which Exchange is registered, see peer.Server.
	ServiceName = "Quarantine"
	// swapInterval is the pause between two calls to neighbours while the log is away.
	swapInterval = 500 * time.Millisecond
	// swapTimeout bounds one call: round trips take a few milliseconds.
	swapTimeout = 200 * time.Millisecond
)

// SwapArgs has what the calling instance knows, encoded, by fingerprint.
type SwapArgs struct{ Records map[string][]byte }

// SwapReply has what the called one knows.
type SwapReply struct{ Records map[string][]byte }

// PeerService is the service that other instances of the zone call while the log is away.
type PeerService struct{ syncer *Syncer }

// NewPeerService returns the service of a keeper.
func NewPeerService(s *Syncer) *PeerService { return &PeerService{syncer: s} }

// Swap takes what the caller knows and answers with what is known here.
func (p *PeerService) Swap(args SwapArgs, reply *SwapReply) error {
	reply.Records = p.syncer.encodeRecords()
	p.syncer.mergeRecords(args.Records)
	return nil
}

// runExchange exchanges what is known with instances of the own zone, one after the other,
// while the log is away, until ctx ends.
func (s *Syncer) runExchange(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		logstore.Pause(ctx, swapInterval, nil)
		neighbours := s.Neighbours()
		if !s.logUnavailable.Load() || len(neighbours) == 0 {
			continue
		}
		slices.Sort(neighbours) // So that each has its turn.
		s.exchangeWith(ctx, neighbours[turn%len(neighbours)])
	}
}

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

// encodeRecords returns what is known, encoded, by fingerprint.
func (s *Syncer) encodeRecords() map[string][]byte {
	out := map[string][]byte{}
	for f, r := range s.Table.records() {
		if value, err := r.encode(); err == nil {
			out[f.String()] = value
		} else {
			s.Logger.Error().Err(err).Stringer("content", f).Msg("quarantine: record not sent")
		}
	}
	return out
}

// mergeRecords takes what another instance knows.
func (s *Syncer) mergeRecords(records map[string][]byte) {
	for key, value := range records {
		s.observe(logstore.KeyedRecord{Key: key, Value: value}, false)
	}
}
