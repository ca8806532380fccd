// Package server puts one instance together, starts it and drains it.
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
	"guavapier/internal/metrics"
	"guavapier/internal/peer"
	"guavapier/internal/record"
	"guavapier/internal/relay"
	"guavapier/internal/replica"
	"guavapier/internal/run"
	"guavapier/internal/session"
	"guavapier/internal/settings"
	"guavapier/internal/state"
)

// Secrets are the contents of the secrets files.
type Secrets struct {
	Sessions session.Keyring
	Operator string
}

const (
	publisherRetry   = 50 * time.Millisecond
	publisherRecords = 1000
	shutdownPatience = 24 * time.Hour // Long reports are never cut off by a drain.
)

// Server is one instance.
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
	inFlight   atomic.Int64 // Callers' requests that have no whole answer yet.
	// tables and metrics are where each part registers what it shows.
	tables  *state.Registry
	metrics *metrics.Registry

	links     links
	callers   *callers.Connections
	operators net.Listener
	peers     net.Listener
}

// New puts an instance together and binds its addresses.
func New(s settings.Settings, secrets Secrets, log zerolog.Logger) (*Server, error) {
	srv := &Server{id: record.NewInstanceID(s.Instance.Name), settings: s, secrets: secrets, log: log, tables: state.New(), metrics: metrics.New()}
	var err error
	if srv.links, err = srv.newLinks(); err != nil {
		return nil, err
	}
	if err := srv.listen(); err != nil {
		return nil, err
	}
	srv.client = logstore.NewClient(s.Platform.URL, s.Platform.Timeout.D())
	if srv.links.secured(settings.LinkPlatform) {
		srv.client.Secure(srv.links.outside.Dial)
	}
	srv.publisher = logstore.NewPublisher(srv.client, srv.id, logstore.PublisherOptions{
		Linger: s.Ledger.Linger.D(), RetryEvery: publisherRetry, MaxRecords: publisherRecords,
	})
	srv.config = replica.New(record.ConfigStream, fold.NewConfig())
	for n := range s.Ledger.Partitions {
		srv.partitions = append(srv.partitions, replica.New(record.LedgerStream(n), fold.NewLedger()))
	}
	srv.dispatcher = dispatch.NewWithOptions(placement(s, srv.id))
	if err := srv.joinPeers(); err != nil {
		return nil, err
	}
	srv.subscriber = logstore.NewSubscriber(srv.relay, srv.startStream)
	srv.clients = newEndpointClients(s.Limits, srv.links, srv.endpoints, srv.dispatcher)
	srv.tables.Register("endpoint_answers", func() any { return srv.clients.counts.View() })
	if err := srv.joinBudgets(); err != nil {
		return nil, err
	}
	if err := srv.joinClaims(); err != nil {
		return nil, err
	}
	srv.runner = &run.Runner{
		Claims: srv.claims, Budgets: srv.budgets,
		Placer: srv.dispatcher, Endpoints: srv.endpoints,
		Engines: srv.clients.engines, Services: srv.clients.services,
		RunFinder: srv.finder(), RepeatRules: repeatRules{srv.config}, Limits: runLimits(s.Limits), OnEndpointLeaving: srv.leaving,
		OnError: func(err error) { log.Error().Err(err).Msg("run: background error") },
	}
	srv.registerTables()
	return srv, nil
}

func (s *Server) listen() error {
	listener, err := net.Listen("tcp", s.settings.Instance.Callers)
	if err != nil {
		return eris.Wrap(err, "server: listen for callers; give another address if this one is taken")
	}
	s.callers = callers.New(listener.(*net.TCPListener), 0, nil) // The server's own limit ends idle connections.
	if s.operators, err = net.Listen("tcp", s.settings.Instance.Operators); err != nil {
		return eris.Wrap(err, "server: listen for operators; give another address if this one is taken")
	}
	return s.listenPeers()
}

