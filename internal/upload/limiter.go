// Package upload receives the bodies of callers' requests into memory that they share with all
// else that an instance holds for its callers.
//
// A body draws on the memory as its bytes arrive. Where that is used up, bodies that arrive slowly
// lose theirs first, then those of the caller or organisation that holds most, then the newest: a
// body that came earlier takes from one that came later, so that some are always completed. A body
// that was received whole keeps its memory until its request has ended.
package upload

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"guavapier/internal/membudget"
)

// Errors of Receive, for errors.Is.
var (
	// ErrNoRoom reports that there was no memory for the body in time.
	ErrNoRoom = eris.New("upload: no memory for the body")
	// ErrEvicted reports that the body lost its memory to others before it was complete.
	ErrEvicted = eris.New("upload: body lost its memory to others")
	// ErrTooLarge reports a body that exceeds the maximum size.
	ErrTooLarge = eris.New("upload: body exceeds the maximum size")
)

const (
	// smallBodyBytes is the first part of each body, which comes from the memory that long
	// bodies can't take.
	smallBodyBytes = 32 << 10
	// maxWait bounds the wait for memory. Callers abandon a request that is not read for a
	// second, or for a third of their time.
	maxWait, maxWaitShare = time.Second, 3
	// slowBytesPerSecond is the rate below which a body counts as slow, over rateWindow or more.
	// Only where memory is used up does a slow body lose any.
	slowBytesPerSecond = 16 << 10
	rateWindow         = time.Second
	// paceBurstBytes is what long bodies may have at once: one of usual largest size is not delayed.
	paceBurstBytes = 4 << 20
	// recheckInterval is how often a waiting body looks for slow ones.
	recheckInterval = 50 * time.Millisecond
)

// Limiter decides which bodies get memory. It is safe for concurrent use.
type Limiter struct {
	small, large *membudget.Part // Of the same budget.
	pace         *rate.Limiter   // Of the bytes of long bodies.
	maxArriving  int

	mu       sync.Mutex
	uploads  map[*Upload]struct{}
	begun    uint64 // Uploads since the start.
	evicting int    // Evicted uploads that have not ended.
	refused  int64  // Uploads that were evicted or got no memory, since the start.
}

// NewLimiter returns a Limiter that takes the first smallBodyBytes of each body from small, and
// the rest from large.
//
// Bodies that are longer arrive at bytesPerSecond together, beyond a burst of paceBurstBytes: they
// must not fill the link of the instance. 0 stands for no limit.
//
// If more than maxArriving bodies arrive at the same time, a slow one or else the oldest is
// evicted. 0 stands for no limit.
func NewLimiter(small, large *membudget.Part, bytesPerSecond float64, maxArriving int) *Limiter {
	l := &Limiter{small: small, large: large, maxArriving: maxArriving, pace: rate.NewLimiter(rate.Inf, 0), uploads: map[*Upload]struct{}{}}
	if bytesPerSecond > 0 {
		l.pace = rate.NewLimiter(rate.Limit(bytesPerSecond), paceBurstBytes)
	}
	return l
}

// Held returns the bytes that bodies hold.
func (l *Limiter) Held() int64 { return l.small.Used() + l.large.Used() }

// Refused returns how many bodies have lost their memory to others or got none, since the start.
func (l *Limiter) Refused() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused
}

func (l *Limiter) countRefused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
}

// Max returns the size of the largest body that fits if there is no other.
func (l *Limiter) Max() int64 { return l.large.Max() }

// Upload is a body that arrives or has arrived. End must be called once.
type Upload struct {
	limiter   *Limiter
	owner     string
	interrupt func()
	number    uint64        // In the order in which uploads have begun.
	gone      chan struct{} // Closed when it is evicted.

	// Guarded by limiter.mu.
	small, large int64 // Bytes that it holds of each part.
	isComplete   bool
	evicted      bool
	awaitsLarge  bool // It waits for bytes of the large part.
	arrival      arrivalRate
}

