package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleLimit closes callers' connections that idle longer than the desired state
// allows. net/http's own limit is fixed when a server starts.
type idleLimit struct {
	mu    sync.Mutex
	limit time.Duration
	since map[net.Conn]time.Time
}

func newIdleLimit(limit time.Duration) *idleLimit {
	return &idleLimit{limit: limit, since: map[net.Conn]time.Time{}}
}

func (l *idleLimit) set(limit time.Duration) {
	if limit <= 0 {
		limit = idleCallers
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// connState is the server's hook.
func (l *idleLimit) connState(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateIdle {
		l.since[c] = time.Now()
		return
	}
	delete(l.since, c)
}

func (l *idleLimit) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for c, since := range l.since {
		if now.Sub(since) > l.limit {
			delete(l.since, c)
			_ = c.Close()
		}
	}
}
