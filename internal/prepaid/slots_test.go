package prepaid_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"guavapier/internal/allocator"
	"guavapier/internal/logstore"
	"guavapier/internal/prepaid"
	"guavapier/internal/record"
	"guavapier/internal/standin"
)

// saturableLink is a log behind a link that delays each reply while it is saturated.
type saturableLink struct {
	logstore.KeyedLog
	saturated     atomic.Bool
	announcements atomic.Int64 // Number of writes to the allocators topic.
}

// saturatedDelay is the delay of each reply while the link is saturated.
const saturatedDelay = 400 * time.Millisecond

func (l *saturableLink) delay(ctx context.Context) error {
	if l.saturated.Load() {
		logstore.Pause(ctx, saturatedDelay, nil)
	}
	return ctx.Err()
}

// Newest implements logstore.KeyedLog.
func (l *saturableLink) Newest(ctx context.Context, topic logstore.Topic) (logstore.KeyedPage, error) {
	if err := l.delay(ctx); err != nil {
		return logstore.KeyedPage{}, err
	}
	return l.KeyedLog.Newest(ctx, topic)
}

// Follow implements logstore.KeyedLog.
func (l *saturableLink) Follow(ctx context.Context, topic logstore.Topic, from uint64, wait time.Duration) (logstore.KeyedPage, error) {
	if err := l.delay(ctx); err != nil {
		return logstore.KeyedPage{}, err
	}
	return l.KeyedLog.Follow(ctx, topic, from, wait)
}

// Put implements logstore.KeyedLog.
func (l *saturableLink) Put(ctx context.Context, topic logstore.Topic, w logstore.WriteID, records []logstore.KeyedRecord) error {
	if topic == logstore.TopicAllocators {
		l.announcements.Add(1)
	}
	if err := l.delay(ctx); err != nil {
		return err
	}
	return l.KeyedLog.Put(ctx, topic, w, records)
}

// An instance with a saturated link may take a slot from an allocator that only this instance
// cannot reach, and callers of the zone are refused for lack of tokens. Here all allocators have
// ended: the instance must not take a slot while its link is saturated, and must do so after.
func TestAnInstanceWithAFullLinkLeavesTheSlotsToOthers(t *testing.T) {
	log := standin.NewKeyed()
	var links []*saturableLink
	var controllers []*prepaid.Controller
	var stops []func()
	const instances = 8
	for i := range instances {
		link := &saturableLink{KeyedLog: log}
		key := record.InstanceID(fmt.Sprint("k", i))
		c, stop := runControllerOnHost(t, link, key, string(key), 100_000, allocatorPolicy())
		links, controllers, stops = append(links, link), append(controllers, c), append(stops, stop)
	}
	_, members := awaitRoles(t, controllers)
	// Excludes instances that lost a slot, which take none for replacedCooldown.
	i := slices.IndexFunc(members, func(i int) bool { return links[i].announcements.Load() == 0 })
	if i < 0 {
		t.Fatal("every member has written an announcement")
	}
	member := members[i]
	link, c := links[member], controllers[member]
	link.saturated.Store(true)
	before := link.announcements.Load()
	for i, stop := range stops {
		if i != member {
			stop()
		}
	}
	waitFor(t, "the member becomes a claimant", func() bool { return c.Accounts.Role() == allocator.Claimant })
	if c.Accounts.Role() == allocator.Allocator || link.announcements.Load() != before {
		t.Errorf("role %s, %d announcements with a saturated link; want neither", c.Accounts.Role(), link.announcements.Load()-before)
	}
	link.saturated.Store(false)
	waitFor(t, "an allocator once the link is no longer saturated", func() bool { return c.Accounts.Role() == allocator.Allocator })
}
