package prepaid

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"guavapier/internal/allocator"
	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

const (
	// followWait is the longest wait of one read. Short: a connection that
	// fell silent without an error is noticed after it.
	followWait = time.Second
	// followPause spaces reads, since every instance's statement ends every
	// read of all others.
	followPause = 250 * time.Millisecond
	// followAfresh is how long the log may be out of reach before its newest
	// records are read in place of all that came meanwhile: what a fleet states in some
	// seconds takes a small link longer to carry than one call may last.
	followAfresh = 2 * time.Second
	// writeEvery is how often it is looked whether there is something to state.
	writeEvery = 100 * time.Millisecond
	// retryEvery is the pause after a failed call.
	retryEvery = 150 * time.Millisecond
	// InTouch is how old the last read may be for a request to wait for a
	// claim; without the log it would wait in vain.
	InTouch = 1500 * time.Millisecond
	// resolveEvery is the pause between two rounds of asking again.
	resolveEvery = 500 * time.Millisecond
	// claimTrips is how long a claim takes, with two round trips to the log,
	// and room for one that collides with another's.
	claimTrips = 60 * time.Millisecond
	// WaitForClaim is the longest that a request waits for a claim: some round
	// trips to the log, while another instance gives back.
	WaitForClaim = 400 * time.Millisecond
)

// Keeper runs a Book against the log.
type Keeper struct {
	Book  *Book
	Zone  *allocator.Directory
	Peers *Peers
	Log   logstore.Keyed
	Clock func() time.Duration
	Logs  zerolog.Logger

	kickRead  chan struct{}
	kickWrite chan struct{}
	lastRead  atomic.Int64 // Clock at the last read, in nanoseconds; 0 for none.
	began     atomic.Int64 // Clock at the begin of the last read, and of the last that succeeded.
	readBegan atomic.Int64
	sequence  uint64 // Of the next write.
	announced uint64 // Announcements written.
	epoch     uint64
	away      bool // The reads fail.
	leaving   atomic.Bool
	givenBack atomic.Int64
	reclaimed map[record.InstanceID]uint64 // Sequences of the dead's statements that were made final.
}

// NewKeeper returns a Keeper; Run makes it work.
func NewKeeper(book *Book, zone *allocator.Directory, peers *Peers, log logstore.Keyed, clock func() time.Duration, logs zerolog.Logger) *Keeper {
	return &Keeper{
		Book: book, Zone: zone, Peers: peers, Log: log, reclaimed: map[record.InstanceID]uint64{}, Clock: clock, Logs: logs, epoch: 1,
		kickRead: make(chan struct{}, 1), kickWrite: make(chan struct{}, 1),
	}
}

// Run follows the log and writes statements until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { k.followAllocators(ctx); return nil })
	group.Go(func() error { k.roles(ctx); return nil })
	group.Go(func() error { k.returns(ctx); return nil })
	group.Go(func() error { k.findPredecessors(ctx); return nil })
	group.Go(func() error { k.reach(ctx); return nil })
	group.Go(func() error { k.write(ctx); return nil })
	group.Go(func() error { k.resolve(ctx); return nil })
	_ = group.Wait()
}

// Reservation is a request's part of a budget, at its most.
type Reservation struct {
	keeper *Keeper
	team   record.Team
	tokens int64
}

// Tokens returns the size of the reservation.
func (r *Reservation) Tokens() int64 { return r.tokens }

// Settle ends the reservation: used tokens stay spent. Call it once.
func (r *Reservation) Settle(used int64) { r.keeper.Book.Settle(r.team, r.tokens, used) }

// Reserve sets tokens aside. If too little is held here, it waits a moment for
// a claim while the log answers, and asks other instances.
func (k *Keeper) Reserve(ctx context.Context, team record.Team, tokens int64) (*Reservation, error) {
	err := k.Book.Reserve(team, tokens, k.Clock())
	if errors.Is(err, ErrShort) && k.Book.Role() == allocator.Member {
		err = k.draw(ctx, team, tokens)
	}
	if errors.Is(err, ErrShort) && k.Book.Role() != allocator.Member {
		err = k.find(ctx, team, tokens)
	}
	if err != nil {
		return nil, err
	}
	return &Reservation{keeper: k, team: team, tokens: tokens}, nil
}

// find looks for tokens: on the log first, then at other instances.
func (k *Keeper) find(ctx context.Context, team record.Team, tokens int64) error {
	if !k.Book.Findable(team) {
		return ErrShort
	}
	k.Book.Want(team, tokens)
	defer k.Book.Want(team, -tokens)
	began := k.Clock()
	if k.inTouch() {
		if err := k.await(ctx, team, tokens, claimTrips); !errors.Is(err, ErrShort) {
			return err
		}
	}
	k.Peers.Ask(ctx, k.Book, team, tokens, k.Clock())
	if !k.inTouch() {
		return k.Book.Reserve(team, tokens, k.Clock())
	}
	return k.await(ctx, team, tokens, WaitForClaim-(k.Clock()-began))
}

// await tries again whenever more may be at hand, for that long.
func (k *Keeper) await(ctx context.Context, team record.Team, tokens int64, patience time.Duration) error {
	limit := time.NewTimer(patience)
	defer limit.Stop()
	for {
		changed := k.Book.Changed()
		err := k.Book.Reserve(team, tokens, k.Clock())
		if !errors.Is(err, ErrShort) {
			return err
		}
		logstore.Kick(k.kickWrite)
		select {
		case <-changed:
		case <-limit.C:
			return k.Book.Reserve(team, tokens, k.Clock())
		case <-ctx.Done():
			return ErrShort
		}
	}
}

