package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/record"
)

// simZone is a simZone's instances with the announcements that they have all heard.
type simZone struct {
	t             *testing.T
	instances     []*allocator.Directory
	now           time.Duration
	announcements int // Announcements in all.
	holders       [allocator.SlotsPerZone]int
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

// advance lets time advance; whoever may takes a vacant slot, and all hear of it 20 ms
// later. Living allocators answer calls.
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
		t.Fatalf("slots held by %v", z.holders)
	}
	for _, holder := range z.holders {
		if links[holder] != 200 {
			t.Errorf("instance %d with %g Mbit/s is an allocator", holder, links[holder])
		}
	}
	if got := z.countRoles(); got[allocator.Allocator] != 2 || got[allocator.Member] != len(links)-2 {
		t.Errorf("roles %v", got)
	}
}

// A zone of 50 that starts at once, or loses an allocator, must not have all of them
// write to the log.
func TestFewInstancesTakeAVacantSlot(t *testing.T) {
	links := make([]float64, 50)
	for i := range links {
		links[i] = 20
	}
	z := newSimZone(t, links...)
	z.advance(5*time.Second, allAnswer)
	if z.announcements > 4 {
		t.Errorf("%d announcements for two slots", z.announcements)
	}
	firstHolder, announcementsBefore := z.holders[0], z.announcements
	z.advance(5*time.Second, func(i int) bool { return i != firstHolder })
	if z.holders[0] == firstHolder || z.announcements-announcementsBefore > 3 {
		t.Errorf("slot held by %d after %d, %d announcements", z.holders[0], firstHolder, z.announcements-announcementsBefore)
	}
}

// A stall under failingFor moves members to the other slot and no slot.
func TestAShortStallReplacesNobody(t *testing.T) {
	z := newSimZone(t, 200, 200, 20, 20)
	z.advance(3*time.Second, allAnswer)
	holders, stalled := z.holders, z.holders[0]
	z.advance(time.Second, func(i int) bool { return i != stalled })
	for i, d := range z.instances {
		if i == holders[0] || i == holders[1] {
			continue
		}
		if usable := d.Usable(); len(usable) != 1 || usable[0].Key != key(holders[1]) {
			t.Errorf("instance %d draws from %v", i, usable)
		}
	}
	z.advance(2*time.Second, allAnswer)
	if z.holders != holders {
		t.Errorf("slots held by %v, before by %v", z.holders, holders)
	}
}

// An instance that the zone doesn't reach must not take the slot from those that it
// does reach again and again.
func TestAReplacedAllocatorLeavesTheSlotsToOthers(t *testing.T) {
	z := newSimZone(t, 200, 200, 200, 20)
	z.advance(2*time.Second, allAnswer)
	unreachable := z.holders[0]
	isReachable := func(i int) bool { return i != unreachable }
	z.advance(5*time.Second, isReachable)
	announcementsBefore := z.announcements
	z.advance(20*time.Second, func(i int) bool { return isReachable(i) })
	if z.holders[0] == unreachable || z.announcements != announcementsBefore {
		t.Errorf("slot held by %d, %d more announcements", z.holders[0], z.announcements-announcementsBefore)
	}
	if role := z.instances[unreachable].Role(true, z.now); role == allocator.Allocator {
		t.Error("the replaced one goes on as an allocator")
	}
}

// Announcements outlive their processes: only an answer makes an allocator usable. Until
// a slot is taken anew the instance waits, some time.
func TestAnAnnouncementAloneMakesNoAllocatorUsable(t *testing.T) {
	d := allocator.New(allocator.Self{Key: "me", Zone: "z", LinkMbps: 20})
	d.MarkLoaded(0)
	if role := d.Role(false, 0); role != allocator.Claimant {
		t.Errorf("is %s in a small fleet", role)
	}
	old, err := allocator.New(allocator.Self{Key: "dead", Peer: "p"}).EncodeAnnouncement()
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Observe(allocator.SlotKey("z", 0), old, 0); err != nil {
		t.Fatal(err)
	}
	if usable := d.Usable(); len(usable) > 0 || !d.HasAllocators() {
		t.Errorf("draws from %v", usable)
	}
	for at, want := range map[time.Duration]allocator.Role{
		time.Second: allocator.Member, 10 * time.Second: allocator.Claimant,
	} {
		if role := d.Role(false, at); role != want {
			t.Errorf("is %s after %s without an allocator, want %s", role, at, want)
		}
	}
	d.MarkReachable("dead")
	if role := d.Role(false, 11*time.Second); role != allocator.Member {
		t.Errorf("is %s once an allocator has answered", role)
	}
	if !d.MarkFailing("dead", true, 0) || d.MarkFailing("dead", true, time.Second) {
		t.Error("a first miss is news, a second is not")
	}
	if err := d.Observe(allocator.SlotKey("z", 1), []byte{0xff}, 0); err == nil {
		t.Error("an unreadable announcement is taken")
	}
	if err := d.Observe(allocator.SlotKey("other", 0), []byte{0xff}, 0); err != nil {
		t.Errorf("another zone's announcement: %v", err)
	}
	small := allocator.New(allocator.Self{Key: "me", Zone: "z", LinkMbps: 20})
	small.MarkLoaded(0)
	small.SlotToTake(false, 0)
	if _, ok := small.SlotToTake(false, time.Minute); ok {
		t.Error("takes a slot in a small fleet")
	}
}
