// Package endpoint has the clients of the endpoints: model engines and plain
// services. Every answer is checked against the run and attempt that it is
// for; what does not match is dropped and counted.
//
// Each order and each call goes over a connection of its own, which is closed
// with it: no pool can hand out a connection that has gone silent, and
// net/http has nothing to send a second time by itself.
package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"guavapier/internal/record"
)

// Errors of endpoints. Callers compare them with errors.Is.
var (
	// ErrRefused says that the order surely did not run by this attempt: no
	// connection came about, or the endpoint itself said so with HeaderNotRun.
	ErrRefused = eris.New("endpoint: refused")
	// ErrLeaving is an ErrRefused of an endpoint that is leaving.
	ErrLeaving = eris.New("endpoint: leaving")
	// ErrUnreachable is an ErrRefused because no connection came about.
	ErrUnreachable = eris.New("endpoint: unreachable")
	// ErrRejected is an ErrRefused that every endpoint would give.
	ErrRejected = eris.New("endpoint: order rejected")
	// ErrRunNotFound is an ErrRefused of an endpoint that has no such run to resume.
	ErrRunNotFound = eris.New("endpoint: no such run")
	// ErrLost says that the connection failed; the order may have run.
	ErrLost = eris.New("endpoint: connection lost")
	// ErrNoProgress says that nothing came for too long; the order may have run.
	ErrNoProgress = eris.New("endpoint: no progress")
	// ErrMismatch says that an answer was for another run or attempt.
	ErrMismatch = eris.New("endpoint: answer for another run")
	// ErrGap says that tokens are missing from an answer.
	ErrGap = eris.New("endpoint: tokens missing")
	// ErrCancelled says that the run was cancelled at the endpoint.
	ErrCancelled = eris.New("endpoint: run cancelled")
)

// The headers between guavapier and its endpoints.
const (
	HeaderRunID        = "X-Run-Id"
	HeaderAttempt      = "X-Attempt"
	HeaderResumeFrom   = "X-Resume-From"
	HeaderResumeOnly   = "X-Resume-Only"
	HeaderPriority     = "X-Priority"
	HeaderFencingToken = "X-Fencing-Token"
	// HeaderNotRun marks a refusal that is the endpoint's own word that the
	// order did not run. A proxy's 503 has no such mark.
	HeaderNotRun = "X-Not-Run"
	// HeaderHeartbeat announces the time between the comments that the
	// endpoint sends while there are no tokens, in milliseconds.
	HeaderHeartbeat = "X-Heartbeat-Ms"
)

// RunRequest asks an engine to run a request.
type RunRequest struct {
	Run      record.RunID
	Attempt  int
	Priority int
	// ResumeFrom is the number of tokens that the caller already has: the engine
	// resumes the run, or goes on from Prior, after them.
	ResumeFrom int
	// PriorText holds those tokens' text, for an engine that has no such run.
	PriorText string
	// ResumeOnly forbids the engine to begin a run: it has it, or ErrNoRun.
	ResumeOnly bool
	Model      string
	Messages   json.RawMessage
	// ExtraFields are further fields of the order's body. They never replace those
	// that the client sets.
	ExtraFields map[string]json.RawMessage
	MaxTokens   int
}

// Token is one generated token. Index counts from 0 over the whole run.
type Token struct {
	Index int
	Text  string
}

// Usage counts tokens as the engine reports them. Completion counts those
// generated at this engine, Prior those taken over from another one; their sum
// is the length of the answer.
type Usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Cached     int64 `json:"cached_tokens"`
	Prior      int64 `json:"prior_tokens"`
}

// AnswerTokens returns the tokens of the whole answer.
func (u Usage) AnswerTokens() int64 { return u.Completion + u.Prior }

// Stream is the running answer to an Order. It is not safe for concurrent use.
type Stream interface {
	// Next returns the next token. Whole tells the end of a whole answer from a
	// failure.
	Next() (Token, error)
	// Usage and Finish are valid after io.EOF.
	Usage() Usage
	Finish() string
	Close() error
}

// IsComplete says whether an error of Next is the end of a whole answer.
func IsComplete(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, ErrLost) }

// RunState is what an engine says about a run.
type RunState struct {
	Usage
	Done   bool   `json:"done"`
	Finish string `json:"finish_reason"`
}

// Engines starts, resumes and cancels runs on engines, addressed by base URL.
type Engines interface {
	Start(ctx context.Context, base string, req RunRequest) (Stream, error)
	// Cancel stops a run's attempts up to and including one, also those whose
	// order has not arrived yet. A later attempt may still go on from its tokens.
	Cancel(ctx context.Context, base string, run record.RunID, attempt int) error
	// State asks for a run's usage; ErrNoRun if the engine has no such run.
	State(ctx context.Context, base string, run record.RunID) (RunState, error)
}

// Options bound the time that an endpoint may take.
type Options struct {
	// DialTLS dials https addresses; nil is the client's own way.
	DialTLS func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnectTimeout bounds the making of a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an open stream may bring nothing, not even a
	// comment, before it is given up. An endpoint that announces heartbeats is
	// given up after a few missed ones if that is sooner.
	IdleTimeout time.Duration
	// ControlTimeout bounds each short call: cancel, state, load.
	ControlTimeout time.Duration
	// MaxAnswerBytes bounds a plain service's answer.
	MaxAnswerBytes int64
}
