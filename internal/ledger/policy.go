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
	// DefaultConservatism is the setting of a budget that has none. No setting can
	// overspend, and holders give tokens to whoever asks, so the refusals behind
	// a cut decide: docs/measurements/ledger.md.
	DefaultConservatism = 1.0
	// minHorizon and longHorizon are how long a grant should last at the
	// measured draw rate, for lean 0 and lean 1. Ten seconds is the least that
	// hides a slow log; an hour is the cut that the sites name.
	minHorizon = 10 * time.Second
	maxHorizon = time.Hour
	// rateTimeConstant is the time constant of the draw rate: long enough that one
	// burst does not size an hour, short enough to follow a shift of load.
	rateTimeConstant = time.Minute
	// minRequestsPerGrant is how many requests a grant has room for at least, so that
	// a slow budget does not append for each request.
	minRequestsPerGrant = 4
	// minRefillLevel and highestWater are the part of the target below which the
	// next grant is asked for, for lean 0 and lean 1. A holder that leans to
	// few refusals stays nearly full, since a cut may come at any moment.
	minRefillLevel = 0.25
	maxRefillLevel = 0.85
	// minIdleTime is how long a budget must rest before its grants go back.
	minIdleTime = 10 * time.Minute
	// maxFreeFactor times the target is what a holder keeps; what is above goes
	// back, so that a budget that falls idle strands little.
	maxFreeFactor = 2
)

// SizingInput is what a grant is sized by.
type SizingInput struct {
	ConsumptionRate float64 // Draw of this holder, tokens a second.
	RequestTokens   int64   // Worst case of the waiting request, or of the last one.
	FreeTokens      int64   // Tokens that this holder has free in its grants.
	UngrantedTokens int64   // Tokens of the budget in no grant.
	OtherHolders    int     // Other instances that hold grants of the budget.
	InitialGrant    int64   // Size where nothing is known about the draw.
	Conservatism    float64
}

// TargetFreeTokens returns how many free tokens a holder should have.
//
// Load: steady draw with a log or a zone that can go away for up to an hour.
// Harm prevented: refusals behind a cut (too small), tokens that nobody else
// can reach (too large). The horizon grows geometrically with the lean, since
// outages differ by orders of magnitude, not by seconds.
func TargetFreeTokens(d SizingInput) int64 {
	demand := int64(math.Min(d.ConsumptionRate*grantHorizon(d.Conservatism).Seconds(), float64(math.MaxInt64/4)))
	minimum := d.RequestTokens * minRequestsPerGrant
	if d.ConsumptionRate == 0 {
		minimum = max(minimum, d.InitialGrant)
	}
	return max(demand, minimum)
}

func grantHorizon(conservatism float64) time.Duration {
	ratio := float64(maxHorizon) / float64(minHorizon)
	return time.Duration(float64(minHorizon) * math.Pow(ratio, clamp01(conservatism)))
}

// IsIdle says whether a budget's grants should go back whole, since nothing was
// drawn for a while. Harm prevented: tokens stranded, and memory held, for
// budgets that nobody uses here any more.
func IsIdle(since time.Duration, conservatism float64) bool {
	return since > max(minIdleTime, grantHorizon(conservatism))
}

// GrantSize returns the size of the next grant, or 0 where none is due.
//
// Load: a budget near its end, drawn on by several holders. Harm prevented:
// the last tokens trapped with one holder while others refuse. A grant takes
// at most a share of what is left, so that the grants shrink geometrically;
// a holder that leans to few refusals takes half, one that leans to few
// stranded tokens an equal part of the half. A waiting request always gets its
// worst case if it is there.
func GrantSize(d SizingInput) int64 {
	demand := TargetFreeTokens(d) - d.FreeTokens
	divisor := 1 + float64(d.OtherHolders)*(1-clamp01(d.Conservatism))
	share := int64(float64(d.UngrantedTokens) / (2 * divisor))
	return min(max(min(demand, share), d.RequestTokens), d.UngrantedTokens)
}

// NeedsRefill says whether the next grant should be asked for now, before the free
// tokens run out.
func NeedsRefill(d SizingInput) bool {
	refillLevel := minRefillLevel + (maxRefillLevel-minRefillLevel)*clamp01(d.Conservatism)
	return float64(d.FreeTokens) < refillLevel*float64(TargetFreeTokens(d))
}

// ExcessTokens returns how many free tokens a holder should give back.
//
// Load: a holder whose draw has fallen. Harm prevented: tokens stranded with
// an idle holder. The factor keeps a holder from taking and giving in turns.
func ExcessTokens(d SizingInput) int64 {
	if maxFree := maxFreeFactor * TargetFreeTokens(d); d.FreeTokens > maxFree {
		return d.FreeTokens - maxFree
	}
	return 0
}

// ReleaseSize returns how many free tokens a holder gives to one that has none: what
// is asked for, or half of its own if that is more, so that a few exchanges
// even out any skew.
func ReleaseSize(free, requested int64) int64 { return min(free, max(requested, free/2)) }

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

// rateMeter measures tokens a second with an exponential window.
type rateMeter struct {
	decayed   float64
	startedAt time.Time
	updatedAt time.Time
}

func (r *rateMeter) add(now time.Time, tokens int64) {
	if r.startedAt.IsZero() {
		r.startedAt, r.updatedAt = now, now
	}
	r.decay(now)
	r.decayed = math.Max(0, r.decayed+float64(tokens)/rateTimeConstant.Seconds())
}

func (r *rateMeter) decay(now time.Time) {
	if passed := now.Sub(r.updatedAt); passed > 0 {
		r.decayed *= math.Exp(-float64(passed) / float64(rateTimeConstant))
		r.updatedAt = now
	}
}

// perSecond returns the rate; for the first window it is corrected for the
// time that was not yet measured.
func (r *rateMeter) perSecond(now time.Time) float64 {
	if r.startedAt.IsZero() {
		return 0
	}
	r.decay(now)
	age := max(now.Sub(r.startedAt), time.Second)
	return r.decayed / (1 - math.Exp(-float64(age)/float64(rateTimeConstant)))
}

func clamp01(x float64) float64 { return math.Min(1, math.Max(0, x)) }
