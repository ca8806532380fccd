// Package sendcost weighs sending a request to an endpoint: what its caller waits for, and what it
// costs the callers of other requests there. It has no clock and does no I/O. All values are in
// milliseconds, so that one can be traded for the other.
//
// It answers a fleet whose endpoints differ in speed and room, under a load of long and short
// prompts: long prompts go to endpoints that are fast and have room, and short ones of which the
// answer is due at once are not put behind them.
package sendcost

// Endpoint is the load of an endpoint before the request.
type Endpoint struct {
	Slots    int // Requests that it runs concurrently; 0 if unknown.
	Requests int // Sent to it and not ended.
	Waiting  int // Of Requests, those whose answers have not started.
	// QueueMS is the time for the prompts of the waiting ones.
	QueueMS float64
	// HoldMS is how long a request holds its place on average.
	HoldMS float64
	// UsedTokens is the memory that its requests may take at most, TotalTokens all of it; 0 if
	// unknown.
	UsedTokens, TotalTokens int64
	MSPerToken              float64 // For reading a token.
}

// Request is a request as the endpoint would run it.
type Request struct {
	BaseMS    float64 // Until the first token if there were nothing to read.
	PrefillMS float64 // Computing and fetching the parts of the prompt that are not held.
	// SharedMS is the part of PrefillMS for parts that another endpoint may hold.
	SharedMS float64
	TargetMS float64 // Time left until the answer is of less use; 0 for none.
	Tokens   int64   // Memory that it may take at most.
	// Saturated states that so many places of the service are taken that many endpoints are full.
	Saturated bool
}

// Cost is the cost of sending a request to an endpoint.
type Cost struct {
	FirstTokenMS float64 // Expected time until the answer begins.
	LateMS       float64 // What its caller loses if that is after the target.
	DelayMS      float64 // Of the requests that run or wait there.
	PlaceMS      float64 // Of the requests that will want the place.
	MemoryMS     float64 // Of the requests that have to yield their memory.
	SharedMS     float64 // Of reading parts once more that another endpoint may hold.
}

const (
	// streamDelayShare is what a delay of a running stream counts in relation to one of an
	// answer that has not begun.
	streamDelayShare = 0.1
	// certainShare is the share of the target within which an answer hardly begins late, even
	// if the endpoint slows down; from lateShare on it nearly always does.
	certainShare, lateShare = 0.4, 1.1
	// sharedWeight multiplies the time for reading or fetching parts that another endpoint may
	// hold: it takes room from other cached parts and time from other prompts.
	sharedWeight = 8.0
	// saturatedSharedWeight replaces sharedWeight in a saturated service, where all requests wait
	// for the time that such a reading takes.
	saturatedSharedWeight = 240.0
	// TooLargeMS is the cost of an endpoint that can't hold the request at all.
	TooLargeMS = 1e6
)

// Total returns the sum.
func (c Cost) Total() float64 { return c.FirstTokenMS + c.LateMS + c.OthersMS() }

// OthersMS returns the cost to the callers of other requests.
func (c Cost) OthersMS() float64 { return c.DelayMS + c.PlaceMS + c.MemoryMS + c.SharedMS }

// Of returns the cost of sending the request to the endpoint.
func Of(r Request, e Endpoint) Cost {
	var c Cost
	c.FirstTokenMS = e.WaitMS() + r.BaseMS + r.PrefillMS
	if r.TargetMS > 0 {
		c.LateMS = r.TargetMS * lateProbability(c.FirstTokenMS/r.TargetMS)
	}
	running := float64(max(0, e.Requests-e.Waiting))
	c.DelayMS = r.PrefillMS * (float64(e.Waiting) + streamDelayShare*running)
	c.PlaceMS = e.PlaceMS()
	c.MemoryMS = memoryMS(r, e)
	c.SharedMS = sharedWeight * r.SharedMS
	if r.Saturated {
		c.SharedMS = saturatedSharedWeight * r.SharedMS
	}
	return c
}

// lateProbability estimates how likely an answer begins late that is expected after this share of
// the time that is left for it.
func lateProbability(share float64) float64 {
	x := min(max((share-certainShare)/(lateShare-certainShare), 0), 1)
	return x * x
}

// WaitMS returns how long a request waits until its prompt is read.
func (e Endpoint) WaitMS() float64 {
	wait := e.QueueMS
	if excess := e.Requests + 1 - e.Slots; e.Slots > 0 && excess > 0 {
		wait += float64(excess) * e.HoldMS / float64(e.Slots)
	}
	return wait
}

// PlaceMS returns the cost of taking one of the endpoint's places: half of the time for which the
// next request would be without one, times the probability that all are taken by then. That is near 0
// until half of them are and then rises steeply.
func (e Endpoint) PlaceMS() float64 {
	if e.Slots <= 0 {
		return 0
	}
	taken := min(1, float64(e.Requests+1)/float64(e.Slots))
	cubed := taken * taken * taken
	return e.HoldMS / 2 * cubed * cubed
}

// OccupancyMS returns the part of the cost that is the same for all requests.
func (e Endpoint) OccupancyMS() float64 { return e.WaitMS() + e.PlaceMS() }

// memoryMS returns the time for reading again what has to yield.
func memoryMS(r Request, e Endpoint) float64 {
	if e.TotalTokens <= 0 {
		return 0
	}
	if r.Tokens > e.TotalTokens {
		return TooLargeMS
	}
	return float64(max(0, e.UsedTokens+r.Tokens-e.TotalTokens)) * e.MSPerToken
}
