package server

import (
	"context"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"
)

// handoverTimeout bounds the handover of claim shards during shutdown. It is short
// because the witnesses have the claims too.
const handoverTimeout = 5 * time.Second

// initClaims creates the holder of claim shards and the claims of the fleet, and
// registers their services for peers.
func (s *Server) initClaims() error {
	s.holder = claim.NewHolder(claim.Dependencies{
		Self: s.self(), Log: s.publisher, Caller: s.pool, Members: s.members, Partitions: s.partitions, Logger: s.log,
	}, claim.Options{Modes: claimModes{s.config}})
	s.claims = claim.NewClient(s.holder)
	s.tables.Register("claims", func() any { return s.holder.State() })
	if err := s.peerServer.Register(claim.ServiceName, claim.NewService(s.holder)); err != nil {
		return err
	}
	return s.peerServer.Register(claim.WitnessServiceName, s.holder.Witness())
}

// handOverClaimShards closes the claims and hands the claim shards over to other
// instances. Call it when no run is left on this instance.
func (s *Server) handOverClaimShards() {
	s.claims.Close()
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	s.holder.HandOver(ctx)
}

// claimModes implements claim.Modes with the teams' settings.
type claimModes struct {
	config *replica.Replica[*fold.Config]
}

// WhenLogUnavailable implements claim.Modes.
func (m claimModes) WhenLogUnavailable(team record.Team) claim.Mode {
	mode := claim.ModeServe
	m.config.View(func(f *fold.Config) {
		if v, ok := f.Get(claim.WhenLogUnavailablePath(team)); ok && v.Value == claim.ModeRefuseValue {
			mode = claim.ModeRefuse
		}
	})
	return mode
}
