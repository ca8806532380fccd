package decide

// The index fields of a requestRow, one for each heap it is in.
const (
	expiryIndex = iota
	teamIndex
	blockedIndex
	heapCount
)

// requestRow is one request, from Submit to its refusal or Finish.
type requestRow struct {
	Request
	class       int
	sessionHash uint64
	pool        *pool // Nil until admitted.
	queue       *teamQueue
	heapIndex   [heapCount]int
	cancelled   bool
	waitList    *rowHeap // Where it is parked; nil while it is in the order.
	blockedAt   Time

	submittedAt Time
	latestStart Time
	// aheadAtAdmission is how many requests were before it at admission, and startedThen
	// the pool's count of starts at that time.
	aheadAtAdmission  float64
	startsAtAdmission uint64
	// preferred is where the row is expected to run, from its admission on; nil if
	// any endpoint will do.
	preferred *endpointRow
	// rank holds the session's endpoints by rendezvous score, for the
	// endpoint table of rankGeneration.
	rank           [rankSize]*endpointRow
	rankGeneration uint64

	// Set by start.
	endpoint           *endpointRow
	startedAt          Time
	firstTokenSeen     bool    // Its first token came.
	uncached           float64 // Prompt tokens expected to be computed.
	prefillBacklog     float64 // Uncached tokens in the endpoint, its own included.
	expectedDuration   float64 // Seconds from start to end that its peers would take.
	expectedFirstToken float64 // Seconds to the first token, without delay.
}

// cost is the work of a request in tokens, for fair shares. A prompt token
// takes about a tenth of a generated one on an engine, and each request has a
// fixed part. It must be positive, or a team could run without being charged.
func (r *requestRow) cost() float64 {
	const perRequest, promptPart = 32, 0.1
	return perRequest + promptPart*float64(max(r.PromptTokens, 0)) + float64(max(r.MaxTokens, 0))
}

// attemptNumber returns which start of the request this would be, from 1.
func (r *requestRow) attemptNumber() int { return max(r.Attempt, len(r.Avoid)+1) }

// rowHeap is a heap.Interface of rows by latest start, ties by identity, so
// that the order is total.
type rowHeap struct {
	rows       []*requestRow
	indexField int // Which of the row's index fields this heap keeps.
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
