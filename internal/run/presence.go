package run

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/endpoint"
	"guavapier/internal/record"
)

// The causes that end a run's work early.
var (
	errLeft = eris.New("run: the caller left")
	errLate = eris.New("run: no token within the caller's wait")
)

// presence ties a run's work to its caller. The work ends at once when the
// caller of a request without an Idempotency-Key leaves, since no retry can
// name the run. With a key it lingers, so that the retry finds the run.
type presence struct {
	// work is the context of the run's work.
	work   context.Context
	cancel context.CancelCauseFunc
	sink   Sink
	late   *time.Timer
	leave  func() // Marks the caller as gone.
	gone   bool
}

// attend begins a run's work for a caller.
func (r *Runner) attend(ctx context.Context, q Request, sink Sink) *presence {
	here, leave := context.WithCancel(ctx)
	work, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	linger := time.Duration(0)
	if q.Keyed {
		linger = r.Limits.Linger
	}
	context.AfterFunc(here, func() {
		timer := time.NewTimer(linger)
		defer timer.Stop()
		select {
		case <-timer.C:
			cancel(errLeft)
		case <-work.Done():
		}
	})
	late := time.AfterFunc(q.Wait, func() { cancel(errLate) })
	return &presence{work: work, cancel: cancel, sink: sink, late: late, leave: leave}
}

// take passes a token to the caller unless it has left.
func (p *presence) take(run record.RunID, t endpoint.Token) {
	p.late.Stop()
	if p.gone {
		return
	}
	if err := p.sink(run, t); err != nil {
		p.gone = true
		p.leave()
	}
}

func (p *presence) stop() {
	p.late.Stop()
	p.cancel(context.Canceled)
	p.leave()
}

// explain returns err, with the cause that ended the work if one did.
func (p *presence) explain(err error) error {
	if err == nil {
		return nil
	}
	if cause := context.Cause(p.work); cause != nil {
		return errors.Join(cause, err)
	}
	return err
}

// tokenText collects the text of an answer.
type tokenText struct{ text strings.Builder }

func (t *tokenText) add(token endpoint.Token) { t.text.WriteString(token.Text) }

// String returns the text so far without a copy.
func (t *tokenText) String() string { return t.text.String() }
