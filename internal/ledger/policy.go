package ledger

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavapier/internal/logstore"
	"guavapier/internal/record"
)

// Parameters of grant sizing.
const (
	// DefaultConservatism applies to budgets without the setting. No value can
	// cause overspending, and holders release tokens on request, so the
	// refusals during a network partition decide: see
	// docs/measurements/ledger.md.
	DefaultConservatism = 1.0
	// minHorizon and maxHorizon are how long a grant should last at the
	// current consumption rate, for conservatism 0 and 1. Anything shorter
	// than ten seconds exposes requests to a slow log; sites expect network
	// partitions of up to an hour.
	minHorizon = 10 * time.Second
	maxHorizon = time.Hour
	// rateTimeConstant is the time constant of the consumption rate. It is
	// long enough that a single burst doesn't size an hour's grant, and short
	// enough to follow shifts of load.
	rateTimeConstant = time.Minute
	// minRequestsPerGrant is the minimum number of requests that a grant has
	// room for. It keeps a budget with little load from appending a grant per
	// request.
	minRequestsPerGrant = 4
	// minRefillLevel and maxRefillLevel are the fraction of the target below
	// which a refill starts, for conservatism 0 and 1. A conservative holder
	// stays nearly full, since a network partition may begin at any time.
	minRefillLevel = 0.25
	maxRefillLevel = 0.85
	// minIdleTime is the minimum time without use after which an instance
	// returns a budget's grants.
	minIdleTime = 10 * time.Minute
	// maxFreeFactor times the target is the most that a holder keeps free. It
	// returns the rest, so that a budget whose load ends strands few tokens.
	maxFreeFactor = 2
)

// SizingInput holds the quantities that determine the size of a grant. Tokens
// are counted for one budget.
type SizingInput struct {
	ConsumptionRate float64 // This holder's consumption in tokens per second.
	RequestTokens   int64   // Tokens of the waiting request, otherwise of the latest one.
	FreeTokens      int64   // Free tokens in this holder's grants.
	UngrantedTokens int64   // Tokens of the budget that are in no grant.
	OtherHolders    int     // Number of other instances with unbilled tokens in grants.
	InitialGrant    int64   // Tokens to hold if the consumption rate is unknown.
	Conservatism    float64 // From 0 (strand few tokens) to 1 (refuse few requests).
}

// TargetFreeTokens returns how many free tokens a holder should have.
//
// The target covers steady consumption while the log or the zone is
// unreachable for up to an hour. A smaller one causes refusals during a
// network partition; a larger one holds tokens that no other instance can use.
// The horizon grows geometrically with conservatism, since outages differ by
// orders of magnitude.
func TargetFreeTokens(d SizingInput) int64 {
	demand := int64(math.Min(d.ConsumptionRate*grantHorizon(d.Conservatism).Seconds(), float64(math.MaxInt64/4)))
	minimum := d.RequestTokens * minRequestsPerGrant
	if d.ConsumptionRate == 0 {
		minimum = max(minimum, d.InitialGrant)
	}
	return max(demand, minimum)
}

// grantHorizon returns how long a grant should last, from minHorizon to
// maxHorizon.
func grantHorizon(conservatism float64) time.Duration {
	ratio := float64(maxHorizon) / float64(minHorizon)
	return time.Duration(float64(minHorizon) * math.Pow(ratio, clamp01(conservatism)))
}

// IsIdle reports whether all grants of a budget should be returned because the
// budget hasn't been used for the given time. Otherwise they would strand
// tokens and occupy memory for budgets that this instance no longer serves.
func IsIdle(since time.Duration, conservatism float64) bool {
	return since > max(minIdleTime, grantHorizon(conservatism))
}

// GrantSize returns the size of the next grant in tokens, or 0 if none is
// needed.
//
// A grant takes at most a share of the ungranted tokens, so grants shrink
// geometrically towards the end of a budget. Otherwise one of several holders
// could keep the last tokens while the others refuse requests. With
// conservatism 1 the share is half of them, with 0 it is that half divided
// equally among the holders. A waiting request always gets its tokens if there
// are that many.
func GrantSize(d SizingInput) int64 {
	demand := TargetFreeTokens(d) - d.FreeTokens
	divisor := 1 + float64(d.OtherHolders)*(1-clamp01(d.Conservatism))
	share := int64(float64(d.UngrantedTokens) / (2 * divisor))
	return min(max(min(demand, share), d.RequestTokens), d.UngrantedTokens)
}

// NeedsRefill reports whether the next grant should be requested now, before
// the free tokens run out.
func NeedsRefill(d SizingInput) bool {
	refillLevel := minRefillLevel + (maxRefillLevel-minRefillLevel)*clamp01(d.Conservatism)
	return float64(d.FreeTokens) < refillLevel*float64(TargetFreeTokens(d))
}

// ExcessTokens returns how many free tokens a holder should return.
//
// A holder whose load has fallen would otherwise strand tokens. The margin of
// maxFreeFactor prevents it from alternately requesting and returning grants.
func ExcessTokens(d SizingInput) int64 {
	if maxFree := maxFreeFactor * TargetFreeTokens(d); d.FreeTokens > maxFree {
		return d.FreeTokens - maxFree
	}
	return 0
}

// ReleaseSize returns how many of its free tokens a holder releases to another
// that needs them: the requested number, or half of the free ones if that is
// more. A few exchanges then even out any imbalance.
func ReleaseSize(free, requested int64) int64 { return min(free, max(requested, free/2)) }

// ChooseWitness returns the witness for a grant: an instance that isn't
// leaving and for which avoid returns false. It prefers the holder's zone, so
// that a network partition between zones doesn't separate holder and witness.
// Among equal candidates a hash distributes holders over witnesses. It returns
// "" if there is no candidate.
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

// ChooseOwner returns the preferred holder of a budget's grants in a zone, by
// rendezvous hashing on the budget's partition. It skips instances that are
// leaving or for which avoid returns true, and returns "" if there is no
// candidate.
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

// rateMeter measures a rate in tokens per second with an exponentially
// decaying window.
type rateMeter struct {
	decayed   float64   // Decayed sum of tokens, divided by rateTimeConstant.
	startedAt time.Time // Time of the first call to add.
	updatedAt time.Time // Time of the latest decay.
}

// add records consumed tokens; a negative number takes back unused ones.
func (r *rateMeter) add(now time.Time, tokens int64) {
	if r.startedAt.IsZero() {
		r.startedAt, r.updatedAt = now, now
	}
	r.decay(now)
	r.decayed = math.Max(0, r.decayed+float64(tokens)/rateTimeConstant.Seconds())
}

// decay ages the sum to the given time.
func (r *rateMeter) decay(now time.Time) {
	if passed := now.Sub(r.updatedAt); passed > 0 {
		r.decayed *= math.Exp(-float64(passed) / float64(rateTimeConstant))
		r.updatedAt = now
	}
}

// perSecond returns the rate. Soon after the first call to add it is scaled
// up, since the window is only partly covered.
func (r *rateMeter) perSecond(now time.Time) float64 {
	if r.startedAt.IsZero() {
		return 0
	}
	r.decay(now)
	age := max(now.Sub(r.startedAt), time.Second)
	return r.decayed / (1 - math.Exp(-float64(age)/float64(rateTimeConstant)))
}

func clamp01(x float64) float64 { return math.Min(1, math.Max(0, x)) }
