package prepaid

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"guavapier/internal/record"
)

const (
	// callWithin bounds one call to another instance: round trips take a few
	// milliseconds, and a request waits for it.
	callWithin = 120 * time.Millisecond
	// mostAsked is how many instances are asked for one request.
	mostAsked = 4
	// askFactor asks for more than one request needs, so that the next ones
	// need not ask.
	askFactor = 3
)

// AskArgs asks for tokens of a budget.
type AskArgs struct {
	From   string // The asking process's key.
	Team   record.Team
	Tokens int64
}

// AskReply says what the answering process has given to the asking one in all.
type AskReply struct {
	Key   string
	Total int64
}

// HandArgs hands over what a process that ends has given in all, by budget.
type HandArgs struct {
	From   string
	Totals map[record.Team]int64
}

// HandReply is empty.
type HandReply struct{}

// Transfers is the service that other instances call.
type Transfers struct {
	book  *Book
	clock func() time.Duration
}

// Ask gives tokens to the caller.
func (t *Transfers) Ask(args AskArgs, reply *AskReply) error {
	reply.Key = t.book.self.Key
	reply.Total = t.book.Give(args.From, args.Team, args.Tokens, t.clock())
	return nil
}

// Hand takes tokens from a process that ends.
func (t *Transfers) Hand(args HandArgs, _ *HandReply) error {
	for team, total := range args.Totals {
		t.book.Take(args.From, team, total)
	}
	return nil
}

// Peers calls other instances. It is safe for concurrent use.
type Peers struct {
	log     zerolog.Logger
	asking  singleflight.Group
	mu      sync.Mutex
	clients map[string]*rpc.Client
	// unresolved are calls whose replies were lost.
	unresolved map[unresolved]bool
}

// NewPeers returns Peers without connections.
func NewPeers(log zerolog.Logger) *Peers {
	return &Peers{log: log, clients: map[string]*rpc.Client{}, unresolved: map[unresolved]bool{}}
}

// Serve answers other instances until the listener is closed.
func Serve(l net.Listener, book *Book, clock func() time.Duration) error {
	server := rpc.NewServer()
	if err := server.Register(&Transfers{book: book, clock: clock}); err != nil {
		return eris.Wrap(err, "prepaid: register transfers")
	}
	for {
		c, err := l.Accept()
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return nil
			}
			return eris.Wrap(err, "prepaid: accept")
		}
		go server.ServeConn(c)
	}
}

// Ask looks for tokens of a budget at other instances. Requests of one budget
// ask together.
func (p *Peers) Ask(ctx context.Context, book *Book, team record.Team, tokens int64, now time.Duration) {
	_, _, _ = p.asking.Do(string(team), func() (any, error) {
		for i, source := range book.Sources(team) {
			if i >= mostAsked || ctx.Err() != nil {
				break
			}
			if !p.askOne(book, source.Peer, team, askFactor*tokens) {
				continue
			}
			if book.AtHand(team, now) >= tokens {
				break
			}
		}
		return nil, nil
	})
}

// askOne asks one instance and notes what it gave. The call outlives the request
// that wants it: a reply that nobody reads would lose tokens. One that is lost
// all the same is asked for again by Resolve.
func (p *Peers) askOne(book *Book, peer string, team record.Team, tokens int64) bool {
	var reply AskReply
	args := AskArgs{From: book.self.Key, Team: team, Tokens: tokens}
	err := p.call(context.Background(), peer, "Transfers.Ask", args, &reply)
	p.mu.Lock()
	if err != nil {
		p.unresolved[unresolved{peer, team}] = true
	} else {
		delete(p.unresolved, unresolved{peer, team})
	}
	p.mu.Unlock()
	if err != nil {
		p.log.Debug().Err(err).Str("peer", peer).Msg("prepaid: peer not reached")
		return false
	}
	book.Take(reply.Key, team, reply.Total)
	return true
}

// unresolved is a call whose reply was lost: tokens may have been given.
type unresolved struct {
	peer string
	team record.Team
}

// Resolve asks again, for no more tokens, where a reply was lost.
func (p *Peers) Resolve(book *Book) {
	p.mu.Lock()
	var calls []unresolved
	for call := range p.unresolved {
		calls = append(calls, call)
	}
	p.mu.Unlock()
	for _, call := range calls {
		p.askOne(book, call.peer, call.team, 0)
	}
}

// HandOver gives everything that is left to one other instance.
func (p *Peers) HandOver(ctx context.Context, book *Book, now time.Duration) {
	for i, heir := range book.Heirs() {
		if i >= mostAsked || ctx.Err() != nil {
			return
		}
		var probe AskReply // An instance that answers is worth giving to.
		if p.call(ctx, heir.Peer, "Transfers.Ask", AskArgs{From: book.self.Key}, &probe) != nil || probe.Key != heir.Key {
			continue
		}
		args := HandArgs{From: book.self.Key, Totals: book.GiveAll(heir.Key, now)}
		err := p.call(ctx, heir.Peer, "Transfers.Hand", args, &HandReply{})
		p.log.Info().Err(err).Str("to", heir.Key).Msg("prepaid: unused tokens handed over")
		return
	}
}

// call makes one call over a kept connection.
func (p *Peers) call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	client, err := p.client(ctx, address)
	if err != nil {
		return err
	}
	done := client.Go(method, args, reply, make(chan *rpc.Call, 1)).Done
	select {
	case call := <-done:
		if call.Error != nil {
			p.drop(address, client)
			return eris.Wrap(call.Error, "prepaid: call peer")
		}
		return nil
	case <-ctx.Done():
		p.drop(address, client) // It may be silent for good.
		return eris.Wrap(ctx.Err(), "prepaid: call peer")
	}
}

func (p *Peers) client(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	known := p.clients[address]
	p.mu.Unlock()
	if known != nil {
		return known, nil
	}
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "prepaid: dial peer")
	}
	client := rpc.NewClient(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.clients[address]; known != nil {
		_ = client.Close()
		return known, nil
	}
	p.clients[address] = client
	return client, nil
}

func (p *Peers) drop(address string, client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	_ = client.Close()
}
