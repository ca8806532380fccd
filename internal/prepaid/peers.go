package prepaid

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"guavapier/internal/peer"
	"guavapier/internal/record"
)

const (
	// callTimeout bounds one call to another instance: round trips take a few
	// milliseconds, and a request waits for it.
	callTimeout = 120 * time.Millisecond
	// maxPeersAsked is how many instances are asked for one request.
	maxPeersAsked = 4
	// requestFactor asks for more than one request needs, so that the next ones
	// need not ask.
	requestFactor = 3
)

// ServiceName is under which Transfers is registered, see peer.Server.
const ServiceName = "Transfers"

// AskArgs asks for tokens of a budget.
type AskArgs struct {
	From   record.InstanceID
	Team   record.Team
	Tokens int64
}

// AskReply says what the answering process has given to the asking one in all.
type AskReply struct{ Total int64 }

// HandArgs hands over what a process that ends has given in all, by budget.
type HandArgs struct {
	From   record.InstanceID
	Totals map[record.Team]int64
}

// HandReply says what an allocator knows of the fleet.
type HandReply struct{ Status FleetStatus }

// DrawArgs asks an allocator for tokens of a budget.
type DrawArgs struct {
	From record.InstanceID
	Team record.Team
	Need Need
}

// DrawReply says what the allocator has given to the asking process in all.
type DrawReply struct {
	Total int64
	// None says that no more tokens can be found now.
	None bool
	// Lead is how much of its recent use the member may hold ahead.
	Lead time.Duration
	// Spent is what all have spent for good, as far as the allocator knows.
	Spent  int64
	Status FleetStatus
}

// PredecessorsArgs asks for the statements of earlier processes of a host.
type PredecessorsArgs struct {
	Node    string
	Started int64
}

// PredecessorsReply has them.
type PredecessorsReply struct{ Statements []Predecessor }

// Predecessor is a dead process's newest statement.
type Predecessor struct {
	Key       record.InstanceID
	Statement ClaimRecord
}

// Transfers is the service that other instances call.
type Transfers struct{ controller *Controller }

// NewTransfers returns the service of a keeper.
func NewTransfers(c *Controller) *Transfers { return &Transfers{controller: c} }

// Ask gives tokens to the caller.
func (t *Transfers) Ask(args AskArgs, reply *AskReply) error {
	reply.Total = t.controller.Accounts.Transfer(args.From, args.Team, args.Tokens, t.controller.Clock())
	return nil
}

// Draw gives tokens to a member of the zone. It fails where this instance is no
// allocator.
func (t *Transfers) Draw(args DrawArgs, reply *DrawReply) error {
	c := t.controller
	if !c.servesMembers() {
		return errNotAllocator
	}
	total, ok := c.serveWithdrawal(args.From, args.Team, args.Need)
	*reply = DrawReply{
		Total: total, Lead: c.Accounts.Headroom(args.Team, c.Clock()), None: !ok && !c.Accounts.MayFindTokens(args.Team), Spent: c.Accounts.PermanentlySpent(args.Team), Status: c.Accounts.Status(c.Clock()),
	}
	return nil
}

// Predecessors names a member's dead predecessors, whose tokens only it can give back.
// It reads the log first: an older statement says less of what the dead may have used.
func (t *Transfers) Predecessors(args PredecessorsArgs, reply *PredecessorsReply) error {
	read := t.controller.awaitRead()
	list, ok := t.controller.Accounts.Predecessors(args.Node, args.Started)
	if !read || !ok {
		return errLogNotRead
	}
	reply.Statements = list
	return nil
}

// Return takes back what a member of the zone doesn't need. What this instance can't
// use, having become no allocator, it brings to its own.
func (t *Transfers) Return(args HandArgs, reply *HandReply) error {
	c := t.controller
	for team, total := range args.Totals {
		c.Accounts.AcceptReturn(args.From, team, total, c.Clock())
	}
	if !c.servesMembers() {
		return errNotAllocator
	}
	reply.Status = c.Accounts.Status(c.Clock())
	return nil
}

