// Package callerapi is the HTTP door for callers.
//
// It reads a request whole, names its workspace by bearer key, checks it
// against the configuration, hands it to the serving path and writes the
// answer. Every refusal has a kind of the closed list, and its body says
// whether the request ran and when to come back.
package callerapi

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/timeline"
	"cuminrock.example/router/serve"
)

// Headers of the caller door.
const (
	// HeaderIdempotencyKey names the request; a repeat with the same key is the same
	// request. Required for actions.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is the milliseconds that the caller waits.
	HeaderDeadline = "Cuminrock-Deadline-Ms"
	// HeaderBudget names the budget to draw on.
	HeaderBudget = "Cuminrock-Budget"
	// HeaderRepeat says with "true" that the caller sent this request before.
	HeaderRepeat = "Cuminrock-Repeat"
	// HeaderBilledTokens tells the tokens billed for a whole answer.
	HeaderBilledTokens = "Cuminrock-Billed-Tokens"
	// HeaderReplayed marks the recorded answer of an earlier run.
	HeaderReplayed = "Cuminrock-Replayed"
	// HeaderLastEventID is the id of the last event that the caller has.
	HeaderLastEventID = "Last-Event-ID"
)

const (
	// maxKeyBytes bounds an Idempotency-Key.
	maxKeyBytes = 128
	// maxDeadline bounds the deadline that a caller may name.
	maxDeadline = time.Hour
	// defaultRetryAfter is advised where the refusal names no time.
	defaultRetryAfter = time.Second
)

// Options is what a Door works with. All fields are required.
type Options struct {
	Config        func() *config.View
	RequestServer *serve.Server
	Limits        *pb.CallerLimits
	Recorder      *timeline.Recorder
	Log           *zap.Logger
	Now           func() time.Time
}

// Server answers callers.
type Server struct {
	Options

	received atomic.Int64
	refused  [errkind.NumKinds]atomic.Int64
}

// New returns a door.
func New(o Options) *Server { return &Server{Options: o} }

// HTTPServer returns an HTTP server for the door, with its limits set.
func (d *Server) HTTPServer() *http.Server {
	return &http.Server{
		Handler:           d.Handler(),
		ReadHeaderTimeout: d.Limits.ReadTimeout.AsDuration(),
		ReadTimeout:       d.Limits.ReadTimeout.AsDuration(),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(d.Limits.MaxHeaderBytes),
		ErrorLog:          zap.NewStdLog(d.Log),
	}
}

// idleTimeout closes connections without a request.
const idleTimeout = 2 * time.Minute

// Handler returns the door's routes.
func (d *Server) Handler() http.Handler {
	routes := httprouter.New()
	routes.HandleMethodNotAllowed = true
	routes.RedirectTrailingSlash = false
	routes.POST("/v1/services/:service/*call", d.serveCall)
	routes.GET("/v1/requests/:key", d.serveOutcome)
	routes.NotFound = d.refuseWith(errkind.New(errkind.UnknownService, "no such path; calls are POST /v1/services/<service>/<call>"))
	routes.MethodNotAllowed = d.refuseWith(errkind.New(errkind.BadMethod, "this path does not take this method"))
	routes.PanicHandler = d.afterPanic
	return routes
}

// Refused returns how many requests were refused with the kind.
func (d *Server) Refused(k errkind.Kind) int64 { return d.refused[k].Load() }

// Received returns how many calls came in.
func (d *Server) Received() int64 { return d.received.Load() }

func (d *Server) refuseWith(e *errkind.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { d.refuse(w, e) }
}

func (d *Server) afterPanic(w http.ResponseWriter, _ *http.Request, cause any) {
	d.Log.Error("callerdoor: a request failed inside.", zap.Any("cause", cause), zap.Stack("stack"))
	d.refuse(w, errkind.New(errkind.Internal, "internal fault"))
}

// serveCall answers one call of a service.
func (d *Server) serveCall(w http.ResponseWriter, hr *http.Request, p httprouter.Params) {
	d.received.Add(1)
	req, err := d.read(w, hr, p)
	if err != nil {
		d.refuse(w, err)
		return
	}
	d.Recorder.Record(&pb.Event{
		Kind:      pb.EventKind_EVENT_KIND_REQUEST_RECEIVED,
		RequestId: req.ID,
		Budget:    req.Budget,
		Workspace: req.Workspace.Name,
	})
	w.Header().Set(HeaderIdempotencyKey, req.Key)
	ctx, cancel := context.WithDeadline(hr.Context(), req.Deadline)
	defer cancel()
	if req.Streaming {
		d.stream(ctx, w, req)
		return
	}
	answer, err := d.RequestServer.ServeUnary(ctx, req)
	if err != nil {
		d.refuseRequest(w, req, err)
		return
	}
	writeAnswer(w, answer)
}

