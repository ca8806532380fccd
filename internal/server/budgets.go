package server

import (
	"context"
	"strconv"
	"strings"
	"time"

	"guavapier/internal/config"
	"guavapier/internal/fold"
	"guavapier/internal/ledger"
	"guavapier/internal/record"
	"guavapier/internal/replica"
)

// initLedger creates the ledger and registers its services for peers.
func (s *Server) initLedger() error {
	opts := ledger.DefaultOptions()
	opts.InitialGrantTokens = s.settings.Ledger.GrantTokens
	opts.GrantTimeout = s.settings.Ledger.Patience.D()
	s.budgets = ledger.New(ledger.Config{
		Self: s.id, Zone: record.Zone(s.settings.Instance.Zone), Log: s.publisher, Partitions: s.partitions,
		Members: s.members, Peers: s.pool, Conservatism: s.conservatism, Usages: s.newRunFinder(), Options: opts,
	})
	s.tables.Register("grants", func() any { return s.budgets.State() })
	if err := s.peerServer.Register(ledger.WitnessName, s.budgets.Witness()); err != nil {
		return err
	}
	return s.peerServer.Register(ledger.ServiceName, ledger.NewService(s.budgets))
}

// grantReturnTimeout bounds one attempt to return all grants. It is longer than an
// attempt takes in which the responses to a few appends to the log are lost. After a
// failed attempt without unsettled reservations the shutdown continues, so that
// instances can be replaced during an outage of the platform. Grants that are not
// returned are closed by their witnesses, which know every use.
const grantReturnTimeout = 10 * time.Second

// returnGrants returns all grants to their budgets. It waits up to drainTimeout for
// reservations of other instances' requests, but not for an unavailable platform.
func (s *Server) returnGrants() {
	deadline := time.Now().Add(drainTimeout)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), grantReturnTimeout)
		err := s.budgets.Close(ctx)
		cancel()
		if err == nil {
			return
		}
		if s.budgets.Outstanding() == 0 {
			break
		}
	}
	s.log.Warn().Msg("ledger: grants not returned in time, the platform may be unavailable; their witnesses will close them")
}

// conservatism returns a budget's conservatism, from 0 (fewer stranded tokens) to 1
// (fewer refusals while the budget still has tokens). It returns the default if
// the setting is missing or invalid.
func (s *Server) conservatism(budget record.BudgetID) float64 {
	conservatism := ledger.DefaultConservatism
	s.config.View(func(c *fold.Config) {
		v, ok := c.Get(conservatismPath(budget))
		if !ok {
			return
		}
		if x, err := strconv.ParseFloat(v.Value, 64); err == nil && x >= 0 && x <= 1 {
			conservatism = x
		}
	})
	return conservatism
}

func conservatismPath(budget record.BudgetID) string {
	return strings.Join([]string{config.TeamsPath, string(budget.Team), "budgets", budget.Name, "lean"}, "/")
}

// followsPartition reports whether this instance reads a ledger partition. It
// reads all of them: its callers' requests can use any budget, and any holder can
// choose it as witness. docs/adr/0010 describes what following fewer would need.
func (s *Server) followsPartition(*replica.Replica[*fold.Ledger]) bool { return true }
