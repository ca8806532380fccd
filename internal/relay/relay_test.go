package relay_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"guavapier/internal/logstore"
	"guavapier/internal/peer"
	"guavapier/internal/record"
	"guavapier/internal/relay"
)

// memoryLog is the platform's log in memory, with one stream. Reads fail for the
// instances in unreachable; appends never fail.
type memoryLog struct {
	entries     []logstore.Entry
	unreachable map[record.InstanceID]bool
}

// instanceLog is the platform's log as one instance sees it.
type instanceLog struct {
	shared *memoryLog
	id     record.InstanceID
}

func (v instanceLog) Append(_ context.Context, _ record.Stream, data []byte) (uint64, error) {
	offset := uint64(len(v.shared.entries))
	v.shared.entries = append(v.shared.entries, logstore.Entry{Offset: offset, Data: data})
	return offset, nil
}

func (v instanceLog) Read(_ context.Context, _ record.Stream, from uint64, _ time.Duration) (logstore.Page, error) {
	if v.shared.unreachable[v.id] {
		return logstore.Page{}, logstore.ErrUnavailable
	}
	from = min(from, uint64(len(v.shared.entries)))
	page := slices.Clone(v.shared.entries[from:])
	return logstore.Page{Entries: page, Next: from + uint64(len(page))}, nil
}

// directPeers is relay.Peers and peer.Caller without a network: it calls the
// services in this process. The instance "gone" is listed but unreachable.
type directPeers map[record.InstanceID]*relay.Service

func (l directPeers) Call(_ context.Context, to record.InstanceID, _ string, args, reply any) error {
	s, ok := l[to]
	if !ok {
		return peer.ErrUnreachable
	}
	return s.Read(args.(relay.ReadArgs), reply.(*relay.ReadReply))
}

func (l directPeers) Live() []logstore.Instance {
	return []logstore.Instance{{ID: "a"}, {ID: "b"}, {ID: "gone"}}
}

// newFleet returns instances a and b over one platform log that a cannot read.
func newFleet() (*memoryLog, directPeers, map[record.InstanceID]*relay.Log) {
	m := &memoryLog{unreachable: map[record.InstanceID]bool{"a": true}}
	l := directPeers{}
	logs := map[record.InstanceID]*relay.Log{}
	for _, id := range []record.InstanceID{"a", "b"} {
		logs[id] = relay.New(instanceLog{m, id}, id, l, l)
		l[id] = relay.NewService(logs[id])
	}
	return m, l, logs
}

// readEntries reads from an offset until it has want entries. It fails the test
// after 20 reads, so that a log that returns nothing does not hang it.
func readEntries(t *testing.T, log *relay.Log, from, want int) []logstore.Entry {
	t.Helper()
	var got []logstore.Entry
	for range 20 {
		page, err := log.Read(context.Background(), "config", uint64(from+len(got)), time.Second)
		if err != nil && !errors.Is(err, logstore.ErrUnavailable) {
			t.Fatal(err)
		}
		got = append(got, page.Entries...)
		if len(got) >= want {
			return got
		}
	}
	t.Fatalf("read %d of %d entries in 20 reads", len(got), want)
	return nil
}

// appendEntries appends n entries, each with its number as data.
func appendEntries(t *testing.T, log *relay.Log, n int) {
	t.Helper()
	for i := range n {
		if _, err := log.Append(context.Background(), "config", []byte{byte(i), byte(i >> 8)}); err != nil {
			t.Fatal(err)
		}
	}
}

// An instance that cannot reach the platform reads every entry once and in order
// through its peer. The first 600 exceed the peer's cache, so the peer has to
// read the older ones from the platform.
func TestReadsFallBackToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _, logs := newFleet()
		appendEntries(t, logs["b"], 600)
		readEntries(t, logs["b"], 0, 600)
		appendEntries(t, logs["b"], 3)
		readEntries(t, logs["b"], 600, 3)
		for n, e := range readEntries(t, logs["a"], 0, 603) {
			if e.Offset != uint64(n) || !slices.Equal(e.Data, m.entries[n].Data) {
				t.Fatalf("entry %d: got offset %d, or data that differs from the platform's", n, e.Offset)
			}
		}
	})
}

// Once the platform is reachable again, reads use it: the only peer has been
// removed by then.
func TestReadsGoBackToThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, l, logs := newFleet()
		appendEntries(t, logs["b"], 5)
		readEntries(t, logs["b"], 0, 5)
		readEntries(t, logs["a"], 0, 5)
		delete(l, "b")
		appendEntries(t, logs["b"], 5)
		m.unreachable["a"] = false
		readEntries(t, logs["a"], 5, 5)
	})
}