// Begin adds an upload of an owner, a caller or an organisation. interrupt is called at most once,
// if the upload is evicted; it has to make a pending read of the body fail without delay.
func (l *Limiter) Begin(owner string, interrupt func()) *Upload {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun++
	u := &Upload{limiter: l, owner: owner, interrupt: interrupt, number: l.begun, gone: make(chan struct{}), arrival: arrivalRate{since: now}}
	l.boundArriving(now)
	l.uploads[u] = struct{}{}
	return u
}

// complete records that the body has arrived; it isn't evicted from then on. It returns ErrEvicted
// if it was before.
func (u *Upload) complete() error {
	u.limiter.mu.Lock()
	defer u.limiter.mu.Unlock()
	if u.evicted {
		return ErrEvicted
	}
	u.isComplete = true
	return nil
}

// End gives the upload's memory back.
func (u *Upload) End() {
	l := u.limiter
	l.mu.Lock()
	if u.evicted {
		l.evicting--
	}
	delete(l.uploads, u)
	small, large := u.small, u.large
	u.small, u.large = 0, 0
	l.mu.Unlock()
	l.small.Give(small)
	l.large.Give(large)
}

// received records that n bytes have arrived.
func (u *Upload) received(n int) {
	u.limiter.mu.Lock()
	defer u.limiter.mu.Unlock()
	u.arrival.add(n, time.Now())
}

// grow takes memory for n more bytes. It waits for it, for maxWait at most and a share of the time
// until ctx ends.
func (u *Upload) grow(ctx context.Context, n int64) error {
	start := time.Now()
	patience := maxWait
	if deadline, ok := ctx.Deadline(); ok {
		patience = min(patience, time.Until(deadline)/maxWaitShare)
	}
	for {
		changed := u.limiter.small.Budget().Changed()
		ok, err := u.tryGrow(n)
		if ok || err != nil {
			return err
		}
		left := patience - time.Since(start)
		if left <= 0 {
			u.limiter.countRefused()
			return ErrNoRoom
		}
		select {
		case <-changed:
		case <-time.After(min(left, recheckInterval)):
		case <-u.gone:
			return ErrEvicted
		case <-ctx.Done():
			return ctx.Err()
		}
		u.pause()
	}
}

// awaitTurn waits until n more bytes of a long body may arrive.
func (u *Upload) awaitTurn(ctx context.Context, n int) error {
	reservation := u.limiter.pace.ReserveN(time.Now(), n)
	delay := reservation.Delay()
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		u.pause()
		return nil
	case <-u.gone:
		reservation.Cancel()
		return ErrEvicted
	case <-ctx.Done():
		reservation.Cancel()
		return ctx.Err()
	}
}

// pause begins the measurement of the rate anew: the body was not read meanwhile.
func (u *Upload) pause() {
	u.limiter.mu.Lock()
	defer u.limiter.mu.Unlock()
	u.arrival.restart(time.Now())
}

// tryGrow takes memory for n more bytes if there is room. If not, it evicts another upload that
// has to make room, unless one is about to.
func (u *Upload) tryGrow(n int64) (ok bool, err error) {
	l := u.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.evicted {
		return false, ErrEvicted
	}
	if u.take(n) {
		u.awaitsLarge = false
		return true, nil
	}
	u.awaitsLarge = u.held()+n > smallBodyBytes
	if l.evicting > 0 {
		return false, nil
	}
	if victim := l.victimFor(u, n, time.Now()); victim != nil {
		l.evict(victim)
	}
	return false, nil
}

// evict takes the memory from an upload. The caller must hold l.mu.
func (l *Limiter) evict(u *Upload) {
	u.evicted = true
	close(u.gone)
	l.evicting++
	l.refused++
	u.interrupt()
}

