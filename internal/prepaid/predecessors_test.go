package prepaid_test

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"guavapier/internal/logstore"
	"guavapier/internal/prepaid"
	"guavapier/internal/record"
	"guavapier/internal/standin"
)

// cuttableLog is a log that one instance can be cut off from.
type cuttableLog struct {
	logstore.KeyedLog
	cutOff atomic.Bool
}

// Follow implements logstore.KeyedLog.
func (l *cuttableLog) Follow(ctx context.Context, topic logstore.Topic, from uint64, wait time.Duration) (logstore.KeyedPage, error) {
	page, err := l.KeyedLog.Follow(ctx, topic, from, wait)
	if l.cutOff.Load() {
		return logstore.KeyedPage{}, logstore.ErrUnavailable
	}
	return page, err
}

// Newest implements logstore.KeyedLog.
func (l *cuttableLog) Newest(ctx context.Context, topic logstore.Topic) (logstore.KeyedPage, error) {
	if l.cutOff.Load() {
		return logstore.KeyedPage{}, logstore.ErrUnavailable
	}
	return l.KeyedLog.Newest(ctx, topic)
}

// Guards against overspending through an outdated predecessor record: an allocator is cut off
// from the log, an instance publishes higher bounds and restarts, and its successor asks that
// allocator for its last record and reclaims what the outdated one shows as unused. An allocator
// may therefore only answer from a read of the log that started after the request.
func TestAnAllocatorCutFromTheLogNamesNoPredecessors(t *testing.T) {
	const instances = 5
	log := standin.NewKeyed()
	var links []*cuttableLog
	var controllers []*prepaid.Controller
	for i := range instances {
		link := &cuttableLog{KeyedLog: log}
		key := record.InstanceID(fmt.Sprint("k", i))
		c, _ := runControllerOnHost(t, link, key, string(key), 1_000_000, allocatorPolicy())
		links, controllers = append(links, link), append(controllers, c)
	}
	allocators, _ := awaitSettledRoles(t, controllers)
	queried, other := allocators[0], allocators[1]
	args := prepaid.PredecessorsArgs{Node: fmt.Sprint("k", other), Started: time.Now().Add(time.Hour).UnixMilli()}
	transfers := prepaid.NewTransfers(controllers[queried])
	checkNewest := func() {
		t.Helper()
		var reply prepaid.PredecessorsReply
		before := newestSequence(t, log, fmt.Sprint("k", other))
		if err := transfers.Predecessors(args, &reply); err != nil || len(reply.Statements) != 1 {
			t.Fatalf("%d records, error %v; want one record", len(reply.Statements), err)
		}
		if got := reply.Statements[0].Statement.Sequence; got < before {
			t.Errorf("record %d returned, the log had %d before", got, before)
		}
	}
	sendAtInterval(t, controllers[other], 300, time.Second)
	checkNewest()
	links[queried].cutOff.Store(true)
	sendAtInterval(t, controllers[other], 300, time.Second)
	var reply prepaid.PredecessorsReply
	if err := transfers.Predecessors(args, &reply); err == nil {
		t.Errorf("returned %+v while cut off from the log, want an error", reply.Statements)
	}
	links[queried].cutOff.Store(false)
	waitFor(t, "the log read again", func() bool { return transfers.Predecessors(args, &reply) == nil })
	checkNewest()
}

// quietLog is a log to which nothing more is written once it is quiet: reads last their
// whole wait and return nothing new.
type quietLog struct {
	logstore.KeyedLog
	quiet atomic.Bool
}

// Follow implements logstore.KeyedLog.
func (l *quietLog) Follow(ctx context.Context, topic logstore.Topic, from uint64, wait time.Duration) (logstore.KeyedPage, error) {
	if !l.quiet.Load() {
		return l.KeyedLog.Follow(ctx, topic, from, wait)
	}
	logstore.Pause(ctx, wait, nil)
	return logstore.KeyedPage{Next: from, End: from}, nil
}

// Guards against an allocator that never answers while nothing is written to the log: a read
// is in progress when the question comes, and the next one lasts its whole wait as well.
func TestAnAllocatorNamesPredecessorsWhileTheLogIsQuiet(t *testing.T) {
	log := &quietLog{KeyedLog: standin.NewKeyed()}
	var controllers []*prepaid.Controller
	for i := range 5 {
		key := record.InstanceID(fmt.Sprint("k", i))
		c, _ := runControllerOnHost(t, log, key, string(key), 1_000_000, allocatorPolicy())
		controllers = append(controllers, c)
	}
	allocators, _ := awaitSettledRoles(t, controllers)
	sendAtInterval(t, controllers[allocators[1]], 300, time.Second)
	log.quiet.Store(true)
	time.Sleep(1500 * time.Millisecond) // Until the reads that were in progress have ended.
	args := prepaid.PredecessorsArgs{Node: fmt.Sprint("k", allocators[1]), Started: time.Now().Add(time.Hour).UnixMilli()}
	var reply prepaid.PredecessorsReply
	if err := prepaid.NewTransfers(controllers[allocators[0]]).Predecessors(args, &reply); err != nil {
		t.Errorf("error %v on a quiet log, want the records", err)
	}
}

// A member doesn't read the log. It has to say so at once, so that the caller asks another
// instance.
func TestAMemberNamesNoPredecessors(t *testing.T) {
	controllers, _ := runZone(t, standin.NewKeyed(), 5)
	_, members := awaitSettledRoles(t, controllers)
	start := time.Now()
	var reply prepaid.PredecessorsReply
	err := prepaid.NewTransfers(controllers[members[0]]).Predecessors(prepaid.PredecessorsArgs{Node: "k", Started: math.MaxInt64}, &reply)
	if took := time.Since(start); err == nil || took > 500*time.Millisecond {
		t.Errorf("error %v after %s, want one at once", err, took)
	}
}

// newestSequence returns the sequence number of a process's newest record on the log.
func newestSequence(t *testing.T, log *standin.Keyed, key string) uint64 {
	t.Helper()
	page, err := log.Newest(t.Context(), logstore.TopicBudgets)
	if err != nil {
		t.Fatal(err)
	}
	newest := uint64(0)
	for _, r := range page.Records {
		var s prepaid.ClaimRecord
		if err := cbor.Unmarshal(r.Value, &s); err != nil {
			t.Fatal(err)
		}
		if r.Key == key {
			newest = s.Sequence
		}
	}
	return newest
}

// sendAtInterval sends requests every 20 ms and returns how many obtained their tokens and how
// many were sent.
func sendAtInterval(t *testing.T, c *prepaid.Controller, size int64, duration time.Duration) (served, sent int) {
	t.Helper()
	const every = 20 * time.Millisecond
	var granted atomic.Int64
	var requests sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(every) {
		sent++
		requests.Go(func() {
			if r, err := c.Reserve(t.Context(), team, size); err == nil {
				granted.Add(1)
				r.Settle(size)
			}
		})
	}
	requests.Wait()
	return int(granted.Load()), sent
}
