// Package server assembles an instance from its components, runs it and shuts it
// down.
package server

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"guavapier/internal/callers"
	"guavapier/internal/claim"
	"guavapier/internal/dispatch"
	"guavapier/internal/entry"
	"guavapier/internal/fold"
	"guavapier/internal/ledger"
	"guavapier/internal/logstore"
	"guavapier/internal/membership"
	"guavapier/internal/membudget"
	"guavapier/internal/metrics"
	"guavapier/internal/peer"
	"guavapier/internal/record"
	"guavapier/internal/relay"
	"guavapier/internal/replica"
	"guavapier/internal/run"
	"guavapier/internal/session"
	"guavapier/internal/settings"
	"guavapier/internal/state"
	"guavapier/internal/upload"
)

// Secrets holds the contents of the secret files: the keys that sign sessions and
// the operators' token.
type Secrets struct {
	Sessions session.Keyring
	Operator string
}

const (
	publishRetryInterval = 50 * time.Millisecond
	maxRecordsPerBatch   = 1000
	drainTimeout         = 24 * time.Hour // Shutdown must not interrupt even the longest answers.
)

// Server is one instance. Create it with New and call Run once.
type Server struct {
	id       record.InstanceID
	settings settings.Settings
	secrets  Secrets
	log      zerolog.Logger

	client     *logstore.Client
	publisher  *logstore.Publisher
	config     *replica.Replica[*fold.Config]
	partitions ledger.Partitions
	subscriber *logstore.Subscriber
	dispatcher *dispatch.Dispatcher
	clients    *endpointClients
	endpoints  *endpointTable
	members    *membership.Members
	pool       *peer.Pool
	peerServer *peer.Server
	relay      *relay.Log
	budgets    *ledger.Ledger
	holder     *claim.Holder
	claims     *claim.Client
	runner     *run.Runner
	draining   atomic.Bool
	inFlight   atomic.Int64 // Callers' requests that are not completely answered.
	// The components register their state tables and metrics here.
	tables  *state.Registry
	metrics *metrics.Registry

	links             linkTLS
	callers           *callers.Connections
	operatorsListener net.Listener
	peersListener     net.Listener
}

// New assembles an instance and binds its addresses. It returns the error of an
// unusable certificate file or address.
func New(s settings.Settings, secrets Secrets, log zerolog.Logger) (*Server, error) {
	srv := &Server{id: record.NewInstanceID(s.Instance.Name), settings: s, secrets: secrets, log: log, tables: state.New(), metrics: metrics.New()}
	var err error
	if srv.links, err = srv.newLinkTLS(); err != nil {
		return nil, err
	}
	if err := srv.listen(); err != nil {
		return nil, err
	}
	srv.client = logstore.NewClient(s.Platform.URL, s.Platform.Timeout.D())
	if srv.links.requiresTLS(settings.InterfacePlatform) {
		srv.client.SetTLSDialer(srv.links.outsideCA.Dial)
	}
	srv.publisher = logstore.NewPublisher(srv.client, srv.id, logstore.PublisherOptions{
		Linger: s.Ledger.Linger.D(), RetryInterval: publishRetryInterval, MaxRecords: maxRecordsPerBatch,
	})
	srv.config = replica.New(record.ConfigStream, fold.NewConfig())
	for n := range s.Ledger.Partitions {
		srv.partitions = append(srv.partitions, replica.New(record.LedgerStream(n), fold.NewLedger()))
	}
	srv.dispatcher = dispatch.NewWithOptions(placementOptions(s, srv.id))
	if err := srv.initPeers(); err != nil {
		return nil, err
	}
	srv.subscriber = logstore.NewSubscriber(srv.relay, srv.resumeOffset)
	srv.clients = newEndpointClients(s.Limits, srv.links, srv.endpoints, srv.dispatcher)
	srv.tables.Register("endpoint_answers", func() any { return srv.clients.counts.Snapshot() })
	if err := srv.initLedger(); err != nil {
		return nil, err
	}
	if err := srv.initClaims(); err != nil {
		return nil, err
	}
	srv.runner = &run.Runner{
		Claims: srv.claims, Budgets: srv.budgets,
		Placer: srv.dispatcher, Endpoints: srv.endpoints,
		Engines: srv.clients.engines, Services: srv.clients.services,
		RunFinder: srv.newRunFinder(), RepeatRules: repeatRules{srv.config}, Limits: runLimits(s.Limits), OnEndpointLeaving: srv.setEndpointLeaving,
		OnError: func(err error) { log.Error().Err(err).Msg("run: background error") },
		Log:     log,
	}
	srv.registerTables()
	return srv, nil
}

// listen binds the addresses for callers, operators and peers.
func (s *Server) listen() error {
	listener, err := net.Listen("tcp", s.settings.Instance.Callers)
	if err != nil {
		return eris.Wrap(err, "server: listen for callers; give another address if this one is taken")
	}
	s.callers = callers.New(listener.(*net.TCPListener), 0, nil, nil) // http.Server's IdleTimeout closes idle connections.
	s.callers.SetLimits(callers.Limits{MaxConnections: maxCallerConns})
	if s.operatorsListener, err = net.Listen("tcp", s.settings.Instance.Operators); err != nil {
		return eris.Wrap(err, "server: listen for operators; give another address if this one is taken")
	}
	return s.listenPeers()
}

