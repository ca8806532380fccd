package gateway

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"guavapier/internal/callers"
	"guavapier/internal/linkload"
	"guavapier/internal/membudget"
	"guavapier/internal/route"
	"guavapier/internal/spool"
	"guavapier/internal/upload"
)

const (
	// heldMemoryRatio is the share of gateway.memory_mb that is held for callers, of their
	// requests and answers together. The rest is for the instance itself, for connections and
	// for garbage.
	heldMemoryRatio = 0.25
	// shortBodiesShare, longBodiesShare, headsShare and answersShare are the parts of that
	// memory that are reserved for one use.
	shortBodiesShare, longBodiesShare, headsShare, answersShare = 0.15, 0.25, 0.1, 0.25
	// longBodiesLinkRatio is the share of the link that long bodies may take. With what is not
	// counted of them it stays below the load from which on callers are sent elsewhere.
	longBodiesLinkRatio = 0.35

	// connectionMemoryRatio is the share of gateway.memory_mb for callers' connections, and
	// connectionBytes what one takes: its buffers and the stacks of its goroutines.
	connectionMemoryRatio, connectionBytes = 0.3, 24 << 10
	// reservedDescriptors are set aside for files, and callerDescriptorRatio is the share of the
	// others for callers' connections. Endpoints, the store and other instances need the rest.
	reservedDescriptors, callerDescriptorRatio = 200, 0.6
	// minCallerConns is the least bound of callers' connections.
	minCallerConns = 16
	// maxReadyConns and maxOperatorConns bound the connections to the other two addresses.
	maxReadyConns, maxOperatorConns = 256, 64
	// maxSmallHeaderBytes bounds the header of a request to the other two addresses.
	maxSmallHeaderBytes = 4 << 10
	// smallRequestTimeout bounds the arrival of a request there, with its body, and
	// smallAnswerTimeout the time until the answer has been taken.
	smallRequestTimeout, smallAnswerTimeout = 3 * time.Second, 30 * time.Second

	// receiveBufferBytes bounds what the kernel holds of the bytes of a connection that have not
	// been read. They count as memory of the instance.
	receiveBufferBytes = 32 << 10
)

// divideMemory divides the memory for what is held of requests and answers.
func (g *Gateway) divideMemory() {
	memory := membudget.New(int64(float64(g.settings.Gateway.MemoryMB<<20) * heldMemoryRatio))
	bodiesPace := longBodiesLinkRatio * g.settings.Gateway.LinkMbps * linkload.BytesPerMbit
	g.uploads = upload.NewLimiter(memory.NewPart(shortBodiesShare), memory.NewPart(longBodiesShare), bodiesPace, g.maxCallerConns()/2)
	g.slowReaders = spool.NewSharedLimiter(memory.NewPart(answersShare))
	g.headMemory = memory.NewPart(headsShare)
}

// maxCallerConns returns how many connections callers may have, by the memory and the file
// descriptors of the instance.
func (g *Gateway) maxCallerConns() int {
	instance := g.settings.Gateway
	limit := float64(instance.MemoryMB<<20) * connectionMemoryRatio / connectionBytes
	if instance.MaxDescriptors > 0 {
		limit = min(limit, float64(instance.MaxDescriptors-reservedDescriptors)*callerDescriptorRatio)
	}
	return max(minCallerConns, int(limit))
}

// wrapListeners limits what callers can take through the listeners for HTTP.
func (g *Gateway) wrapListeners() {
	g.callerConns = callers.New(g.callersListener.(*net.TCPListener), defaultCallerIdleTimeout, &g.linkMeter, g.logExpiry)
	g.callerConns.SetLimits(callers.Limits{MaxConnections: g.maxCallerConns(), Heads: g.headMemory})
	g.readyConns = callers.New(g.readyListener.(*net.TCPListener), defaultCallerIdleTimeout, nil, nil)
	g.readyConns.SetLimits(callers.Limits{MaxConnections: maxReadyConns, Heads: g.headMemory})
	g.operatorConns = callers.New(g.operatorsListener.(*net.TCPListener), defaultCallerIdleTimeout, nil, nil)
	g.operatorConns.SetLimits(callers.Limits{MaxConnections: maxOperatorConns, Heads: g.headMemory})
}

// refuseBodies wraps a handler for requests without a body. The rest of a request that has one is
// not read.
func refuseBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // Fails only if the connection is closed.
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// newSmallServer returns a server for short requests without a body.
func newSmallServer(handler http.Handler, conns *callers.Connections) *http.Server {
	return &http.Server{
		Handler: refuseBodies(handler), ConnState: conns.ConnState, MaxHeaderBytes: maxSmallHeaderBytes,
		ReadTimeout: smallRequestTimeout, WriteTimeout: smallAnswerTimeout, IdleTimeout: defaultCallerIdleTimeout,
	}
}

// closeIdleConns closes connections that have waited too long for a request.
func (g *Gateway) closeIdleConns() {
	g.callerConns.CloseIdle()
	g.readyConns.CloseIdle()
	g.operatorConns.CloseIdle()
}

// limitCounts tells how often clients met the limits of the instance.
type limitCounts struct {
	callers, ready, operators callers.LimitCounts
	refusedBodies             int64
}

// logLimits logs how often the limits were met since the counts that were logged last, and returns
// the new ones.
func (g *Gateway) logLimits(logged limitCounts) limitCounts {
	now := limitCounts{
		callers: g.callerConns.Counts(), ready: g.readyConns.Counts(), operators: g.operatorConns.Counts(),
		refusedBodies: g.uploads.Refused(),
	}
	if now != logged {
		g.sampledLog.Warn().Int64("evicted", now.callers.Evicted-logged.callers.Evicted).Int64("rejected", now.callers.Rejected-logged.callers.Rejected).
			Int64("refused_heads", now.callers.RefusedHeads-logged.callers.RefusedHeads).Int64("refused_bodies", now.refusedBodies-logged.refusedBodies).
			Int64("ready_evicted", now.ready.Evicted-logged.ready.Evicted).Int64("operators_evicted", now.operators.Evicted-logged.operators.Evicted).
			Int("connections", g.callerConns.Len()).Int64("held_bodies", g.uploads.Held()).Msg("gateway: clients met limits")
	}
	return now
}

// headerTimeoutMargin is added to the time that the desired state allows for a header: bytes that
// were sent in time may be held up on the way.
const headerTimeoutMargin = 2 * time.Second

// applyLimits puts the limits of a desired state in force that apply before a request is read.
func (g *Gateway) applyLimits(limits route.Limits) {
	timeout := limits.HeaderTimeout
	if timeout > 0 {
		timeout += headerTimeoutMargin
	}
	g.callerConns.SetHeaderLimits(limits.MaxHeaderBytes, timeout)
}

// limitReceiveBuffer is the Control function of a listener whose connections inherit the limit.
func limitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
