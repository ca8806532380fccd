package prepaid_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/prepaid"
	"guavapier/internal/record"
	"guavapier/internal/standin"
)

// allocatorPolicy returns a policy with allocators from three instances on.
func allocatorPolicy() prepaid.Policy {
	policy := prepaid.DefaultPolicy()
	policy.AllocatorFleetSize = 3
	return policy
}

// runZone starts controllers of one zone and waits until each has its role.
func runZone(t *testing.T, log *standin.Keyed, instances int) (controllers []*prepaid.Controller, stops []func()) {
	t.Helper()
	for i := range instances {
		c, stop := runControllerWithPolicy(t, log, record.InstanceID(fmt.Sprint("k", i)), 100_000, allocatorPolicy())
		controllers, stops = append(controllers, c), append(stops, stop)
	}
	awaitRoles(t, controllers)
	return controllers, stops
}

// awaitRoles waits until the zone has its allocators and all others are members, and returns the
// indexes of both.
func awaitRoles(t *testing.T, controllers []*prepaid.Controller) (allocators, members []int) {
	t.Helper()
	waitFor(t, "two allocators, all others members", func() bool {
		allocators, members = nil, nil
		for i, c := range controllers {
			switch c.Accounts.Role() {
			case allocator.Allocator:
				allocators = append(allocators, i)
			case allocator.Member:
				members = append(members, i)
			case allocator.Claimant:
			}
		}
		return len(allocators) == allocator.SlotsPerZone && len(members) == len(controllers)-allocator.SlotsPerZone
	})
	return allocators, members
}

// awaitSettledRoles waits for roles as awaitRoles does that last. Two instances may take the
// same slot at first; the one whose announcement was replaced then becomes a member.
func awaitSettledRoles(t *testing.T, controllers []*prepaid.Controller) (allocators, members []int) {
	t.Helper()
	const settled = 1500 * time.Millisecond // Longer than it takes to read an announcement back.
	for {
		allocators, members = awaitRoles(t, controllers)
		time.Sleep(settled)
		if now, _ := awaitRoles(t, controllers); slices.Equal(now, allocators) {
			return allocators, members
		}
	}
}

func TestAZoneSpendsABudgetToItsEnd(t *testing.T) {
	controllers, _ := runZone(t, standin.NewKeyed(), 6)
	if sum := spendAll(t, 700, controllers...); sum > 100_000 {
		t.Errorf("spent %d of 100000", sum)
	}
}

// A member learns the size of the fleet from its allocators.
func TestAMemberHearsOfTheFleet(t *testing.T) {
	controllers, _ := runZone(t, standin.NewKeyed(), 5)
	for _, c := range controllers {
		waitFor(t, "the fleet's size", func() bool { return c.Accounts.Instances() == 5 })
	}
}

func TestMembersGoOnAfterTheirAllocatorsAreKilled(t *testing.T) {
	controllers, stops := runZone(t, standin.NewKeyed(), 6)
	var members []*prepaid.Controller
	for i, c := range controllers {
		if c.Accounts.Role() == allocator.Member {
			members = append(members, c)
		} else {
			stops[i]()
		}
	}
	for _, c := range members {
		waitFor(t, "tokens after the allocators' end", func() bool {
			r, err := c.Reserve(t.Context(), team, 500)
			if err == nil {
				r.Settle(500)
			}
			return err == nil
		})
	}
}

// A member reports ErrExhausted only for requests that no longer fit into the budget.
func TestAMemberKnowsTheEndOfABudget(t *testing.T) {
	controllers, _ := runZone(t, standin.NewKeyed(), 4)
	if sum := spendAll(t, 900, controllers...); sum > 100_000 {
		t.Fatalf("spent %d of 100000", sum)
	}
	for _, c := range controllers {
		waitFor(t, "ErrExhausted", func() bool {
			_, err := c.Reserve(t.Context(), team, 5000)
			return errors.Is(err, prepaid.ErrExhausted)
		})
	}
}

func TestAMemberThatEndsGivesBack(t *testing.T) {
	log := standin.NewKeyed()
	controllers, stops := runZone(t, log, 5)
	for i, c := range controllers {
		if c.Accounts.Role() != allocator.Member {
			continue
		}
		// The allocators may not have claimed any tokens yet.
		waitFor(t, "tokens", func() bool {
			r, err := c.Reserve(t.Context(), team, 3000)
			if err == nil {
				r.Settle(100)
			}
			return err == nil
		})
		stops[i]()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		c.Close(ctx)
		cancel()
		if left := c.Accounts.Spendable(team, sinceOrigin()); left > 0 {
			t.Errorf("%s ended with %d spendable tokens, want none", fmt.Sprint("k", i), left)
		}
	}
}
