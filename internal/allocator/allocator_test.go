package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/record"
)

// simZone simulates the instances of one zone, which all read each announcement at once.
type simZone struct {
	t             *testing.T
	instances     []*allocator.Directory
	now           time.Duration
	announcements int                         // Number of announcements so far.
	holders       [allocator.SlotsPerZone]int // Instance that holds each slot; -1 if none.
}

func newSimZone(t *testing.T, links ...float64) *simZone {
	t.Helper()
	z := &simZone{t: t, holders: [allocator.SlotsPerZone]int{-1, -1}}
	for i, link := range links {
		d := allocator.New(allocator.Self{Key: key(i), Peer: fmt.Sprint("peer-", i), Zone: "z", LinkMbps: link})
		d.MarkLoaded(0)
		z.instances = append(z.instances, d)
	}
	return z
}

func key(i int) record.InstanceID { return record.InstanceID(fmt.Sprint("instance-", i)) }

// advance moves the simulated time forward in steps of 20 ms. In each step every instance
// calls the slot holders, and answering instances take the slots offered to them.
func (z *simZone) advance(duration time.Duration, answers func(i int) bool) {
	const step = 20 * time.Millisecond
	for end := z.now + duration; z.now < end; z.now += step {
		for _, holder := range z.holders {
			z.callHolder(holder, answers)
		}
		for i, d := range z.instances {
			if slot, ok := d.SlotToTake(true, z.now); ok && answers(i) {
				z.announce(slot, i)
			}
		}
	}
}

func (z *simZone) callHolder(holder int, answers func(int) bool) {
	if holder < 0 {
		return
	}
	for _, d := range z.instances {
		if answers(holder) {
			d.MarkReachable(key(holder))
		} else {
			d.MarkFailing(key(holder), false, z.now)
		}
	}
}

func (z *simZone) announce(slot, i int) {
	z.announcements++
	z.holders[slot] = i
	value, err := z.instances[i].EncodeAnnouncement()
	if err != nil {
		z.t.Fatal(err)
	}
	for _, d := range z.instances {
		if err := d.Observe(allocator.SlotKey("z", slot), value, z.now); err != nil {
			z.t.Fatal(err)
		}
	}
}

func (z *simZone) countRoles() map[allocator.Role]int {
	count := map[allocator.Role]int{}
	for _, d := range z.instances {
		count[d.Role(true, z.now)]++
	}
	return count
}

func allAnswer(int) bool { return true }

func TestAZoneGetsItsAllocatorsFromTheFastestLinks(t *testing.T) {
	links := []float64{20, 20, 200, 20, 20, 200, 20, 200}
	z := newSimZone(t, links...)
	z.advance(5*time.Second, allAnswer)
	if z.holders[0] < 0 || z.holders[1] < 0 || z.holders[0] == z.holders[1] {
		t.Fatalf("slots held by %v, want two different instances", z.holders)
	}
	for _, holder := range z.holders {
		if links[holder] != 200 {
			t.Errorf("instance %d with %g Mbit/s is an allocator, want one with 200", holder, links[holder])
		}
	}
	if got := z.countRoles(); got[allocator.Allocator] != 2 || got[allocator.Member] != len(links)-2 {
		t.Errorf("number of instances by role: %v", got)
	}
}

// When 50 instances start at once or lose an allocator, only a few of them may write
// announcements to the log.
func TestFewInstancesTakeAVacantSlot(t *testing.T) {
	links := make([]float64, 50)
	for i := range links {
		links[i] = 20
	}
	z := newSimZone(t, links...)
	z.advance(5*time.Second, allAnswer)
	if z.announcements > 4 {
		t.Errorf("%d announcements for two slots, want at most 4", z.announcements)
	}
	firstHolder, announcementsBefore := z.holders[0], z.announcements
	z.advance(5*time.Second, func(i int) bool { return i != firstHolder })
	if z.holders[0] == firstHolder || z.announcements-announcementsBefore > 3 {
		t.Errorf("slot 0 held by instance %d after instance %d stopped answering, %d announcements; want another holder, at most 3 announcements", z.holders[0], firstHolder, z.announcements-announcementsBefore)
	}
}

