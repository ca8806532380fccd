// Package allocator decides which instances of an availability zone claim prepaid
// tokens from the log for the others, and what part an instance has in that.
//
// In a large fleet every instance sees a small part of each organisation's
// requests. Claims of all instances on all budgets would have to be read by all,
// and tokens would lie in amounts smaller than a request. So in each zone a few
// instances, the allocators, claim for the whole zone, and the others, the members,
// draw from them.
//
// An allocator announces itself on the log under its zone and slot; the newest
// announcement counts. Nothing that must hold rests on there being one allocator
// in a slot, or any: an instance that reaches none claims for itself.
//
// Directory does no input or output and has no clock.
package allocator

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// SlotsPerZone is how many allocators a zone has: members go on at another one while one
// is replaced.
const SlotsPerZone = 2

// Role is an instance's part in its zone.
type Role uint8

// The roles.
const (
	// Claimant claims for itself: in a small fleet, or where no allocator is reached.
	Claimant Role = iota
	// Member draws from the zone's allocators.
	Member
	// Allocator claims for the zone.
	Allocator
)

// String implements fmt.Stringer.
func (r Role) String() string {
	switch r {
	case Member:
		return "member"
	case Allocator:
		return "allocator"
	default:
		return "claimant"
	}
}

const (
	// unreachableTimeout is how long an allocator may not be reached before its slot is
	// taken over: longer than most stalls of a loaded instance.
	unreachableTimeout = 2 * time.Second
	// claimFallbackDelay is how long an instance without a usable allocator waits before it
	// claims for itself: longer than a slot takes to be filled again.
	claimFallbackDelay = 4 * time.Second
	// replacedCooldown is how long an instance whose announcement was replaced leaves the
	// slots to others: it may be one that the zone does not reach.
	replacedCooldown = 30 * time.Second
	// announcementTimeout is how long an own announcement may take to be heard back.
	announcementTimeout = time.Second
	// takeoverDelayAt1Mbps is how long an instance with a link of 1 Mbit/s waits before it
	// takes a vacant slot, and ever shorter with a faster one: allocators have the
	// most to carry. It waits up to as long again, so that not all take it at once.
	takeoverDelayAt1Mbps = 20 * time.Second
	// defaultLinkMbps is the speed where none is set, in Mbit/s.
	defaultLinkMbps = 100
)

// Announcement is an allocator's record on the log.
type Announcement struct {
	Key record.InstanceID `cbor:"1,keyasint"`
	// Peer is where other instances reach it (IP:port).
	Peer string `cbor:"2,keyasint"`
}

// Self is the instance that a Directory is for.
type Self struct {
	Key  record.InstanceID
	Peer string
	Zone string
	// LinkMbps is the speed of its link; 0 for unknown.
	LinkMbps float64
}

// slot is one place for an allocator in the own zone.
type slot struct {
	Announcement
	reachable    bool          // By this process, at its last call.
	failingSince time.Duration // Since when it has not been reached.
	failing      bool
	retired      bool // Another process answers at its address, or it is none any more.
	vacantSince  time.Duration
	vacant       bool
}

func (s *slot) isOccupied() bool { return s.Key != "" }

// Directory knows the allocators of the own zone. It is safe for concurrent use.
// Times are since any one origin.
type Directory struct {
	mu              sync.Mutex
	self            Self
	takeoverDelay   time.Duration // Before it takes a vacant slot.
	slots           [SlotsPerZone]slot
	ownSlot         int // The slot that it holds; -1 for none.
	noTakeoverUntil time.Duration
	loaded          bool
	// noneUsableSince is since when no allocator is usable.
	noneUsableSince time.Duration
}

// New returns an empty Directory.
func New(self Self) *Directory {
	link := self.LinkMbps
	if link <= 0 {
		link = defaultLinkMbps
	}
	takeoverDelay := time.Duration(float64(takeoverDelayAt1Mbps) / max(1, link))
	return &Directory{self: self, takeoverDelay: takeoverDelay + rand.N(takeoverDelay+1), ownSlot: -1}
}

// SlotKey is the key of a zone's slot on the log.
func SlotKey(zone string, slot int) string { return fmt.Sprintf("%s/%d", zone, slot) }

// EncodeAnnouncement returns the instance's announcement.
func (d *Directory) EncodeAnnouncement() ([]byte, error) {
	value, err := cbor.Marshal(Announcement{Key: d.self.Key, Peer: d.self.Peer})
	return value, eris.Wrap(err, "allocator: encode announcement")
}

// Observe takes a record of the log.
func (d *Directory) Observe(key string, value []byte, now time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.slots {
		if key != SlotKey(d.self.Zone, i) {
			continue
		}
		var announcement Announcement
		if err := cbor.Unmarshal(value, &announcement); err != nil {
			return eris.Wrapf(err, "allocator: decode announcement of %q", key)
		}
		d.setSlot(i, announcement, now)
	}
	return nil
}