// CallersAddr returns the bound callers' address.
func (s *Server) CallersAddr() string { return s.callers.Addr().String() }

// OperatorsAddr returns the bound operators' address.
func (s *Server) OperatorsAddr() string { return s.operators.Addr().String() }

// Run serves until ctx ends, then drains: it finishes every request in flight.
func (s *Server) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	entries := entry.NewServer(s.callersHandler())
	entries.ConnState = s.callers.ConnState
	operators := &http.Server{Handler: s.operatorsHandler(), ReadHeaderTimeout: 10 * time.Second}
	var group errgroup.Group
	group.Go(func() error { return s.follow(background) })
	group.Go(func() error { s.snapshotWriter().Run(background); return nil })
	group.Go(func() error { s.clients.poller.Run(background); return nil })
	group.Go(func() error { s.members.Run(background, s.pool); return nil })
	group.Go(func() error { s.holder.Run(background); return nil })
	group.Go(func() error { return s.peerServer.Serve(s.links.listener(settings.LinkPeers, s.peers)) })
	group.Go(func() error { return ignoreClosed(entries.Serve(s.links.listener(settings.LinkCallers, s.callers))) })
	group.Go(func() error {
		return ignoreClosed(operators.Serve(s.links.listener(settings.LinkOperators, s.operators)))
	})
	s.log.Info().Str("id", string(s.id)).Str("callers", s.CallersAddr()).Str("operators", s.OperatorsAddr()).
		Str("peers", s.PeersAddr()).Msg("server: serving")
	group.Go(func() error { return s.budgets.Run(background) })
	<-ctx.Done()
	s.drain(operators)
	s.leaveClaims()
	s.leaveBudgets()
	stop()
	s.leavePeers()
	s.holder.Close()
	s.dispatcher.Close()
	err := group.Wait()
	_ = s.publisher.Close()
	s.log.Info().Msg("server: stopped")
	return err
}

func (s *Server) drain(operators *http.Server) {
	s.draining.Store(true)
	s.log.Info().Msg("server: draining")
	patience, cancel := context.WithTimeout(context.Background(), shutdownPatience)
	defer cancel()
	// In place of the server's Shutdown, which drops what is read after its call.
	if err := s.callers.Drain(patience); err != nil {
		s.log.Warn().Err(err).Msg("server: requests cut off at the end of the drain")
	}
	s.runner.Close()
	_ = operators.Shutdown(patience)
}

func (s *Server) self() logstore.Instance {
	return logstore.Instance{
		ID: s.id, Zone: record.Zone(s.settings.Instance.Zone), Peer: s.PeersAddr(), Leaving: s.draining.Load(),
		Applied: s.config.Next(),
	}
}

func (s *Server) callersHandler() http.Handler {
	limits := s.settings.Limits
	c := &entry.API{
		Zone: record.Zone(s.settings.Instance.Zone), Config: s.config, SessionKeys: s.secrets.Sessions, Runner: s.runner,
		SessionRegistry: session.Registry{Log: s.publisher, Partitions: s.partitions},
		Limits: entry.Limits{
			MaxBodyBytes: limits.BodyBytes, MaxAnswerBytes: int(limits.AnswerBytes), MaxTokens: limits.MaxTokens,
			MinPromptBytesPerToken: limits.PromptBytesPerToken, BodyReadTimeout: readWithin, WriteTimeout: writeWithin, HeartbeatInterval: callerHeartbeat,
			FirstTokenTimeout: limits.FirstToken.D(), ServiceAnswerTimeout: limits.ServiceAnswer.D(),
		},
		IsReady: func() bool { return !s.draining.Load() && s.members.HasList() && s.current() },
	}
	return s.metrics.Instrument(metrics.CallersHTTP, s.countInFlight(c.Handler()))
}

func (s *Server) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// InFlight returns how many callers' requests have no whole answer yet.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

func ignoreClosed(err error) error {
	if eris.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