func writeAnswer(w http.ResponseWriter, a *serve.Response) {
	h := w.Header()
	h.Set("Content-Type", a.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	h.Set(HeaderBilledTokens, strconv.FormatInt(a.BilledTokens, 10))
	if a.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// read reads and checks a request. It sends nothing.
func (d *Server) read(w http.ResponseWriter, hr *http.Request, p httprouter.Params) (*serve.Request, error) {
	view := d.Config()
	if view == nil {
		return nil, errkind.New(errkind.NotReady, "no configuration is in force yet")
	}
	workspace, err := d.workspace(view, hr)
	if err != nil {
		return nil, err
	}
	req := &serve.Request{Workspace: workspace, Budget: hr.Header.Get(HeaderBudget)}
	err = findCall(view, req, p.ByName("service"), strings.TrimPrefix(p.ByName("call"), "/"))
	if err != nil {
		return nil, err
	}
	err = findBudget(view, req)
	if err != nil {
		return nil, err
	}
	err = d.readHeaders(req, hr)
	if err != nil {
		return nil, err
	}
	req.Body, err = d.readBody(w, hr)
	if err != nil {
		return nil, err
	}
	return req, readModelFields(req)
}

// workspace finds the workspace of the bearer key.
func (d *Server) workspace(view *config.View, hr *http.Request) (*pb.Workspace, error) {
	key, ok := strings.CutPrefix(hr.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, errkind.New(errkind.UnknownKey, "a bearer key is needed")
	}
	workspace, ok := view.WorkspaceByKey(sha256.Sum256([]byte(key)))
	if !ok {
		return nil, errkind.New(errkind.UnknownKey, "the bearer key is not known")
	}
	return workspace, nil
}

func findCall(view *config.View, req *serve.Request, service, path string) error {
	found, ok := view.Service(service)
	if !ok {
		return errkind.New(errkind.UnknownService, "there is no service %q", service)
	}
	call, ok := view.Call(service, path)
	if !ok {
		return errkind.New(errkind.UnknownService, "service %q has no call %q", service, path)
	}
	req.Service = found
	req.Call = call
	return nil
}

func findBudget(view *config.View, req *serve.Request) error {
	if req.Budget == "" {
		req.Budget = req.Workspace.DefaultBudget
	}
	if req.Budget == "" {
		return errkind.New(errkind.UnknownBudget, "the workspace has no default budget; name one with %s", HeaderBudget)
	}
	budget, ok := view.Budget(req.Budget)
	if !ok || budget.Workspace != req.Workspace.Name {
		return errkind.New(errkind.UnknownBudget, "the workspace has no budget %q", req.Budget)
	}
	return nil
}

func (d *Server) readHeaders(req *serve.Request, hr *http.Request) error {
	err := readKey(req, hr.Header.Get(HeaderIdempotencyKey))
	if err != nil {
		return err
	}
	req.Deadline, err = d.deadline(hr.Header.Get(HeaderDeadline))
	if err != nil {
		return err
	}
	req.Repeat = hr.Header.Get(HeaderRepeat) == "true"
	last := hr.Header.Get(HeaderLastEventID)
	if last == "" {
		return nil
	}
	if !req.KeyGiven {
		return errkind.New(errkind.KeyRequired, "a resume needs the request's Idempotency-Key")
	}
	req.ResumeAfter, err = serve.ParsePosition(last)
	return err
}

func readKey(req *serve.Request, key string) error {
	req.KeyGiven = key != ""
	if !req.KeyGiven {
		key = uuid.NewString()
	}
	if len(key) > maxKeyBytes || strings.ContainsFunc(key, notKeyRune) {
		return errkind.New(errkind.BadRequest, "Idempotency-Key must be 1 to %d of letters, digits, '.', '_' and '-'", maxKeyBytes)
	}
	req.Key = key
	req.ID = req.Workspace.Name + ":" + key
	return nil
}

func notKeyRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	case r == '.', r == '_', r == '-':
		return false
	}
	return true
}

func (d *Server) deadline(header string) (time.Time, error) {
	now := d.Now()
	if header == "" {
		return now.Add(d.Limits.DefaultDeadline.AsDuration()), nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return time.Time{}, errkind.New(errkind.BadRequest, "%s must be from 1 to %d", HeaderDeadline, maxDeadline.Milliseconds())
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

// modelFields are the fields of a model call that the door reads.
type modelFields struct {
	MaxTokens int64 `json:"max_tokens"`
	Stream    bool  `json:"stream"`
}

func readModelFields(req *serve.Request) error {
	if req.Call.Kind != pb.CallKind_CALL_KIND_MODEL {
		return checkJSON(req.Body)
	}
	var fields modelFields
	err := json.Unmarshal(req.Body, &fields)
	if err != nil {
		return errkind.New(errkind.BadRequest, "the body is not a JSON object of a model call: %v", err)
	}
	req.Streaming = fields.Stream
	req.MaxTokens, err = serve.CheckMaxTokens(fields.MaxTokens)
	return err
}

func checkJSON(body []byte) error {
	if json.Valid(body) {
		return nil
	}
	return errkind.New(errkind.BadRequest, "the body is not JSON")
}
