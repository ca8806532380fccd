package processcheck

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/origin"
	"guavapier/internal/peer"
)

const (
	// askTimeout bounds how long a caller waits for the replies.
	askTimeout = 150 * time.Millisecond
	// askedPerZone and askedZones are how many instances are asked: a cut may be that of a zone.
	askedPerZone, askedZones = 2, 3
	// fruitlessPause is how long nobody is asked after nobody could tell.
	fruitlessPause = time.Second
)

// List is this instance's endpoint list.
type List interface {
	// Report returns what the list shows of an endpoint.
	Report(endpoint string) Report
}

// Options are the dependencies of a Checker. All must be set.
type Options struct {
	Zone      string                   // Availability zone of this instance.
	MaxAge    time.Duration            // Age up to which an endpoint list is current.
	Instances func() []origin.Instance // The other ones.
	List      List
	Caller    peer.Caller
	Clock     func() time.Duration
	Log       zerolog.Logger // May drop lines.
}

// Checker asks other instances about endpoints. It is safe for concurrent use.
type Checker struct {
	Options
	askFrom atomic.Int64 // Reading of Clock from which on others are asked again, in nanoseconds.
	// teller is the instance that could tell last. It is asked alone, as long as it can.
	teller atomic.Pointer[origin.Instance]
}

// New returns a Checker.
func New(o Options) *Checker { return &Checker{Options: o} }

// IsReplaced reports whether another instance tells that the process has ended or may have. It asks nobody while the own
// list is current.
func (c *Checker) IsReplaced(ctx context.Context, p Process) bool {
	if c.List.Report(p.Endpoint).Age <= c.MaxAge || c.Clock() < time.Duration(c.askFrom.Load()) {
		return false
	}
	verdict := c.ask(ctx, p)
	if verdict == Unknown {
		c.askFrom.Store(int64(c.Clock() + fruitlessPause))
	}
	c.Log.Info().Str("endpoint", p.Endpoint).Int64("born", p.Born).Bool("known", verdict != Unknown).Bool("replaced", verdict == Replaced).
		Msg("processcheck: asked whether an endpoint has started again")
	return verdict == Replaced
}

// ask returns the first verdict of another instance; Unknown if there is none within askTimeout.
func (c *Checker) ask(ctx context.Context, p Process) Verdict {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if teller := c.teller.Swap(nil); teller != nil {
		if verdict := c.askFirst(ctx, []origin.Instance{*teller}, p); verdict != Unknown {
			return verdict
		}
	}
	return c.askFirst(ctx, choose(c.Instances(), c.Zone), p)
}

// askFirst asks all instances at once, and returns the first verdict.
func (c *Checker) askFirst(ctx context.Context, asked []origin.Instance, p Process) Verdict {
	verdicts := make(chan Verdict, len(asked))
	for _, instance := range asked {
		go func() {
			verdict := c.askOne(ctx, instance, p)
			if verdict != Unknown {
				c.teller.Store(&instance)
			}
			verdicts <- verdict
		}()
	}
	for range asked {
		if verdict := <-verdicts; verdict != Unknown {
			return verdict
		}
	}
	return Unknown
}

func (c *Checker) askOne(ctx context.Context, instance origin.Instance, p Process) Verdict {
	var reply ReportReply
	if err := c.Caller.Call(ctx, instance.Process, ServiceName+".Report", ReportArgs{Endpoint: p.Endpoint}, &reply); err != nil {
		if ctx.Err() == nil {
			c.Log.Info().Err(err).Str("instance", instance.Name).Msg("processcheck: instance not asked")
		}
		return Unknown
	}
	return judge(p, reply.Report, c.MaxAge)
}

// choose returns askedPerZone instances, chosen at random, of the own zone and of each of askedZones others.
func choose(instances []origin.Instance, zone string) (chosen []origin.Instance) {
	counts := map[string]int{zone: 0}
	for _, i := range rand.Perm(len(instances)) {
		instance := instances[i]
		_, counted := counts[instance.Zone]
		if !counted && len(counts) > askedZones || counts[instance.Zone] == askedPerZone {
			continue
		}
		counts[instance.Zone]++
		chosen = append(chosen, instance)
	}
	return chosen
}
