package prepaid_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/prepaid"
	"guavapier/internal/record"
	"guavapier/internal/standin"
)

// pooledPolicy has allocators from three instances on.
func pooledPolicy() prepaid.Policy {
	policy := prepaid.DefaultPolicy()
	policy.PoolFrom = 3
	return policy
}

// runPool starts so many keepers of one zone and waits until each has its part.
func runPool(t *testing.T, log *standin.Keyed, instances int) (keepers []*prepaid.Keeper, stops []func()) {
	t.Helper()
	for i := range instances {
		k, stop := runKeeperOf(t, log, record.InstanceID(fmt.Sprint("k", i)), 100_000, pooledPolicy())
		keepers, stops = append(keepers, k), append(stops, stop)
	}
	awaitParts(t, keepers)
	return keepers, stops
}

// awaitParts waits until a zone has its allocators and all others are members, and
// returns which are which.
func awaitParts(t *testing.T, keepers []*prepaid.Keeper) (allocators, members []int) {
	t.Helper()
	waitFor(t, "two allocators, all others members", func() bool {
		allocators, members = nil, nil
		for i, k := range keepers {
			switch k.Book.Role() {
			case allocator.Allocator:
				allocators = append(allocators, i)
			case allocator.Member:
				members = append(members, i)
			case allocator.Claimant:
			}
		}
		return len(allocators) == allocator.SlotsPerZone && len(members) == len(keepers)-allocator.SlotsPerZone
	})
	return allocators, members
}

func TestAZoneSpendsABudgetToItsEnd(t *testing.T) {
	keepers, _ := runPool(t, standin.NewKeyed(), 6)
	if sum := spendAll(t, 700, keepers...); sum > 100_000 {
		t.Errorf("spent %d of 100000", sum)
	}
}

// What a member knows of the fleet comes from its allocators.
func TestAMemberHearsOfTheFleet(t *testing.T) {
	keepers, _ := runPool(t, standin.NewKeyed(), 5)
	for _, k := range keepers {
		waitFor(t, "the fleet's size", func() bool { return k.Book.Instances() == 5 })
	}
}

func TestMembersGoOnAfterTheirAllocatorsAreKilled(t *testing.T) {
	keepers, stops := runPool(t, standin.NewKeyed(), 6)
	var members []*prepaid.Keeper
	for i, k := range keepers {
		if k.Book.Role() == allocator.Member {
			members = append(members, k)
		} else {
			stops[i]()
		}
	}
	for _, k := range members {
		waitFor(t, "tokens after the allocators' end", func() bool {
			r, err := k.Reserve(t.Context(), team, 500)
			if err == nil {
				r.Settle(500)
			}
			return err == nil
		})
	}
}

// A member refuses for good only what does not fit into the budget any more, and
// does so without a wait.
func TestAMemberKnowsTheEndOfABudget(t *testing.T) {
	keepers, _ := runPool(t, standin.NewKeyed(), 4)
	if sum := spendAll(t, 900, keepers...); sum > 100_000 {
		t.Fatalf("spent %d of 100000", sum)
	}
	for _, k := range keepers {
		waitFor(t, "exhausted", func() bool {
			_, err := k.Reserve(t.Context(), team, 5000)
			return errors.Is(err, prepaid.ErrExhausted)
		})
	}
}

func TestAMemberThatEndsGivesBack(t *testing.T) {
	log := standin.NewKeyed()
	keepers, stops := runPool(t, log, 5)
	for i, k := range keepers {
		if k.Book.Role() != allocator.Member {
			continue
		}
		// The allocators may have claimed nothing yet.
		waitFor(t, "tokens", func() bool {
			r, err := k.Reserve(t.Context(), team, 3000)
			if err == nil {
				r.Settle(100)
			}
			return err == nil
		})
		stops[i]()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		k.Close(ctx)
		cancel()
		if left := k.Book.AtHand(team, sinceOrigin()); left > 0 {
			t.Errorf("%s ended with %d tokens at hand", fmt.Sprint("k", i), left)
		}
	}
}
