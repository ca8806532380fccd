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

// SwapArgs holds what the calling instance knows, by the fingerprints of the subjects.
type SwapArgs struct {
	Records map[string][]byte // Encoded as on the log.
	// Clears are the crashes that the subject was cleared of. Older instances neither send nor
	// read them.
	Clears map[string][]clearRecord `cbor:",omitempty"`
}

// SwapReply holds what the called instance knows, in the form of SwapArgs.
type SwapReply struct {
	Records map[string][]byte
	Clears  map[string][]clearRecord `cbor:",omitempty"`
}

// PeerService is the RPC service that other instances of the availability zone call while
// the log is unavailable.
type PeerService struct{ syncer *Syncer }

// NewPeerService returns the service that exchanges the records of s.
func NewPeerService(s *Syncer) *PeerService { return &PeerService{syncer: s} }

// Swap merges what the caller knows and returns what this instance knew before.
func (p *PeerService) Swap(args SwapArgs, reply *SwapReply) error {
	reply.Records, reply.Clears = p.syncer.encodeRecords(), p.syncer.encodeClears()
	p.syncer.mergeNeighbour(args.Records, args.Clears)
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

// exchangeWith sends what this instance knows to a neighbour and merges what that one knows.
func (s *Syncer) exchangeWith(ctx context.Context, neighbour record.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	var reply SwapReply
	args := SwapArgs{Records: s.encodeRecords(), Clears: s.encodeClears()}
	if err := s.Caller.Call(ctx, neighbour, ServiceName+".Swap", args, &reply); err != nil {
		s.ThinnedLogger.Info().Err(err).Str("instance", string(neighbour)).Msg("quarantine: neighbour not reached")
		return
	}
	s.mergeNeighbour(reply.Records, reply.Clears)
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

// encodeClears returns the clears that the table remembers, by fingerprint.
func (s *Syncer) encodeClears() map[string][]clearRecord {
	out := map[string][]clearRecord{}
	for f, cleared := range s.Table.clearRecords(time.Now()) {
		out[f.String()] = cleared
	}
	return out
}

// mergeNeighbour merges what another instance knows into the table. Clears come first, so that
// the crashes that they are of don't count meanwhile.
func (s *Syncer) mergeNeighbour(records map[string][]byte, cleared map[string][]clearRecord) {
	for key, list := range cleared {
		if f, ok := s.parseKey(key); ok {
			s.mergeClears(f, list)
		}
	}
	for key, value := range records {
		if f, r, ok := s.parseRecord(key, value); ok {
			s.mergeRecord(f, r)
		}
	}
}

// mergeClears applies another instance's clears of a subject. A pending write must not bring the
// crashes back. The log is told by the instance that has cleared the subject or, if that can't
// reach it, by those that can.
func (s *Syncer) mergeClears(f Fingerprint, cleared []clearRecord) {
	left, changed := s.Table.observeClears(f, cleared, time.Now())
	switch {
	case !changed:
	case left == nil && !s.logUnavailable.Load():
		s.enqueueDelayed(f, nil, maxUrgentDelay)
	default:
		s.replacePending(f, left)
	}
}

// mergeRecord merges another instance's record of a subject. A pending clear is out of date if
// there was another crash.
func (s *Syncer) mergeRecord(f Fingerprint, r *entryRecord) {
	repaired, known := s.Table.observeNeighbour(f, r, time.Now())
	if known {
		s.dropPendingClear(f)
	}
	if repaired != nil {
		s.enqueueDelayed(f, repaired, maxUrgentDelay)
		return
	}
	s.dropDelayed(f, false)
}
