package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"guavapier/internal/config"
	"guavapier/internal/logging"
	"guavapier/internal/operator"
	"guavapier/internal/record"
	"guavapier/internal/server"
	"guavapier/internal/session"
	"guavapier/internal/settings"
	"guavapier/internal/standin"
)

// The sample team of a standalone run: its name, API key, operator token, prepaid
// tokens and model.
const (
	sampleTeam     = "sample"
	sampleKey      = "sample:secret"
	sampleOperator = "operator-secret"
	sampleTokens   = 1_000_000
	sampleModel    = "small"
)

// runStandalone runs a server instance with stand-ins for the platform, engines and
// a service in this process, and prints example requests. After ctx ends, the
// stand-ins run until the instance has drained, as it returns its grants to the
// platform.
func runStandalone(ctx context.Context, std stdio, callers, operators string) error {
	standinCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, standinCtx := errgroup.WithContext(standinCtx)
	url, err := startStandins(standinCtx, group)
	if err != nil {
		return err
	}
	s := settings.Default()
	s.Instance = settings.Instance{Name: "standalone", Zone: "local", Callers: callers, Operators: operators, Peers: "127.0.0.1:0"}
	s.Platform.URL = url
	s.Log = settings.Log{Level: "info", Format: "console"}
	secrets := server.Secrets{
		Sessions: session.Keyring{CurrentKeyID: "k1", Keys: map[string][]byte{"k1": []byte("standalone-only")}},
		Operator: sampleOperator,
	}
	log, err := logging.New(s.Log, std.err)
	if err != nil {
		return err
	}
	srv, err := server.New(s, secrets, log)
	if err != nil {
		return err
	}
	group.Go(func() error {
		defer stop()
		return runUntilSecondSignal(ctx, srv)
	})
	if err := seedSample(ctx, srv.OperatorsAddr()); err != nil {
		return err
	}
	printExamples(std, srv.CallersAddr(), srv.OperatorsAddr())
	return group.Wait()
}

// startStandins starts the stand-ins on loopback and lists the endpoints on the
// platform, whose URL it returns. They stop when ctx ends.
func startStandins(ctx context.Context, group *errgroup.Group) (platformURL string, err error) {
	platform := standin.NewPlatform(standin.PlatformOptions{AppendsPerSecond: 300, InstanceTTL: 5 * time.Second})
	if platformURL, err = serveLoopback(ctx, group, platform.Handler()); err != nil {
		return "", err
	}
	var endpoints []standin.ListedEndpoint
	for _, name := range []string{"engine-1", "engine-2"} {
		url, err := serveLoopback(ctx, group, standin.NewEngine(standin.EngineOptions{Name: name, Model: sampleModel, Step: 3 * time.Millisecond}).Handler())
		if err != nil {
			return "", err
		}
		endpoints = append(endpoints, standin.ListedEndpoint{Name: name, Zone: "local", URL: url, Model: sampleModel})
	}
	url, err := serveLoopback(ctx, group, standin.NewService().Handler())
	if err != nil {
		return "", err
	}
	endpoints = append(endpoints, standin.ListedEndpoint{Name: "service-1", Zone: "local", URL: url, Service: "rig"})
	platform.SetEndpoints(endpoints)
	return platformURL, nil
}

// serveLoopback serves h on a free loopback port until ctx ends and returns the base
// URL.
func serveLoopback(ctx context.Context, group *errgroup.Group, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "cli: listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	group.Go(func() error {
		if err := srv.Serve(l); !eris.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return "http://" + l.Addr().String(), nil
}

// seedSample creates the sample team and its prepaid budget through the operators'
// interface at the given IP:port.
func seedSample(ctx context.Context, operators string) error {
	change := operator.ChangeRequest{ID: "sample", By: "standalone", Ops: []record.ChangeOp{
		{Path: config.APIKeyPath(sampleTeam, sampleKey), Value: "sample key"},
	}}
	if err := callOperatorAPI(ctx, http.MethodPut, "http://"+operators+"/settings", change); err != nil {
		return err
	}
	topUp := operator.TopUpRequest{Team: sampleTeam, Budget: "main", Tokens: sampleTokens, ID: "sample", By: "standalone"}
	return callOperatorAPI(ctx, http.MethodPost, "http://"+operators+"/topups", topUp)
}

// callOperatorAPI sends body as JSON with the sample operator's token. A status
// other than 200 is an error.
func callOperatorAPI(ctx context.Context, method, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "cli: encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "cli: build request")
	}
	req.Header.Set("Authorization", "Bearer "+sampleOperator)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "cli: call operators' interface")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("cli: operators' interface answered %s", resp.Status)
	}
	return nil
}

// printExamples prints curl commands for the callers' and the operators' address.
func printExamples(std stdio, callers, operators string) {
	fmt.Fprintf(std.out, `Ready. Try:

  curl -s http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' \
    -d '{"model":"%[4]s","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}'

  curl -sN http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' \
    -d '{"model":"%[4]s","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}'

  curl -s http://%[1]s/v1/services/rig/setpoint -H 'Authorization: Bearer %[3]s' \
    -H 'Idempotency-Key: call-1' -d '{"g":0.5}'

  curl -s http://%[2]s/budgets/%[5]s/main -H 'Authorization: Bearer %[6]s'

`, callers, operators, sampleKey, sampleModel, sampleTeam, sampleOperator)
}
