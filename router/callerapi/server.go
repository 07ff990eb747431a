// Package callerapi is the HTTP API for callers.
//
// It reads the entire request, finds its workspace by the bearer key, checks
// the request against the configuration, passes it to a serve.Server and
// writes the response. Every error response has an errkind.Kind, and its body
// says whether the request ran and when to retry.
package callerapi

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/timeline"
	"cuminrock.example/router/intake"
	"cuminrock.example/router/serve"
)

// Headers of requests and responses.
const (
	// HeaderIdempotencyKey identifies the request: two requests with the same
	// key are the same request. Required for actions.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is how long the caller waits, in milliseconds.
	HeaderDeadline = "Cuminrock-Deadline-Ms"
	// HeaderBudget names the budget that pays for the request.
	HeaderBudget = "Cuminrock-Budget"
	// HeaderRepeat is "true" if the caller has sent this request before.
	HeaderRepeat = "Cuminrock-Repeat"
	// HeaderBilledTokens is the number of tokens billed for a unary response.
	HeaderBilledTokens = "Cuminrock-Billed-Tokens"
	// HeaderReplayed is "true" on the recorded response of an earlier run.
	HeaderReplayed = "Cuminrock-Replayed"
	// HeaderLastEventID is the ID of the last event that the caller received.
	HeaderLastEventID = "Last-Event-ID"
)

const (
	// maxKeyBytes is the longest Idempotency-Key.
	maxKeyBytes = 128
	// maxDeadline is the longest time that a caller may set with
	// HeaderDeadline.
	maxDeadline = time.Hour
	// defaultRetryAfter is sent where a retryable error sets no wait.
	defaultRetryAfter = time.Second
)

// Options configures a Server. All fields are required.
type Options struct {
	Config        func() *config.View
	RequestServer *serve.Server
	Limits        *pb.CallerLimits
	Recorder      *timeline.Recorder
	Log           *zap.Logger
	Now           func() time.Time
	// Draining reports whether callers are asked to close their connections
	// after the response.
	Draining func() bool
}

// Server is the HTTP API for callers.
type Server struct {
	Options

	received atomic.Int64
	refused  [errkind.NumKinds]atomic.Int64
}

// New returns a server.
func New(o Options) *Server { return &Server{Options: o} }

// HTTPServer returns an HTTP server that enforces the caller limits. Its connections must be
// those of an intake.Set.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: s.Limits.ReadTimeout.AsDuration(),
		ReadTimeout:       s.Limits.ReadTimeout.AsDuration(),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(s.Limits.MaxHeaderBytes),
		ErrorLog:          zap.NewStdLog(s.Log),
		ConnState:         intake.ConnState,
		ConnContext:       intake.ConnContext,
	}
}

// idleTimeout is how long a keep-alive connection may be idle.
const idleTimeout = 2 * time.Minute

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	routes := httprouter.New()
	routes.HandleMethodNotAllowed = true
	routes.RedirectTrailingSlash = false
	routes.POST("/v1/services/:service/*call", s.serveCall)
	routes.GET("/v1/requests/:key", s.serveOutcome)
	routes.NotFound = s.errorHandler(errkind.New(errkind.UnknownService, "no such path; calls are POST /v1/services/<service>/<call>"))
	routes.MethodNotAllowed = s.errorHandler(errkind.New(errkind.BadMethod, "the path does not support this method"))
	routes.PanicHandler = s.handlePanic
	return routes
}

// Refused returns how many requests were refused with an error of the kind.
func (s *Server) Refused(k errkind.Kind) int64 { return s.refused[k].Load() }

// Received returns the number of calls whose header was read. Each of them gets
// a response, unless its caller leaves or the process is killed.
func (s *Server) Received() int64 { return s.received.Load() }

func (s *Server) errorHandler(e *errkind.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { s.writeError(w, e) }
}

func (s *Server) handlePanic(w http.ResponseWriter, _ *http.Request, cause any) {
	if cause == http.ErrAbortHandler {
		panic(cause) // the server closes the connection
	}
	s.Log.Error("callerdoor: panic in a request handler", zap.Any("cause", cause), zap.Stack("stack"))
	s.writeError(w, errkind.New(errkind.Internal, "internal error"))
}

// serveCall serves one call of a service.
func (s *Server) serveCall(w http.ResponseWriter, hr *http.Request, p httprouter.Params) {
	s.received.Add(1)
	if s.Draining() {
		w.Header().Set("Connection", "close")
	}
	conn := intake.FromContext(hr.Context())
	received := s.Now()
	req, err := s.readHead(hr, p)
	if err != nil {
		conn.RefuseHead(w, hr, s.refusal(w, err))
		return
	}
	req.Body, err = s.readBody(hr, earlier(req.Deadline, received.Add(s.Limits.ReadTimeout.AsDuration())))
	if err != nil {
		conn.RefuseUnread(w, s.refusal(w, err))
	}
	if conn.ClosesAfterResponse() {
		w.Header().Set("Connection", "close")
	}
	err = readModelFields(req)
	if err != nil {
		s.writeError(w, err)
		return
	}
	s.Recorder.Record(&pb.Event{
		Kind:      pb.EventKind_EVENT_KIND_REQUEST_RECEIVED,
		RequestId: req.ID,
		Budget:    req.Budget,
		Workspace: req.Workspace.Name,
	})
	w.Header().Set(HeaderIdempotencyKey, req.Key)
	ctx, cancel := context.WithDeadline(hr.Context(), req.Deadline)
	defer cancel()
	if req.Streaming {
		s.stream(ctx, w, req)
		return
	}
	resp, err := s.RequestServer.ServeUnary(ctx, req)
	if err != nil {
		s.failRequest(w, req, err)
		return
	}
	writeResponse(w, resp)
}

func writeResponse(w http.ResponseWriter, resp *serve.Response) {
	h := w.Header()
	h.Set("Content-Type", resp.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	h.Set(HeaderBilledTokens, strconv.FormatInt(resp.BilledTokens, 10))
	if resp.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}
