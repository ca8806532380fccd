// Package allocator assigns each instance of an availability zone its role in
// claiming prepaid tokens: allocator, member or claimant.
//
// In a large fleet each instance receives only a small part of an organisation's
// requests. If every instance claimed tokens of every budget, each would have to
// read the claims of all others, and tokens would be split into amounts smaller
// than a request. Therefore each zone has a few allocators, which claim tokens for
// the whole zone, and members, which withdraw tokens from them.
//
// An allocator publishes an announcement on the log under its zone and slot; the
// newest announcement of a slot is the valid one. Correctness does not depend on
// how many instances act for a slot: one that reaches no allocator claims for itself.
//
// Directory performs no I/O and reads no clock; callers pass the time.
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

// SlotsPerZone is the number of allocators in a zone. With more than one, members
// can use another while one is being replaced.
const SlotsPerZone = 2

// Role is what an instance does in its zone.
type Role uint8

// Roles of an instance in its zone.
const (
	// Claimant claims tokens for itself only: in a small fleet, or while it reaches
	// no allocator.
	Claimant Role = iota
	// Member withdraws tokens from the allocators of its zone.
	Member
	// Allocator claims tokens for all members of its zone.
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
	// unreachableTimeout is how long calls to an allocator must fail before its
	// slot may be taken over. Most stalls of a loaded instance are shorter.
	unreachableTimeout = 2 * time.Second
	// claimFallbackDelay is how long an instance without a usable allocator waits
	// before it claims for itself. Refilling a slot takes less.
	claimFallbackDelay = 4 * time.Second
	// replacedCooldown is how long an instance whose announcement was replaced takes
	// no slot: the other instances of the zone may not be able to reach it.
	replacedCooldown = 30 * time.Second
	// announcementTimeout is how long the instance waits to read its own
	// announcement back from the log before it may take a slot again.
	announcementTimeout = time.Second
	// takeoverDelayAt1Mbps is the minimum time that an instance with a link of
	// 1 Mbit/s waits before it takes a vacant slot. The delay is inversely
	// proportional to the link speed, since allocators carry the most traffic. A
	// random part of up to the same length keeps instances from acting at once.
	takeoverDelayAt1Mbps = 20 * time.Second
	// defaultLinkMbps is the link speed assumed where none is configured, in Mbit/s.
	defaultLinkMbps = 100
)

// Announcement is the record that an allocator publishes under its slot.
type Announcement struct {
	Key record.InstanceID `cbor:"1,keyasint"`
	// Peer is the address (IP:port) at which other instances reach it.
	Peer string `cbor:"2,keyasint"`
}

// Self describes the instance that owns a Directory.
type Self struct {
	Key  record.InstanceID
	Peer string
	Zone string
	// LinkMbps is the speed of its network link in Mbit/s; 0 if unknown.
	LinkMbps float64
}

// slot is the state of one allocator slot of the instance's zone. A holder that has not been
// called since its announcement is neither reachable nor failing.
type slot struct {
	Announcement
	reachable    bool          // The last call from this process was answered.
	failingSince time.Duration // Time of the first failed call after the last answer.
	failing      bool          // The last call from this process failed.
	retired      bool          // The process at its address is another one or no longer an allocator.
	vacantSince  time.Duration // Time at which the slot was first seen vacant.
	vacant       bool
}

func (s *slot) isOccupied() bool { return s.Key != "" }

// Directory tracks the allocator slots of the instance's zone and decides the instance's
// role. It is safe for concurrent use. All times are measured from one arbitrary origin.
type Directory struct {
	mu              sync.Mutex
	self            Self
	takeoverDelay   time.Duration // How long a slot must be vacant before this instance takes it.
	slots           [SlotsPerZone]slot
	ownSlot         int           // Slot held by this instance; -1 if none.
	noTakeoverUntil time.Duration // This instance takes no slot before this time.
	loaded          bool          // The announcements have been read from the log.
	// noneUsableSince is the time since which no allocator has been reachable.
	noneUsableSince time.Duration
}

