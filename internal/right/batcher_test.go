package right_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"guavapier/internal/peer"
	"guavapier/internal/record"
	"guavapier/internal/right"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// gatedCaller is a peer.Caller that blocks its calls until release is closed,
// and then passes them to a witness service.
type gatedCaller struct {
	service *right.Service[int]
	release chan struct{}

	mu          sync.Mutex
	batchCounts []int // Number of batches in each call.
	unreachable bool  // Calls fail once they are released.
}

func (g *gatedCaller) Call(_ context.Context, _ record.InstanceID, _ string, args, reply any) error {
	a := args.(right.AcknowledgeArgs[int])
	g.mu.Lock()
	g.batchCounts = append(g.batchCounts, len(a.Batches))
	unreachable := g.unreachable
	g.mu.Unlock()
	<-g.release
	if unreachable {
		return peer.ErrUnreachable
	}
	return g.service.Acknowledge(a, reply.(*right.AcknowledgeReply))
}

// acceptAll is a right.Validator that accepts every right.
type acceptAll struct{}

func (acceptAll) Validate(context.Context, right.Terms) error { return nil }

// newHeldRights returns n rights with one witness, whose batches share a
// Batcher.
func newHeldRights(g *gatedCaller, n int) []*right.HeldRight[int] {
	batcher := right.NewBatcher[int](g, right.BatcherOptions{WitnessService: "Grants", CallTimeout: time.Second, MaxAttempts: 2})
	var out []*right.HeldRight[int]
	for i := range n {
		t := terms
		t.Right = record.RightID(fmt.Sprint("r", i))
		out = append(out, right.NewHeldRight(t, batcher))
	}
	return out
}

// TestUsesOfManyRightsShareCalls guards against one call per right: while a
// call is in flight, the uses of all other rights with that witness must wait
// and share the next call.
func TestUsesOfManyRightsShareCalls(t *testing.T) {
	g := &gatedCaller{service: right.NewService[int]("w", acceptAll{}, time.Second), release: make(chan struct{})}
	held := newHeldRights(g, 8)
	results := make(chan error, len(held))
	use := func(h *right.HeldRight[int]) {
		go func() { results <- h.Use(context.Background(), right.Use[int]{ID: "u"}) }()
	}
	use(held[0])
	g.awaitCalls(1)
	for _, h := range held[1:] {
		h.Update(right.Use[int]{ID: "queued"})
		h.Flush()
		use(h)
	}
	close(g.release)
	for range held {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
	if g.batchCounts[0] != 1 || g.batchCounts[1] != len(held)-1 {
		t.Fatalf("batches per call: %v, want 1 in the first and all others in the second", g.batchCounts)
	}
}

// awaitCalls waits until the given number of calls have started.
func (g *gatedCaller) awaitCalls(calls int) {
	for {
		g.mu.Lock()
		begun := len(g.batchCounts)
		g.mu.Unlock()
		if begun >= calls {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestLostAcknowledgementEndsTheRight checks that a use whose acknowledgement
// is lost isn't confirmed, and that the holder sends no later use: the witness
// may have sealed the right meanwhile.
func TestLostAcknowledgementEndsTheRight(t *testing.T) {
	g := &gatedCaller{service: right.NewService[int]("w", acceptAll{}, time.Second), release: make(chan struct{}), unreachable: true}
	close(g.release)
	h := newHeldRights(g, 1)[0]
	for range 2 {
		if err := h.Use(context.Background(), right.Use[int]{ID: "u"}); !errors.Is(err, right.ErrLost) {
			t.Fatalf("unexpected result of the use: %v", err)
		}
	}
	if len(g.batchCounts) != 2 { // Two attempts for the first use, none for the second.
		t.Fatalf("%d calls, want 2", len(g.batchCounts))
	}
}

// TestAbandonedUseIsDropped guards against uses left at the witness by callers
// that gave up, which a close would bill.
func TestAbandonedUseIsDropped(t *testing.T) {
	g := &gatedCaller{service: right.NewService[int]("w", acceptAll{}, time.Second), release: make(chan struct{})}
	h := newHeldRights(g, 1)[0]
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := h.Use(ctx, right.Use[int]{ID: "given up"}); !errors.Is(err, context.Canceled) {
		t.Fatalf("unexpected result of the use: %v", err)
	}
	close(g.release)
	if err := h.Use(context.Background(), right.Use[int]{ID: "kept"}); err != nil {
		t.Fatal(err)
	}
	uses, err := g.service.SealLocal(h.Terms())
	if err != nil || len(uses) != 1 || uses[0].ID != "kept" {
		t.Fatalf("sealed uses %v, error %v; want only the use that was kept", uses, err)
	}
}