// Hand takes tokens from a process that ends.
func (t *Transfers) Hand(args HandArgs, _ *HandReply) error {
	for team, total := range args.Totals {
		t.controller.Accounts.Receive(args.From, team, total)
	}
	return nil
}

// Peers asks other instances for tokens. It is safe for concurrent use.
type Peers struct {
	caller   peer.Caller
	log      zerolog.Logger
	inFlight singleflight.Group
	mu       sync.Mutex
	// lostReply are calls whose replies were lost: tokens may have been given.
	lostReply map[lostReply]bool
}

type lostReply struct {
	peer record.InstanceID
	team record.Team
}

// NewPeers returns Peers that call through caller.
func NewPeers(caller peer.Caller, log zerolog.Logger) *Peers {
	return &Peers{caller: caller, log: log, lostReply: map[lostReply]bool{}}
}

// RequestTokens looks for tokens of a budget at other instances. Requests of one budget
// ask together.
func (p *Peers) RequestTokens(ctx context.Context, accounts *Accounts, team record.Team, tokens int64, now time.Duration) {
	_, _, _ = p.inFlight.Do(string(team), func() (any, error) {
		for i, source := range accounts.TransferSources(team) {
			if i >= maxPeersAsked || ctx.Err() != nil {
				break
			}
			// The call outlives the request that wants it: a reply that nobody reads
			// would lose tokens.
			call := context.WithoutCancel(ctx)
			if p.requestFrom(call, accounts, source.Key, team, requestFactor*tokens) && accounts.Spendable(team, now) >= tokens {
				break
			}
		}
		return nil, nil
	})
}

// requestFrom asks one instance and notes what it gave. A reply that is lost is asked
// for again by Resolve.
func (p *Peers) requestFrom(ctx context.Context, accounts *Accounts, to record.InstanceID, team record.Team, tokens int64) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply AskReply
	err := p.caller.Call(ctx, to, ServiceName+".Ask", AskArgs{From: accounts.self.Key, Team: team, Tokens: tokens}, &reply)
	p.recordOutcome(lostReply{to, team}, err != nil && !errors.Is(err, peer.ErrNotSent))
	if err != nil {
		p.log.Debug().Err(err).Str("peer", string(to)).Msg("prepaid: peer not reached")
		return false
	}
	accounts.Receive(to, team, reply.Total)
	return true
}

// recordOutcome keeps or forgets a call for Resolve. One that was not sent changes nothing.
func (p *Peers) recordOutcome(call lostReply, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost {
		p.lostReply[call] = true
	} else {
		delete(p.lostReply, call)
	}
}

// ResolveLostReplies asks again, for no more tokens, where a reply was lost, until ctx ends.
// Instances that stay silent cost a call's whole time each, one after the other: an
// instance that ends must not wait for them.
func (p *Peers) ResolveLostReplies(ctx context.Context, accounts *Accounts) {
	p.mu.Lock()
	var calls []lostReply
	for call := range p.lostReply {
		calls = append(calls, call)
	}
	p.mu.Unlock()
	for _, call := range calls {
		if ctx.Err() != nil {
			return
		}
		p.requestFrom(ctx, accounts, call.peer, call.team, 0)
	}
}

// HandOver gives everything that is left to one other instance, and says whether
// that one has it.
func (p *Peers) HandOver(ctx context.Context, accounts *Accounts, now time.Duration) bool {
	for i, target := range accounts.TransferTargets() {
		if i >= maxPeersAsked || ctx.Err() != nil {
			return false
		}
		// Asking for nothing shows an instance that can take over.
		if !p.requestFrom(ctx, accounts, target.Key, "", 0) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		args := HandArgs{From: accounts.self.Key, Totals: accounts.TransferAll(target.Key, now)}
		err := p.caller.Call(ctx, target.Key, ServiceName+".Hand", args, &HandReply{})
		p.log.Info().Err(err).Str("to", string(target.Key)).Msg("prepaid: unused tokens handed over")
		return err == nil
	}
	return false
}
