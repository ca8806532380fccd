package ledger

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

// Limits of the sizing decisions.
const (
	// DefaultLean is the setting of a budget that has none. No setting can
	// overspend, and holders give tokens to whoever asks, so the refusals behind
	// a cut decide: docs/measurements/ledger.md.
	DefaultLean = 1.0
	// shortHorizon and longHorizon are how long a grant should last at the
	// measured draw rate, for lean 0 and lean 1. Ten seconds is the least that
	// hides a slow log; an hour is the cut that the sites name.
	shortHorizon = 10 * time.Second
	longHorizon  = time.Hour
	// rateWindow is the time constant of the draw rate: long enough that one
	// burst does not size an hour, short enough to follow a shift of load.
	rateWindow = time.Minute
	// needsInGrant is how many requests a grant has room for at least, so that
	// a slow budget does not append for each request.
	needsInGrant = 4
	// lowestWater and highestWater are the part of the target below which the
	// next grant is asked for, for lean 0 and lean 1. A holder that leans to
	// few refusals stays nearly full, since a cut may come at any moment.
	lowestWater  = 0.25
	highestWater = 0.85
	// leastIdle is how long a budget must rest before its grants go back.
	leastIdle = 10 * time.Minute
	// keepFactor times the target is what a holder keeps; what is above goes
	// back, so that a budget that falls idle strands little.
	keepFactor = 2
)

// Demand is what a grant is sized by.
type Demand struct {
	Rate    float64 // Draw of this holder, tokens a second.
	Need    int64   // Worst case of the waiting request, or of the last one.
	Free    int64   // Tokens that this holder has free in its grants.
	Left    int64   // Tokens of the budget in no grant.
	Holders int     // Other instances that hold grants of the budget.
	First   int64   // Size where nothing is known about the draw.
	Lean    float64
}

// Target returns how many free tokens a holder should have.
//
// Load: steady draw with a log or a zone that can go away for up to an hour.
// Harm prevented: refusals behind a cut (too small), tokens that nobody else
// can reach (too large). The horizon grows geometrically with the lean, since
// outages differ by orders of magnitude, not by seconds.
func Target(d Demand) int64 {
	want := int64(math.Min(d.Rate*horizon(d.Lean).Seconds(), float64(math.MaxInt64/4)))
	least := d.Need * needsInGrant
	if d.Rate == 0 {
		least = max(least, d.First)
	}
	return max(want, least)
}

func horizon(lean float64) time.Duration {
	ratio := float64(longHorizon) / float64(shortHorizon)
	return time.Duration(float64(shortHorizon) * math.Pow(ratio, clamp01(lean)))
}

// Idle says whether a budget's grants should go back whole, since nothing was
// drawn for a while. Harm prevented: tokens stranded, and memory held, for
// budgets that nobody uses here any more.
func Idle(since time.Duration, lean float64) bool { return since > max(leastIdle, horizon(lean)) }

// GrantSize returns the size of the next grant, or 0 where none is due.
//
// Load: a budget near its end, drawn on by several holders. Harm prevented:
// the last tokens trapped with one holder while others refuse. A grant takes
// at most a share of what is left, so that the grants shrink geometrically;
// a holder that leans to few refusals takes half, one that leans to few
// stranded tokens an equal part of the half. A waiting request always gets its
// worst case if it is there.
func GrantSize(d Demand) int64 {
	want := Target(d) - d.Free
	others := 1 + float64(d.Holders)*(1-clamp01(d.Lean))
	share := int64(float64(d.Left) / (2 * others))
	return min(max(min(want, share), d.Need), d.Left)
}

// Low says whether the next grant should be asked for now, before the free
// tokens run out.
func Low(d Demand) bool {
	water := lowestWater + (highestWater-lowestWater)*clamp01(d.Lean)
	return float64(d.Free) < water*float64(Target(d))
}

// Excess returns how many free tokens a holder should give back.
//
// Load: a holder whose draw has fallen. Harm prevented: tokens stranded with
// an idle holder. The factor keeps a holder from taking and giving in turns.
func Excess(d Demand) int64 {
	if keep := keepFactor * Target(d); d.Free > keep {
		return d.Free - keep
	}
	return 0
}

// Gift returns how many free tokens a holder gives to one that has none: what
// is asked for, or half of its own if that is more, so that a few exchanges
// even out any skew.
func Gift(free, asked int64) int64 { return min(free, max(asked, free/2)) }

// ChooseWitness picks the witness of a grant: an instance that is not leaving
// and not in avoid, in the holder's zone if there is one, so that the pair
// stays whole behind a cut of the zone. Among equals a hash spreads holders
// over witnesses. It returns "" where no instance is left.
func ChooseWitness(self record.InstanceID, zone record.Zone, live []logstore.Instance, avoid func(record.InstanceID) bool) record.InstanceID {
	var best record.InstanceID
	var bestHash uint64
	bestNear := false
	for _, in := range live {
		if in.ID == self || in.Leaving || avoid(in.ID) {
			continue
		}
		near, hash := in.Zone == zone, xxhash.Sum64String(string(self)+"/"+string(in.ID))
		if best == "" || (near && !bestNear) || (near == bestNear && hash > bestHash) {
			best, bestHash, bestNear = in.ID, hash, near
		}
	}
	return best
}

// ChooseOwner picks the instance of a zone that preferably holds a budget's
// grants, by rendezvous hash of the budget's partition. It returns "" where
// the zone has no instance left.
func ChooseOwner(zone record.Zone, partition record.Stream, live []logstore.Instance, avoid func(record.InstanceID) bool) record.InstanceID {
	var best record.InstanceID
	var bestHash uint64
	for _, in := range live {
		if in.Zone != zone || in.Leaving || avoid(in.ID) {
			continue
		}
		hash := xxhash.Sum64String(string(partition) + "/" + string(in.ID))
		if best == "" || hash > bestHash {
			best, bestHash = in.ID, hash
		}
	}
	return best
}

// drawRate measures tokens a second with an exponential window.
type drawRate struct {
	value float64
	began time.Time
	last  time.Time
}

func (r *drawRate) note(now time.Time, tokens int64) {
	if r.began.IsZero() {
		r.began, r.last = now, now
	}
	r.decay(now)
	r.value = math.Max(0, r.value+float64(tokens)/rateWindow.Seconds())
}

func (r *drawRate) decay(now time.Time) {
	if passed := now.Sub(r.last); passed > 0 {
		r.value *= math.Exp(-float64(passed) / float64(rateWindow))
		r.last = now
	}
}

// perSecond returns the rate; for the first window it is corrected for the
// time that was not yet measured.
func (r *drawRate) perSecond(now time.Time) float64 {
	if r.began.IsZero() {
		return 0
	}
	r.decay(now)
	age := max(now.Sub(r.began), time.Second)
	return r.value / (1 - math.Exp(-float64(age)/float64(rateWindow)))
}

func clamp01(x float64) float64 { return math.Min(1, math.Max(0, x)) }