// A stall shorter than unreachableTimeout makes members use the other allocator and
// leaves the slots to their holders.
func TestAShortStallReplacesNobody(t *testing.T) {
	z := newSimZone(t, 200, 200, 20, 20)
	z.advance(3*time.Second, allAnswer)
	holders, stalled := z.holders, z.holders[0]
	z.advance(time.Second, func(i int) bool { return i != stalled })
	for i, d := range z.instances {
		if i == holders[0] || i == holders[1] {
			continue
		}
		if usable := d.ListReachable(); len(usable) != 1 || usable[0].Key != key(holders[1]) {
			t.Errorf("instance %d can withdraw from %v, want only the allocator that answers", i, usable)
		}
	}
	z.advance(2*time.Second, allAnswer)
	if z.holders != holders {
		t.Errorf("slots held by %v after a short stall, want %v as before", z.holders, holders)
	}
}

// An allocator that its zone cannot reach was replaced. It must not keep retaking the slot
// from the reachable instance that replaced it.
func TestAReplacedAllocatorLeavesTheSlotsToOthers(t *testing.T) {
	z := newSimZone(t, 200, 200, 200, 20)
	z.advance(2*time.Second, allAnswer)
	unreachable := z.holders[0]
	isReachable := func(i int) bool { return i != unreachable }
	z.advance(5*time.Second, isReachable)
	announcementsBefore := z.announcements
	z.advance(20*time.Second, func(i int) bool { return isReachable(i) })
	if z.holders[0] == unreachable || z.announcements != announcementsBefore {
		t.Errorf("slot 0 held by instance %d, %d more announcements; want another holder, none", z.holders[0], z.announcements-announcementsBefore)
	}
	if role := z.instances[unreachable].Role(true, z.now); role == allocator.Allocator {
		t.Error("the replaced instance is still an allocator")
	}
}

// An announcement outlives its process, so an allocator is usable only after it answered
// a call. Without one the instance stays a member at first and then claims for itself.
func TestAnAnnouncementAloneMakesNoAllocatorUsable(t *testing.T) {
	d := allocator.New(allocator.Self{Key: "me", Zone: "z", LinkMbps: 20})
	d.MarkLoaded(0)
	if role := d.Role(false, 0); role != allocator.Claimant {
		t.Errorf("role is %s in a small fleet, want claimant", role)
	}
	old, err := allocator.New(allocator.Self{Key: "dead", Peer: "p"}).EncodeAnnouncement()
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Observe(allocator.SlotKey("z", 0), old, 0); err != nil {
		t.Fatal(err)
	}
	if usable := d.ListReachable(); len(usable) > 0 || !d.HasAllocators() {
		t.Errorf("can withdraw from %v, want none before an answer", usable)
	}
	for at, want := range map[time.Duration]allocator.Role{
		time.Second: allocator.Member, 10 * time.Second: allocator.Claimant,
	} {
		if role := d.Role(false, at); role != want {
			t.Errorf("role is %s after %s without an allocator, want %s", role, at, want)
		}
	}
	d.MarkReachable("dead")
	if role := d.Role(false, 11*time.Second); role != allocator.Member {
		t.Errorf("role is %s after an allocator answered, want member", role)
	}
	if !d.MarkFailing("dead", true, 0) || d.MarkFailing("dead", true, time.Second) {
		t.Error("MarkFailing must report the first failure and not the second")
	}
	if err := d.Observe(allocator.SlotKey("z", 1), []byte{0xff}, 0); err == nil {
		t.Error("an undecodable announcement was accepted")
	}
	if err := d.Observe(allocator.SlotKey("other", 0), []byte{0xff}, 0); err != nil {
		t.Errorf("announcement of another zone: %v, want it ignored", err)
	}
	small := allocator.New(allocator.Self{Key: "me", Zone: "z", LinkMbps: 20})
	small.MarkLoaded(0)
	small.SlotToTake(false, 0)
	if _, ok := small.SlotToTake(false, time.Minute); ok {
		t.Error("takes a slot in a small fleet")
	}
}
