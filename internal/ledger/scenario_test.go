package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavapier/internal/ledger"
	"guavapier/internal/record"
	"guavapier/internal/right"
)

// reserve reserves tokens of mainBudget at this instance.
func (n *simInstance) reserve(key string, tokens int64) (ledger.Reservation, error) {
	return n.ledger.Reserve(context.Background(), record.RequestKey{Team: "dala", Key: key}, record.NewRunID(), mainBudget, tokens)
}

// newTwoZoneFleet starts two zones of two instances and a budget of 1000
// tokens. Most tokens are in grants of rich, which is in the first zone; poor
// is in the second one and has none.
func newTwoZoneFleet(t *testing.T) (fleet *simFleet, rich, poor *simInstance) {
	t.Helper()
	fleet = newSimFleet(unmodified)
	fleet.runAsync = true
	opts := shortTimeoutOptions()
	opts.InitialGrantTokens = 2000
	// All links work, so these timeouts never end a successful call. The few
	// milliseconds of shortTimeoutOptions would, on a busy machine.
	opts.GrantTimeout, opts.PeerTimeout = 10*time.Second, 10*time.Second
	for i := range 4 {
		fleet.addInstance(fmt.Sprint("i", i), record.Zone(fmt.Sprint("zone-", i/2)), opts, func(c *ledger.Config) {
			c.Conservatism = func(record.BudgetID) float64 { return 1 }
		})
	}
	fleet.topUp(mainBudget, "1", 1000)
	rich, poor = fleet.instances[0], fleet.instances[2]
	for range 3 { // Half of the ungranted tokens, half of the rest, then what is needed.
		r, err := rich.reserve("rich", 400)
		if err != nil {
			break
		}
		_ = rich.ledger.Settle(context.Background(), mainBudget, r, 0)
		_, _ = rich.reserve("rich more", 10)
		fleet.running.Wait()
	}
	return fleet, rich, poor
}

// cutZones cuts all links between zones.
func (fleet *simFleet) cutZones() {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, a := range fleet.instances {
		for _, b := range fleet.instances {
			if a.zone != b.zone {
				fleet.links[[2]record.InstanceID{a.id, b.id}] = linkCut
			}
		}
	}
}

// TestTokensMoveToWhoNeedsThem guards against refusals near the end of a
// budget while another holder has free tokens.
func TestTokensMoveToWhoNeedsThem(t *testing.T) {
	fleet, _, poor := newTwoZoneFleet(t)
	left := ungrantedTokens(fleet)
	_, err := poor.reserve("poor", left+100)
	// Tokens that a use has just set free can't be moved before the witness has acknowledged its end, and an instance
	// that got none asks again after a pause on the simulated clock.
	const pause, limit = time.Second, 10 * time.Second
	for end := time.Now().Add(limit); errors.Is(err, ledger.ErrStranded) && time.Now().Before(end); time.Sleep(time.Millisecond) {
		fleet.mu.Lock()
		fleet.now = fleet.now.Add(pause)
		fleet.mu.Unlock()
		fleet.tickAll()
		_, err = poor.reserve("poor", left+100)
	}
	if err != nil {
		t.Fatalf("%d tokens are in no grant, reserving %d: %v", left, left+100, err)
	}
}

// TestStrandedIsToldApartFromExhausted checks the three refusals: tokens out
// of reach may be retried, while an exhausted budget is refused at once,
// without an append.
func TestStrandedIsToldApartFromExhausted(t *testing.T) {
	fleet, _, poor := newTwoZoneFleet(t)
	fleet.cutZones()
	_, err := poor.reserve("poor", ungrantedTokens(fleet)+100)
	var stranded *ledger.Stranded
	if !errors.As(err, &stranded) || !errors.Is(err, ledger.ErrStranded) || stranded.RetryAfter <= 0 {
		t.Fatalf("tokens behind a partition: %v, want ErrStranded with RetryAfter", err)
	}
	appends := fleet.appends
	if _, err := poor.reserve("too much", 1001); !errors.Is(err, ledger.ErrExhausted) {
		t.Fatalf("request for more than was prepaid: %v, want ErrExhausted", err)
	}
	if fleet.appends != appends {
		t.Fatal("a request that cannot succeed caused an append")
	}
	if _, err := poor.ledger.Reserve(context.Background(), record.RequestKey{Team: "dala", Key: "x"}, "", record.BudgetID{Team: "dala", Name: "none"}, 1); !errors.Is(err, ledger.ErrNoBudget) {
		t.Fatalf("unknown budget: %v, want ErrNoBudget", err)
	}
}

// TestForcedCloseReturnsTokens guards against tokens that stay lost in the
// grants of dead instances after an operator closed them.
func TestForcedCloseReturnsTokens(t *testing.T) {
	fleet, rich, poor := newTwoZoneFleet(t)
	fleet.mu.Lock()
	for _, n := range fleet.instances {
		n.stopped = n != poor
	}
	fleet.mu.Unlock()
	before := ungrantedTokens(fleet)
	for _, g := range poor.ledger.State() {
		if _, err := poor.ledger.ForceClose(context.Background(), g.Right); err != nil {
			t.Fatal(err)
		}
		if _, err := poor.ledger.ForceClose(context.Background(), g.Right); !errors.Is(err, ledger.ErrNoGrant) {
			t.Fatalf("second forced close: %v, want ErrNoGrant", err)
		}
	}
	if after := ungrantedTokens(fleet); after <= before || rich == poor {
		t.Fatalf("%d tokens in no grant before, %d after", before, after)
	}
}