// CallersAddr returns the bound address for callers.
func (s *Server) CallersAddr() string { return s.callers.Addr().String() }

// OperatorsAddr returns the bound address for operators.
func (s *Server) OperatorsAddr() string { return s.operatorsListener.Addr().String() }

// Run serves until ctx is done, then drains: it answers the requests in flight,
// hands over claim shards and returns grants. It returns nil after a regular
// shutdown.
func (s *Server) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callerServer := entry.NewServer(s.callersHandler())
	callerServer.ConnState = s.callers.ConnState
	operatorServer := &http.Server{Handler: s.operatorsHandler(), ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: maxOperatorHeaderBytes}
	var group errgroup.Group
	group.Go(func() error { return s.followStreams(background) })
	group.Go(func() error { s.snapshotWriter().Run(background); return nil })
	group.Go(func() error { s.clients.poller.Run(background); return nil })
	group.Go(func() error { s.members.Run(background, s.pool); return nil })
	group.Go(func() error { s.holder.Run(background); return nil })
	group.Go(func() error {
		return s.peerServer.Serve(s.links.wrapListener(settings.InterfacePeers, s.peersListener))
	})
	group.Go(func() error {
		return ignoreClosed(callerServer.Serve(s.links.wrapListener(settings.InterfaceCallers, s.callers)))
	})
	group.Go(func() error {
		return ignoreClosed(operatorServer.Serve(s.links.wrapListener(settings.InterfaceOperators, s.operatorsListener)))
	})
	s.log.Info().Str("id", string(s.id)).Str("callers", s.CallersAddr()).Str("operators", s.OperatorsAddr()).
		Str("peers", s.PeersAddr()).Msg("server: serving")
	group.Go(func() error { return s.budgets.Run(background) })
	<-ctx.Done()
	s.drain(operatorServer)
	s.handOverClaimShards()
	s.returnGrants()
	stop()
	s.closePeers()
	s.holder.Close()
	s.dispatcher.Close()
	err := group.Wait()
	_ = s.publisher.Close()
	s.log.Info().Msg("server: stopped")
	return err
}

// drain stops accepting connections from callers and waits, up to drainTimeout,
// until the open ones are answered and closed. Then it waits for the cleanup of
// their runs and stops the operators' interface.
func (s *Server) drain(operatorServer *http.Server) {
	s.draining.Store(true)
	s.log.Info().Msg("server: draining")
	drainCtx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	// Not http.Server.Shutdown, which drops requests that are read after its call.
	if err := s.callers.Drain(drainCtx); err != nil {
		s.log.Warn().Err(err).Msg("server: connections still open at the end of the drain, their requests are cut off")
	}
	s.runner.Close()
	_ = operatorServer.Shutdown(drainCtx)
}

// self returns this instance's row of the instance list, as announced to the
// platform.
func (s *Server) self() logstore.Instance {
	return logstore.Instance{
		ID: s.id, Zone: record.Zone(s.settings.Instance.Zone), Peer: s.PeersAddr(), Leaving: s.draining.Load(),
		Applied: s.config.NextOffset(),
	}
}

// callersHandler returns the handler of the callers' interface.
func (s *Server) callersHandler() http.Handler {
	limits := s.settings.Limits
	c := &entry.API{
		Zone: record.Zone(s.settings.Instance.Zone), Config: s.config, SessionKeys: s.secrets.Sessions, Runner: s.runner,
		Uploads:         s.newUploads(),
		SessionRegistry: session.Registry{Log: s.publisher, Partitions: s.partitions},
		Limits: entry.Limits{
			MaxBodyBytes: limits.BodyBytes, MaxAnswerBytes: int(limits.AnswerBytes), MaxTokens: limits.MaxTokens,
			MinPromptBytesPerToken: limits.PromptBytesPerToken, BodyReadTimeout: callerReadTimeout, WriteTimeout: callerWriteTimeout, HeartbeatInterval: callerHeartbeatInterval,
			FirstTokenTimeout: limits.FirstToken.D(), ServiceAnswerTimeout: limits.ServiceAnswer.D(),
		},
		IsReady: func() bool { return !s.draining.Load() && s.members.HasList() && s.isCurrent() },
	}
	return s.metrics.Instrument(metrics.CallersHTTP, s.countInFlight(c.Handler()))
}

// newUploads returns the limiter of the memory for bodies.
func (s *Server) newUploads() *upload.Limiter {
	const shortShare, longShare = 0.25, 0.5
	memory := membudget.New(max(minBodyMemoryBytes, minLargestBodies*s.settings.Limits.BodyBytes))
	return upload.NewLimiter(memory.NewPart(shortShare), memory.NewPart(longShare), 0, maxCallerConns/2)
}

// countInFlight wraps a handler so that InFlight counts its requests.
func (s *Server) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// InFlight returns the number of callers' requests that are not completely
// answered.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// ignoreClosed returns nil for http.ErrServerClosed, else err.
func ignoreClosed(err error) error {
	if eris.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
