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

// initLedger makes the ledger and registers its services with the peers.
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

// grantReturnTimeout is how long returning the grants is tried while nothing is
// reserved in them any more. Harm prevented: an instance that cannot be replaced
// during an outage of the platform. Limit: a few appends with lost answers take
// less; after it, the witnesses know every use and close the grants.
const grantReturnTimeout = 10 * time.Second

// returnGrants returns all grants to their budgets. It waits for reservations
// of other instances' requests, as long as a drain may last, but not for a
// platform that is away.
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
	s.log.Warn().Msg("ledger: grants left to their witnesses, the platform does not answer")
}

// conservatism reads a budget's setting between fewer stranded tokens (0) and fewer
// false refusals (1).
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

// followsPartition decides which ledger partitions this instance reads. An instance
// draws on any budget that its callers bring, and it is witness wherever a
// holder chose it, so it followsPartition all of them today. docs/adr/0010 says what
// following fewer needs.
func (s *Server) followsPartition(*replica.Replica[*fold.Ledger]) bool { return true }
