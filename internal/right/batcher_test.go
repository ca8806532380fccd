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

// gate is a caller that hands its calls to a witness service once it is open.
type gate struct {
	service *right.Service[int]
	open    chan struct{}

	mu    sync.Mutex
	sizes []int // Batches of each call.
	cut   bool
}

func (g *gate) Call(_ context.Context, _ record.InstanceID, _ string, args, reply any) error {
	a := args.(right.AcknowledgeArgs[int])
	g.mu.Lock()
	g.sizes = append(g.sizes, len(a.Batches))
	cut := g.cut
	g.mu.Unlock()
	<-g.open
	if cut {
		return peer.ErrUnreachable
	}
	return g.service.Acknowledge(a, reply.(*right.AcknowledgeReply))
}

// anyRight calls every right valid.
type anyRight struct{}

func (anyRight) Validate(context.Context, right.Terms) error { return nil }

func heldOver(g *gate, n int) []*right.Held[int] {
	batcher := right.NewBatcher[int](g, right.BatcherOptions{Service: "Grants", Deadline: time.Second, Attempts: 2})
	var out []*right.Held[int]
	for i := range n {
		t := terms
		t.Right = record.RightID(fmt.Sprint("r", i))
		out = append(out, right.NewHeld(t, batcher))
	}
	return out
}

// TestUsesOfManyRightsShareCalls: while one call is under way, the uses of all
// other rights with that witness wait for one further call.
func TestUsesOfManyRightsShareCalls(t *testing.T) {
	g := &gate{service: right.NewService[int]("w", anyRight{}, time.Second), open: make(chan struct{})}
	held := heldOver(g, 8)
	results := make(chan error, len(held))
	use := func(h *right.Held[int]) {
		go func() { results <- h.Use(context.Background(), right.Use[int]{ID: "u"}) }()
	}
	use(held[0])
	g.await(1)
	for _, h := range held[1:] {
		h.Change(right.Use[int]{ID: "queued"})
		h.Flush()
		use(h)
	}
	close(g.open)
	for range held {
		if err := <-results; err != nil {
			t.Fatal(err)
		}
	}
	if g.sizes[0] != 1 || g.sizes[1] != len(held)-1 {
		t.Fatalf("calls with %v batches", g.sizes)
	}
}

// await waits until so many calls have begun.
func (g *gate) await(calls int) {
	for {
		g.mu.Lock()
		begun := len(g.sizes)
		g.mu.Unlock()
		if begun >= calls {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestLostAcknowledgementEndsTheRight: a use whose answer is lost does not
// count, and neither does any later one.
func TestLostAcknowledgementEndsTheRight(t *testing.T) {
	g := &gate{service: right.NewService[int]("w", anyRight{}, time.Second), open: make(chan struct{}), cut: true}
	close(g.open)
	h := heldOver(g, 1)[0]
	for range 2 {
		if err := h.Use(context.Background(), right.Use[int]{ID: "u"}); !errors.Is(err, right.ErrLost) {
			t.Fatalf("use: %v", err)
		}
	}
	if len(g.sizes) != 2 { // Two attempts of the first use, none of the second.
		t.Fatalf("%d calls", len(g.sizes))
	}
}

// TestAbandonedUseIsDropped: a caller that gives up leaves nothing behind at
// the witness.
func TestAbandonedUseIsDropped(t *testing.T) {
	g := &gate{service: right.NewService[int]("w", anyRight{}, time.Second), open: make(chan struct{})}
	h := heldOver(g, 1)[0]
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := h.Use(ctx, right.Use[int]{ID: "given up"}); !errors.Is(err, context.Canceled) {
		t.Fatalf("use: %v", err)
	}
	close(g.open)
	if err := h.Use(context.Background(), right.Use[int]{ID: "kept"}); err != nil {
		t.Fatal(err)
	}
	uses, err := g.service.SealLocal(h.Terms())
	if err != nil || len(uses) != 1 || uses[0].ID != "kept" {
		t.Fatalf("sealed uses %v, %v", uses, err)
	}
}