// New returns a Directory without announcements, with a random takeover delay.
func New(self Self) *Directory {
	link := self.LinkMbps
	if link <= 0 {
		link = defaultLinkMbps
	}
	takeoverDelay := time.Duration(float64(takeoverDelayAt1Mbps) / max(1, link))
	return &Directory{self: self, takeoverDelay: takeoverDelay + rand.N(takeoverDelay+1), ownSlot: -1}
}

// SlotKey returns the log key of a zone's slot.
func SlotKey(zone string, slot int) string { return fmt.Sprintf("%s/%d", zone, slot) }

// EncodeAnnouncement returns this instance's announcement in CBOR.
func (d *Directory) EncodeAnnouncement() ([]byte, error) {
	value, err := cbor.Marshal(Announcement{Key: d.self.Key, Peer: d.self.Peer})
	return value, eris.Wrap(err, "allocator: encode announcement")
}

// Observe applies a record of the allocators topic; keys of other zones are ignored. It
// returns an error if the value is not a valid announcement.
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

// setSlot records the holder of a slot. If this instance held the slot and another one
// replaces it, the instance takes no slot for replacedCooldown.
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

// MarkLoaded records that the announcements have been read from the log.
func (d *Directory) MarkLoaded(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded {
		d.loaded, d.noneUsableSince = true, now
	}
}

// MarkReachable records that an allocator answered a call.
func (d *Directory) MarkReachable(key record.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.findSlot(key); s != nil {
		s.reachable, s.failing, s.retired, s.vacant = true, false, false, false
	}
}

// MarkFailing records that a call to an allocator failed. retired states that the
// called process is another one or no longer an allocator. MarkFailing reports whether
// this is the first failure since the last answer.
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

// findSlot returns the slot held by an instance, or nil.
func (d *Directory) findSlot(key record.InstanceID) *slot {
	for i := range d.slots {
		if d.slots[i].Key == key {
			return &d.slots[i]
		}
	}
	return nil
}

// Role returns the instance's current role. useAllocators states that the fleet is large
// enough for allocators; an existing announcement implies it.
//
// An instance without a usable allocator stays a member for claimFallbackDelay, until
// another instance of its zone has taken the slot. After a loss of all instances,
// reading the log at all of them at once would block it for seconds.
func (d *Directory) Role(useAllocators bool, now time.Duration) Role {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.listReachable()) > 0 {
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

// HasAllocators reports whether an allocator of the zone, dead or alive, is announced.
func (d *Directory) HasAllocators() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasAllocators()
}

func (d *Directory) hasAllocators() bool {
	return len(d.listOthers(func(*slot) bool { return true })) > 0 || d.ownSlot >= 0
}

// IsLoaded reports whether the announcements have been read from the log.
func (d *Directory) IsLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

// ListReachable returns the allocators that tokens can be withdrawn from: those that
// answered their last call, this instance's preferred one first.
func (d *Directory) ListReachable() []Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listReachable()
}

func (d *Directory) listReachable() []Announcement {
	return d.listOthers(func(s *slot) bool { return s.reachable })
}

// ListAnnounced returns all announced allocators except this instance.
func (d *Directory) ListAnnounced() []Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listOthers(func(*slot) bool { return true })
}

// ListUnreachable returns the allocators whose last call failed or that have not been
// called. An announcement outlives its process, so an allocator counts as reachable only
// after an answer.
func (d *Directory) ListUnreachable() []Announcement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listOthers(func(s *slot) bool { return !s.reachable })
}

// listOthers returns the announcements of the occupied slots for which include returns
// true, except this instance's own. The list begins at the slot that a hash of the
// instance's key selects, which spreads the members of a zone over its allocators.
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

// SlotToTake returns the slot that this instance should take now; ok is false if there is
// none. Takeover delays differ between instances, so usually only one takes the slot.
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

// IsSlotFree reports whether a slot has no working allocator and may be taken.
func (d *Directory) IsSlotFree(slot int, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.slots[slot].isFree(now)
}

func (s *slot) isFree(now time.Duration) bool {
	return !s.isOccupied() || s.retired || s.failing && now-s.failingSince >= unreachableTimeout
}