// TestIdleTokensAreReturned guards against tokens stranded with holders that
// no longer use the budget.
func TestIdleTokensAreReturned(t *testing.T) {
	fleet, _, _ := newTwoZoneFleet(t)
	fleet.mu.Lock()
	fleet.now = fleet.now.Add(2 * time.Hour)
	fleet.mu.Unlock()
	// A return waits for the witness to acknowledge the uses that have ended, which comes in its own time.
	const limit = 10 * time.Second
	for end := time.Now().Add(limit); time.Now().Before(end) && idleTokensHeld(fleet) != nil; time.Sleep(time.Millisecond) {
		fleet.tickAll()
	}
	if held := idleTokensHeld(fleet); held != nil {
		t.Fatalf("idle tokens still held: %+v", *held)
	}
}

// tickAll runs a tick of each instance and waits for the tasks that these start.
func (fleet *simFleet) tickAll() {
	for _, n := range fleet.instances {
		n.ledger.Tick(context.Background())
	}
	fleet.running.Wait()
}

// idleTokensHeld returns a grant that its holder needs not all of, nil if there is none.
func idleTokensHeld(fleet *simFleet) *ledger.GrantState {
	for _, n := range fleet.instances {
		for _, g := range n.ledger.State() {
			if g.Holder == n.id && (g.Reserved == 0 || g.Free > 0) {
				return &g
			}
		}
	}
	return nil
}

// ungrantedTokens returns the tokens of mainBudget that are in no grant.
func ungrantedTokens(fleet *simFleet) int64 {
	_, l := fleet.replayLog()
	row, _ := l.Budget(mainBudget)
	return row.Prepaid - row.Committed
}

// TestGrantSizeKeepsItsBounds checks that a grant never exceeds the ungranted
// tokens, never is smaller than a waiting request if there are enough tokens,
// otherwise takes at most half of them, and doesn't grow as the budget
// shrinks.
func TestGrantSizeKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := ledger.SizingInput{
			ConsumptionRate: rapid.Float64Range(0, 1e6).Draw(t, "rate"), RequestTokens: rapid.Int64Range(1, 1e5).Draw(t, "need"),
			FreeTokens: rapid.Int64Range(0, 1e9).Draw(t, "free"), UngrantedTokens: rapid.Int64Range(0, 1e9).Draw(t, "left"),
			OtherHolders: rapid.IntRange(0, 400).Draw(t, "holders"), InitialGrant: 20_000, Conservatism: rapid.Float64Range(-1, 2).Draw(t, "lean"),
		}
		size := ledger.GrantSize(d)
		if size < 0 || size > d.UngrantedTokens || (d.UngrantedTokens >= d.RequestTokens && size < d.RequestTokens) {
			t.Fatalf("size %d is out of bounds for %+v", size, d)
		}
		if size > d.RequestTokens && size > d.UngrantedTokens/2 {
			t.Fatalf("size %d takes more than half of %d", size, d.UngrantedTokens)
		}
		halved := d
		halved.UngrantedTokens = d.UngrantedTokens / 2
		if ledger.GrantSize(halved) > size {
			t.Fatalf("a grant grew from %d to %d as the budget shrank", size, ledger.GrantSize(halved))
		}
	})
}

// TestReserveCallsThatArriveLateOrTwice guards against reservations that
// nobody settles: neither a duplicate of a Reserve call nor a call that
// arrives after its requester cancelled it may reserve tokens.
func TestReserveCallsThatArriveLateOrTwice(t *testing.T) {
	fleet, _, _ := newTwoZoneFleet(t)
	n := fleet.instances[2]
	call := func(id string) error {
		var reply ledger.ReserveReply
		use := record.Outstanding{Key: record.RequestKey{Team: "dala", Key: id}, Tokens: 5}
		if err := n.service.Reserve(ledger.ReserveArgs{From: "i3", ID: right.UseID(id), Budget: mainBudget, Use: use}, &reply); err != nil {
			t.Fatal(err)
		}
		return reply.Err()
	}
	cancel := func(id string) {
		item := ledger.Settlement{Budget: mainBudget, Reservation: ledger.Reservation{ID: right.UseID(id)}}
		_ = n.service.Settle(ledger.SettleArgs{Items: []ledger.Settlement{item}}, &ledger.SettleReply{})
	}
	if first, second := call("twice"), call("twice"); first != nil || !errors.Is(second, ledger.ErrStranded) {
		t.Fatalf("first call: %v; duplicate: %v, want nil and ErrStranded", first, second)
	}
	cancel("twice")
	cancel("late")
	if err := call("late"); !errors.Is(err, ledger.ErrStranded) {
		t.Fatalf("call after its cancellation: %v, want ErrStranded", err)
	}
	for _, g := range n.ledger.State() {
		if g.Holder == n.id && g.Reserved > 0 {
			t.Fatalf("a reservation is left: %+v", g)
		}
	}
}