func (k *Keeper) inTouch() bool {
	at := k.lastRead.Load()
	return at != 0 && k.Clock()-time.Duration(at) < InTouch
}

// follower applies the log to the book.
func (k *Keeper) follower() *logstore.Follower {
	return &logstore.Follower{
		Log: k.Log, Topic: logstore.TopicBudgets, Wait: followWait, Pause: followPause, Kick: k.kickRead, Afresh: followAfresh,
		Begin: func() { k.began.Store(int64(k.Clock())) }, Reset: k.Book.Reload, Record: k.apply, Loaded: func() {}, Outcome: k.outcome,
	}
}

// outcome notes how old the book is, and logs when reading begins to fail and
// when it works again.
func (k *Keeper) outcome(err error) {
	if err == nil {
		k.lastRead.Store(int64(k.Clock()))
		k.readBegan.Store(k.began.Load())
		k.Book.Fresh(k.Clock())
	}
	switch {
	case err != nil && !k.away:
		k.Logs.Warn().Err(err).Msg("prepaid: budgets log lost; spending what is held")
	case err == nil && k.away:
		k.Logs.Info().Msg("prepaid: budgets log regained")
	}
	k.away = err != nil
}

func (k *Keeper) apply(r logstore.KeyedRecord) {
	var s *Statement
	if r.Value != nil {
		s = &Statement{}
		if err := cbor.Unmarshal(r.Value, s); err != nil {
			k.Logs.Error().Err(err).Str("key", r.Key).Msg("prepaid: unreadable statement passed over")
			return
		}
	}
	k.Book.Apply(record.InstanceID(r.Key), s, k.Clock())
}

// write states claims while ctx lasts. It begins once the log has been read.
func (k *Keeper) write(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, writeEvery, k.kickWrite)
		if !k.Loaded() {
			continue
		}
		if k.leaving.Load() && (k.inTouch() || k.Book.Role() == allocator.Member) {
			k.Book.Leave()
		}
		if s := k.Book.Draft(k.Clock()); s != nil {
			if k.put(ctx, k.Book.self.Key, s) {
				k.Book.Taken(s, k.Clock())
			}
		}
		k.reclaim(ctx)
	}
}

// Leave says that the instance ends soon: what no request has or waits for is given
// back to the log already now. While the log is away it stays here, for Close to
// hand over.
func (k *Keeper) Leave() { k.leaving.Store(true) }

// resolve makes good what lost replies of other instances hold back.
func (k *Keeper) resolve(ctx context.Context) {
	for ctx.Err() == nil {
		logstore.Pause(ctx, resolveEvery, nil)
		k.Peers.Resolve(ctx, k.Book)
	}
}

// reclaim gives back what dead processes of this host did not use.
func (k *Keeper) reclaim(ctx context.Context) {
	for _, r := range k.Book.Reclaims(k.Clock()) {
		if k.reclaimed[r.Key] == r.Statement.Sequence {
			continue // Written, but not read back yet.
		}
		if k.put(ctx, r.Key, &r.Statement) {
			k.reclaimed[r.Key] = r.Statement.Sequence
			k.givenBack.Add(r.Tokens)
			k.Logs.Info().Str("dead", string(r.Key)).Int64("tokens", r.Tokens).Dur("age", r.Age).Msg("prepaid: unused tokens of a dead process given back")
		}
	}
}

// put writes a statement until the log has taken it, and says whether it has.
// The repeats are the same write, so one that arrives late has no second effect.
func (k *Keeper) put(ctx context.Context, key record.InstanceID, s *Statement) bool {
	value, err := cbor.Marshal(s)
	if err != nil {
		k.Logs.Error().Err(err).Msg("prepaid: encode statement")
		return false
	}
	records := []logstore.KeyedRecord{{Key: string(key), Value: value}}
	for ctx.Err() == nil {
		w := logstore.Write{Writer: string(k.Book.self.Key), Epoch: k.epoch, Sequence: k.sequence}
		err := k.Log.Put(ctx, logstore.TopicBudgets, w, records)
		if err == nil {
			k.sequence++
			logstore.Kick(k.kickRead)
			return true
		}
		if eris.Is(err, logstore.ErrSequence) || eris.Is(err, logstore.ErrFenced) {
			// Only this process writes under its name: the log has lost count.
			k.Logs.Error().Err(err).Msg("prepaid: statement out of sequence, writing in a new epoch")
			k.epoch++
			continue
		}
		logstore.Pause(ctx, retryEvery, nil)
	}
	return false
}

// Close gives back what is not used, as long as ctx lasts: to the log, or to
// another instance if the log is away. Run must have ended.
//
// The epoch is a new one: a write that Run left unanswered may still arrive, and
// must not come after this one.
func (k *Keeper) Close(ctx context.Context) {
	k.epoch++
	handedOver := !k.inTouch() && k.Peers.HandOver(ctx, k.Book, k.Clock())
	if handedOver {
		// Nothing is left that would be worth waiting for the log.
		short, cancel := context.WithTimeout(ctx, retryEvery)
		defer cancel()
		ctx = short
	}
	if !k.put(ctx, k.Book.self.Key, k.Book.Close(k.Clock())) && !handedOver {
		k.Logs.Warn().Msg("prepaid: unused tokens not given back")
	}
}

// Reclaimed returns how many tokens of dead processes were given back.
func (k *Keeper) Reclaimed() int64 { return k.givenBack.Load() }

// Loaded says whether the log has been read, or an allocator answers that does so.
func (k *Keeper) Loaded() bool { return k.lastRead.Load() != 0 || len(k.Zone.Usable()) > 0 }
