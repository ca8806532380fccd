package decide

// The elements of requestRow.heapIndex, one for each heap that a row is in.
const (
	expiryIndex = iota
	teamIndex
	blockedIndex
	heapCount
)

// requestRow is one request, from Submit until its refusal or Finish.
type requestRow struct {
	Request
	class       int
	sessionHash uint64
	pool        *pool // Nil until admitted.
	queue       *teamQueue
	heapIndex   [heapCount]int // The row's position in each heap.
	cancelled   bool
	waitList    *rowHeap // Where it is blocked; nil while it is in the order.
	blockedAt   Time

	submittedAt Time
	// latestStart is when it is too late to start the row.
	latestStart Time
	// aheadAtAdmission is how many requests were predicted to start before it at
	// admission, and startsAtAdmission the pool's count of starts at that time.
	aheadAtAdmission  float64
	startsAtAdmission uint64
	// preferred is the endpoint where the row is expected to run, set at
	// admission; nil if any endpoint will do.
	preferred *endpointRow
	// rank holds the session's first endpoints by rendezvous score, from the
	// endpoint table of rankGeneration.
	rank           [rankSize]*endpointRow
	rankGeneration uint64

	// The fields below are set when the row starts.
	endpoint           *endpointRow
	startedAt          Time
	firstTokenSeen     bool    // Its first token was recorded, or it ended.
	uncached           float64 // Prompt tokens expected to be computed.
	prefillBacklog     float64 // Uncached tokens at the endpoint at its start, its own included.
	expectedDuration   float64 // Seconds; see pool.expectedDuration.
	expectedFirstToken float64 // Seconds to the first token, without the observed delay.
}

// cost returns the work of a request in tokens, for the fair shares. A prompt
// token takes about a tenth of the time of a generated one, and each request
// has a fixed part. It must be positive, or a team could start requests
// without being charged.
func (r *requestRow) cost() float64 {
	const perRequest, promptPart = 32, 0.1
	return perRequest + promptPart*float64(max(r.PromptTokens, 0)) + float64(max(r.MaxTokens, 0))
}

// attemptNumber returns the number of the request's next start, from 1.
func (r *requestRow) attemptNumber() int { return max(r.Attempt, len(r.Avoid)+1) }

// rowHeap is a heap.Interface of rows by latestStart, and by ID where that is
// equal, so that the order is total.
type rowHeap struct {
	rows       []*requestRow
	indexField int // The element of requestRow.heapIndex that this heap maintains.
}

func (h *rowHeap) Len() int { return len(h.rows) }

func (h *rowHeap) Less(i, j int) bool {
	a, b := h.rows[i], h.rows[j]
	if a.latestStart != b.latestStart {
		return a.latestStart < b.latestStart
	}
	return a.ID < b.ID
}

func (h *rowHeap) Swap(i, j int) {
	h.rows[i], h.rows[j] = h.rows[j], h.rows[i]
	h.rows[i].heapIndex[h.indexField] = i
	h.rows[j].heapIndex[h.indexField] = j
}

// Push implements heap.Interface.
func (h *rowHeap) Push(x any) {
	row := x.(*requestRow)
	row.heapIndex[h.indexField] = len(h.rows)
	h.rows = append(h.rows, row)
}

// Pop implements heap.Interface.
func (h *rowHeap) Pop() any {
	last := len(h.rows) - 1
	row := h.rows[last]
	h.rows[last] = nil
	h.rows = h.rows[:last]
	return row
}