// boundArriving evicts an upload if there are too many that have not arrived. The caller must hold
// l.mu.
func (l *Limiter) boundArriving(now time.Time) {
	if l.maxArriving <= 0 || len(l.uploads) < l.maxArriving {
		return
	}
	arriving := 0
	var slow, oldest *Upload
	for u := range l.uploads {
		if u.isComplete || u.evicted {
			continue
		}
		arriving++
		if oldest == nil || u.number < oldest.number {
			oldest = u
		}
		if u.arrival.isSlow(now) && (slow == nil || u.number < slow.number) {
			slow = u
		}
	}
	switch {
	case arriving < l.maxArriving:
	case slow != nil:
		l.evict(slow)
	default:
		l.evict(oldest)
	}
}

// take takes n bytes if there is room. The caller must hold limiter.mu.
func (u *Upload) take(n int64) bool {
	part, own := u.limiter.large, &u.large
	if u.held()+n <= smallBodyBytes {
		part, own = u.limiter.small, &u.small
	}
	if part == u.limiter.large && u.large == 0 && u.limiter.isAwaitedBefore(u) || !part.TryTake(n) {
		return false
	}
	*own += n
	return true
}

// isAwaitedBefore reports whether an older upload than u waits for bytes of the large part. The
// caller must hold l.mu.
func (l *Limiter) isAwaitedBefore(u *Upload) bool {
	for other := range l.uploads {
		if other.awaitsLarge && !other.evicted && other.number < u.number {
			return true
		}
	}
	return false
}

// held returns the bytes that the upload holds. The caller must hold limiter.mu.
func (u *Upload) held() int64 { return u.small + u.large }

// victimFor returns the upload that loses its memory to u, which needs n bytes; nil if u has to
// wait. The caller must hold l.mu.
func (l *Limiter) victimFor(u *Upload, n int64, now time.Time) *Upload {
	needsSmall := u.held()+n <= smallBodyBytes
	var slow *Upload
	heldBy := map[string]int64{u.owner: u.held() + n}
	newestOf := map[string]*Upload{}
	for v := range l.uploads {
		if v == u {
			continue
		}
		heldBy[v.owner] += v.held()
		isSlow := v.arrival.isSlow(now)
		if v.isComplete || v.large == 0 && (!isSlow || !needsSmall) {
			continue // A short body has little to give, and none for a long one.
		}
		if isSlow && (slow == nil || v.held() > slow.held()) {
			slow = v
		}
		if last := newestOf[v.owner]; last == nil || v.number > last.number {
			newestOf[v.owner] = v
		}
	}
	if slow != nil {
		return slow
	}
	owner := largest(heldBy)
	newest := newestOf[owner]
	if newest != nil && (owner != u.owner || newest.number > u.number) {
		return newest
	}
	return nil
}

// largest returns the owner that holds most; of several, the first by name.
func largest(heldBy map[string]int64) (owner string) {
	most := int64(-1)
	for name, held := range heldBy {
		if held > most || held == most && name < owner {
			owner, most = name, held
		}
	}
	return owner
}

// arrivalRate measures how fast a body arrives.
type arrivalRate struct {
	since   time.Time // Start of the current measurement.
	bytes   int       // Since then.
	wasSlow bool      // By the last complete measurement.
}

// add counts n bytes that have arrived.
func (r *arrivalRate) add(n int, now time.Time) {
	if now.Sub(r.since) >= rateWindow {
		r.wasSlow = r.measuredSlow(now)
		r.since, r.bytes = now, 0
	}
	r.bytes += n
}

// restart begins a new measurement.
func (r *arrivalRate) restart(now time.Time) { r.since, r.bytes = now, 0 }

// isSlow reports whether the body arrives more slowly than slowBytesPerSecond.
func (r *arrivalRate) isSlow(now time.Time) bool {
	if now.Sub(r.since) < rateWindow {
		return r.wasSlow
	}
	return r.measuredSlow(now)
}

func (r *arrivalRate) measuredSlow(now time.Time) bool {
	return float64(r.bytes) < slowBytesPerSecond*now.Sub(r.since).Seconds()
}
