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
	// callTimeout limits one call to another instance. A request waits for the call, and
	// a round trip takes a few milliseconds.
	callTimeout = 120 * time.Millisecond
	// maxPeersAsked is the maximum number of instances called for one request.
	maxPeersAsked = 4
	// requestFactor is the ratio of the tokens requested from another instance to those
	// that the request needs, which spares the next requests a call.
	requestFactor = 3
)

// ServiceName is the name under which Transfers is registered with a peer.Server.
const ServiceName = "Transfers"

// AskArgs requests tokens of a budget.
type AskArgs struct {
	From   record.InstanceID
	Team   record.Team
	Tokens int64
}

// AskReply returns the cumulative amount that the called process has transferred to the caller.
type AskReply struct{ Total int64 }

// HandArgs reports the cumulative amounts that a terminating process has transferred to the
// called one, by team. Return uses it for a member's returns to an allocator.
type HandArgs struct {
	From   record.InstanceID
	Totals map[record.Team]int64
}

// HandReply returns what an allocator knows about the fleet.
type HandReply struct{ Status FleetStatus }

// DrawArgs requests a withdrawal of tokens from an allocator.
type DrawArgs struct {
	From record.InstanceID
	Team record.Team
	Need Need
}

// DrawReply is an allocator's reply to a member's withdrawal. Total is the cumulative amount
// that the allocator has transferred to the member.
type DrawReply struct {
	Total int64
	// None states that no more tokens can be obtained at present.
	None bool
	// Lead is the headroom: the use, in time at the recent rate, for which the member
	// may hold tokens.
	Lead time.Duration
	// Spent is how much of the budget is permanently spent by all processes, as far as
	// the allocator knows.
	Spent int64
	// ShortFor is how long no withdrawal that waited at the allocator has been served, if
	// this one was not; see tokenwait.Shortage.
	ShortFor time.Duration
	Status   FleetStatus
}

// PredecessorsArgs requests the records of a node's processes that started before Started
// (Unix milliseconds).
type PredecessorsArgs struct {
	Node    string
	Started int64
}

// PredecessorsReply returns the requested records.
type PredecessorsReply struct{ Statements []Predecessor }

// Predecessor is the newest record of a dead process and its key on the log.
type Predecessor struct {
	Key       record.InstanceID
	Statement ClaimRecord
}

// Transfers is the RPC service through which processes transfer tokens to each other.
type Transfers struct{ controller *Controller }

// NewTransfers returns the service of a controller.
func NewTransfers(c *Controller) *Transfers { return &Transfers{controller: c} }

// Ask transfers tokens to the calling process.
func (t *Transfers) Ask(args AskArgs, reply *AskReply) error {
	reply.Total = t.controller.Accounts.Transfer(args.From, args.Team, args.Tokens, t.controller.Clock())
	return nil
}

// Draw transfers tokens to a member of the zone. It returns an error if this instance is not
// an allocator or is terminating.
func (t *Transfers) Draw(args DrawArgs, reply *DrawReply) error {
	c := t.controller
	if !c.servesMembers() {
		return errNotAllocator
	}
	total, ok := c.serveWithdrawal(args.From, args.Team, args.Need)
	shortFor := time.Duration(0)
	if !ok {
		shortFor = c.waits.Shortage(args.Team, c.Clock()).Age
	}
	*reply = DrawReply{
		Total: total, Lead: c.Accounts.Headroom(args.Team, c.Clock()), None: !ok && !c.Accounts.MayFindTokens(args.Team), Spent: c.Accounts.PermanentlySpent(args.Team), ShortFor: shortFor, Status: c.Accounts.Status(c.Clock()),
	}
	return nil
}

// Predecessors returns the records of a member's dead predecessors, whose tokens only the
// member can reclaim. It waits for a read of the log that started after the call, because an
// outdated record understates what the dead process may have used. It returns an error if no
// such read succeeds in time.
func (t *Transfers) Predecessors(args PredecessorsArgs, reply *PredecessorsReply) error {
	if !t.controller.servesMembers() {
		return errNotAllocator // Only allocators read the log.
	}
	read := t.controller.awaitRead()
	list, ok := t.controller.Accounts.Predecessors(args.Node, args.Started)
	if !read || !ok {
		return errLogNotRead
	}
	reply.Statements = list
	return nil
}

// Return accepts tokens that a member of the zone does not need. An instance that is no longer
// an allocator accepts them too, returns an error, and returns them to its own allocator.
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

// Hand accepts the tokens of a terminating process.
func (t *Transfers) Hand(args HandArgs, _ *HandReply) error {
	for team, total := range args.Totals {
		t.controller.Accounts.Receive(args.From, team, total)
	}
	return nil
}

// Peers requests tokens from other instances. It is safe for concurrent use.
type Peers struct {
	caller   peer.Caller
	log      zerolog.Logger
	inFlight singleflight.Group
	mu       sync.Mutex
	// lostReply contains the calls whose replies were lost. The called process may have
	// transferred tokens.
	lostReply map[lostReply]bool
}

// lostReply identifies a call whose reply was lost.
type lostReply struct {
	peer record.InstanceID
	team record.Team
}

// NewPeers returns Peers that make their calls with caller.
func NewPeers(caller peer.Caller, log zerolog.Logger) *Peers {
	return &Peers{caller: caller, log: log, lostReply: map[lostReply]bool{}}
}

// RequestTokens requests tokens of a budget from other instances until enough are spendable for a
// request and for all others that wait, or no more can be found. It reports whether any were
// received. Concurrent requests of one budget share the calls.
//
// The load that it answers: an instance or zone that is cut off from the log and has most callers of
// an organisation. Calls for one request each would bring less than arrives meanwhile.
func (p *Peers) RequestTokens(ctx context.Context, accounts *Accounts, team record.Team, tokens int64, now time.Duration) (received bool) {
	shared, _, _ := p.inFlight.Do(string(team), func() (any, error) {
		before := accounts.Received(team)
		needed := max(tokens, accounts.Shortfall(team))
		for i, source := range accounts.TransferSources(team) {
			spendable := accounts.Spendable(team, now)
			if i >= maxPeersAsked || ctx.Err() != nil || spendable >= needed {
				break
			}
			// The call must outlive the request that caused it: tokens in an unread reply
			// would be lost.
			call := context.WithoutCancel(ctx)
			p.requestFrom(call, accounts, source.Key, team, max(requestFactor*tokens, needed-spendable))
		}
		return accounts.Received(team) > before, nil
	})
	received, _ = shared.(bool)
	return received
}

// requestFrom requests tokens from one instance, records what was transferred and reports
// whether the call succeeded. ResolveLostReplies repeats a call whose reply was lost.
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

// recordOutcome adds a call to those that ResolveLostReplies repeats, or removes it. A call
// that was not sent counts as not lost, since it transferred nothing.
func (p *Peers) recordOutcome(call lostReply, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if lost {
		p.lostReply[call] = true
	} else {
		delete(p.lostReply, call)
	}
}

// ResolveLostReplies repeats the calls whose replies were lost, requesting no more tokens,
// until ctx ends. Each unresponsive instance takes the timeout of a call, one after the other,
// and a terminating instance must not wait for them.
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

// HandOver transfers all remaining tokens to one other instance and reports whether that one
// has acknowledged them.
func (p *Peers) HandOver(ctx context.Context, accounts *Accounts, now time.Duration) bool {
	for i, target := range accounts.TransferTargets() {
		if i >= maxPeersAsked || ctx.Err() != nil {
			return false
		}
		// A request for zero tokens finds out whether the instance can take over.
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
