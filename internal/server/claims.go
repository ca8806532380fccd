package server

import (
	"context"
	"time"

	"guavapier/internal/claim"
	"guavapier/internal/fold"
	"guavapier/internal/record"
	"guavapier/internal/replica"
)

// handoverPatience bounds handing over the claim shards at a drain. The
// witnesses have the claims, so it must not hold up the end for long.
const handoverPatience = 5 * time.Second

// joinClaims makes the parts that claim requests.
func (s *Server) joinClaims() error {
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

// leaveClaims hands the claim shards over, when no run is left here.
func (s *Server) leaveClaims() {
	s.claims.Close()
	ctx, cancel := context.WithTimeout(context.Background(), handoverPatience)
	defer cancel()
	s.holder.HandOver(ctx)
}

// claimModes reads the teams' modes out of the settings.
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
