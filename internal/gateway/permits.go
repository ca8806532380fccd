package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"guavapier/internal/peer"
	"guavapier/internal/placement"
	"guavapier/internal/record"
)

const (
	// permitsServiceName is the name under which peer.Server registers permits.
	permitsServiceName = "Permits"
	// permitTimeout bounds one call; a later reply brings permits that have expired.
	permitTimeout = 150 * time.Millisecond
)

// AskPermitsArgs are the arguments of Permits.Ask.
type AskPermitsArgs struct{ Asks []placement.PermitAsk }

// AskPermitsReply is the reply of Permits.Ask, in the order of its arguments.
type AskPermitsReply struct{ Grants []placement.PermitGrant }

// permits asks other instances for permits to send requests to endpoints with a request limit,
// and grants those of this instance's own part.
type permits struct {
	caller    peer.Caller
	instances func() map[record.InstanceID]string // The other ones' names.
	endpoints *placement.Table
	clock     func() time.Duration
	log       zerolog.Logger

	mu      sync.Mutex
	changed chan struct{} // Closed at the next reply.
}

// Changed implements forward.Permits.
func (p *permits) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// notify wakes the requests that wait for permits.
func (p *permits) notify() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Ask grants permits to another instance, which calls it as Permits.Ask.
func (p *permits) Ask(args AskPermitsArgs, reply *AskPermitsReply) error {
	reply.Grants = p.endpoints.GrantPermits(args.Asks, p.clock())
	return nil
}

// run asks for permits as requests want them, until ctx ends.
func (p *permits) run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.endpoints.PermitsWanted():
		}
		asks := p.endpoints.PermitAsks(p.clock())
		if len(asks) == 0 {
			continue
		}
		processes := p.processes()
		for name, list := range asks {
			calls.Go(func() { p.ask(ctx, processes, name, list) })
		}
	}
}

// processes returns the processes of the other instances, by name.
func (p *permits) processes() map[string]record.InstanceID {
	byName := map[string]record.InstanceID{}
	for id, name := range p.instances() {
		byName[name] = id
	}
	return byName
}

// ask asks one instance for permits.
func (p *permits) ask(ctx context.Context, processes map[string]record.InstanceID, name string, asks []placement.PermitAsk) {
	defer p.notify()
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	askedAt := p.clock()
	var reply AskPermitsReply
	// An instance whose process is not known has the zero ID, which no address is known for.
	if err := p.caller.Call(ctx, processes[name], permitsServiceName+".Ask", AskPermitsArgs{Asks: asks}, &reply); err != nil {
		p.log.Info().Err(err).Str("instance", name).Int("endpoints", len(asks)).Msg("permits: instance not asked")
		p.endpoints.RecordPermitFailure(name, asks, p.clock())
		return
	}
	p.endpoints.ReceivePermits(name, asks, reply.Grants, askedAt, p.clock())
}
