package server

import (
	"context"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"
)

// handoverTimeout bounds handing over the claim shards at a drain. The
// witnesses have the claims, so it must not hold up the end for long.
const handoverTimeout = 5 * time.Second

// initClaims makes the parts that claim requests.
func (s *Server) initClaims() error {
	s.holder = claim.NewHolder(claim.Parts{
		Self: s.self(), Log: s.publisher, Caller: s.pool, Members: s.members, Partitions: s.partitions, Logger: s.log,
	}, claim.Options{Modes: claimModes{s.config}})
	s.claims = claim.NewFleet(s.holder)
	s.tables.Register("claims", func() any { return s.holder.State() })
	if err := s.peerServer.Register(claim.ServiceName, claim.NewService(s.holder)); err != nil {
		return err
	}
	return s.peerServer.Register(claim.WitnessServiceName, s.holder.Witness())
}

// handOverClaimShards hands the claim shards over, when no run is left here.
func (s *Server) handOverClaimShards() {
	s.claims.Close()
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	s.holder.Handover(ctx)
}

// claimModes reads the teams' modes out of the settings.
type claimModes struct {
	config *replica.Replica[*fold.Config]
}

// WhenLogAway implements claim.Modes.
func (m claimModes) WhenLogAway(team record.Team) claim.Mode {
	mode := claim.Serve
	m.config.View(func(f *fold.Config) {
		if v, ok := f.Get(claim.WhenLogAwayPath(team)); ok && v.Value == claim.RefuseValue {
			mode = claim.Refuse
		}
	})
	return mode
}