func (d *Directory) setSlot(index int, announcement Announcement, now time.Duration) {
	if d.slots[index].Announcement == announcement {
		return
	}
	switch {
	case announcement.Key == d.self.Key:
		d.ownSlot = index
	case d.ownSlot == index:
		d.ownSlot, d.noTakeoverUntil = -1, now+replacedCooldown
	}
	d.slots[index] = slot{Announcement: announcement}
}

// MarkLoaded tells that the announcements have been read.
func (d *Directory) MarkLoaded(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded {
		d.loaded, d.noneUsableSince = true, now
	}
}

// MarkReachable tells that an allocator has answered.
func (d *Directory) MarkReachable(key record.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.findSlot(key); s != nil {
		s.reachable, s.failing, s.retired, s.vacant = true, false, false, false
	}
}

// MarkFailing tells that an allocator did not answer; gone says that it is none any more.
// It returns whether that is news.
func (d *Directory) MarkFailing(key record.InstanceID, retired bool, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.findSlot(key)
	if s == nil {
		return false
	}
	firstFailure := !s.failing
	if firstFailure {
		s.reachable, s.failing, s.failingSince = false, true, now
	}
	s.retired = s.retired || retired
	return firstFailure
}

func (d *Directory) findSlot(key record.InstanceID) *slot {
	for i := range d.slots {
		if d.slots[i].Key == key {
			return &d.slots[i]
		}
	}
	return nil
}

// Role returns the instance's part now. pooled says that the fleet is large enough
// for allocators; where some have been announced it is.
//
// Without a usable allocator a member waits until one of its zone has taken the slot:
// instances that all read the log at once, after a loss of all, would keep it from
// everybody for seconds.
func (d *Directory) Role(useAllocators bool, now time.Duration) Role {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.usable()) > 0 {
		d.noneUsableSince = now
	}
	switch {
	case d.ownSlot >= 0:
		return Allocator
	case (useAllocators || d.hasAllocators()) && now-d.noneUsableSince < claimFallbackDelay:
		return Member
	default:
		return Claimant
	}
}

// HasAllocators says whether the zone has or had allocators.
func (d *Directory) HasAllocators() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasAllocators()
}

func (d *Directory) hasAllocators() bool {
	return len(d.listOthers(func(*slot) bool { return true })) > 0 || d.ownSlot >= 0
}

// IsLoaded says whether the announcements have been read.
func (d *Directory) IsLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// Usable lists the allocators to draw from, the instance's usual one first.
func (d *Directory) Usable() []Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.usable()
}

func (d *Directory) usable() []Announcement {
	return d.listOthers(func(s *slot) bool { return s.reachable })
}

// Announced lists all allocators but the instance itself.
func (d *Directory) Announced() []Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listOthers(func(*slot) bool { return true })
}

// NotReachable lists the allocators whose last call failed or that have not been called.
// Announcements outlive their processes, so that only an answer makes one usable.
func (d *Directory) NotReachable() []Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listOthers(func(s *slot) bool { return !s.reachable })
}

// listOthers returns the others in the slots that are chosen, the instance's usual one first.
func (d *Directory) listOthers(include func(*slot) bool) []Announcement {
	var list []Announcement
	preferred := int(xxhash.Sum64String(string(d.self.Key)) % SlotsPerZone)
	for i := range d.slots {
		s := &d.slots[(preferred+i)%SlotsPerZone]
		if s.isOccupied() && s.Key != d.self.Key && include(s) {
			list = append(list, s.Announcement)
		}
	}
	return list
}

// SlotToTake returns the slot that the instance is to take now, if any. The instances
// of a zone wait for different times, so that mostly one takes it.
func (d *Directory) SlotToTake(useAllocators bool, now time.Duration) (slot int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !useAllocators && !d.hasAllocators() || !d.loaded || d.ownSlot >= 0 || now < d.noTakeoverUntil {
		return 0, false
	}
	for i := range d.slots {
		s := &d.slots[i]
		if !s.isFree(now) {
			s.vacant = false
			continue
		}
		if !s.vacant {
			s.vacant, s.vacantSince = true, now
		}
		if now-s.vacantSince >= d.takeoverDelay {
			d.noTakeoverUntil = now + announcementTimeout
			return i, true
		}
	}
	return 0, false
}

// IsSlotFree says whether a slot may be taken.
func (d *Directory) IsSlotFree(slot int, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slots[slot].isFree(now)
}

func (s *slot) isFree(now time.Duration) bool {
	return !s.isOccupied() || s.retired || s.failing && now-s.failingSince >= unreachableTimeout
}
