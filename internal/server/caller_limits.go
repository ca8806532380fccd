package server

const (
	// maxCallerConns is the most connections of callers that are open. A new one ends the one
	// that has gone longest without a request.
	maxCallerConns = 1024
	// minBodyMemoryBytes is the least memory for the bodies of requests. There is room for
	// minLargestBodies of the largest size; each takes several times its size while it is parsed.
	minBodyMemoryBytes, minLargestBodies = 16 << 20, 3
	// maxOperatorHeaderBytes bounds the header of an operator's request.
	maxOperatorHeaderBytes = 16 << 10
)
