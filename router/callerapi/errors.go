package callerapi

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/intake"
	"cuminrock.example/router/serve"
)

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error ErrorInfo `json:"error"`
}

// ErrorInfo describes one error.
type ErrorInfo struct {
	// Kind is the name of an errkind.Kind.
	Kind string `json:"kind"`
	// Message is a human-readable sentence.
	Message string `json:"message"`
	// RunState is not_run, ran or unknown.
	RunState string `json:"run_state"`
	// RetryAfterMs is how long to wait before a retry, in milliseconds; 0 if
	// a retry can't succeed.
	RetryAfterMs int64 `json:"retry_after_ms"`
}

// The JSON names of the run states.
const (
	runStateNotRun  = "not_run"
	runStateRan     = "ran"
	runStateUnknown = "unknown"
)

func runStateName(s pb.RunState) string {
	switch s {
	case pb.RunState_RUN_STATE_NOT_RUN:
		return runStateNotRun
	case pb.RunState_RUN_STATE_RAN:
		return runStateRan
	default:
		return runStateUnknown
	}
}

// newErrorInfo returns the description of an error for the caller.
func newErrorInfo(e *errkind.Error) ErrorInfo {
	properties := e.Kind.Properties()
	info := ErrorInfo{Kind: properties.Name, Message: e.Message, RunState: runStateName(properties.RunState)}
	if properties.Retry != errkind.RetryNever {
		wait := e.RetryAfter
		if wait <= 0 {
			wait = defaultRetryAfter
		}
		info.RetryAfterMs = wait.Milliseconds()
	}
	return info
}

// writeError counts an error and writes it as the response.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	typed := errkind.FromError(err)
	s.refused[typed.Kind].Add(1)
	info := newErrorInfo(typed)
	// Encoding plain fields doesn't fail.
	body, _ := json.Marshal(ErrorBody{Error: info})
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if info.RetryAfterMs > 0 {
		seconds := math.Ceil(float64(info.RetryAfterMs) / float64(time.Second/time.Millisecond))
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(typed.Kind.Properties().Status)
	_, _ = w.Write(body)
}

// failRequest records the refusal of a request that has an ID and writes the
// error as the response.
func (s *Server) failRequest(w http.ResponseWriter, req *serve.Request, err error) {
	s.Recorder.Record(&pb.Event{
		Kind:      pb.EventKind_EVENT_KIND_REQUEST_REFUSED,
		RequestId: req.ID,
		Budget:    req.Budget,
		Workspace: req.Workspace.Name,
		Detail:    errkind.FromError(err).Error(),
	})
	s.writeError(w, err)
}

// refusal returns a function that writes an error, and closes the connection if it is told
// so.
func (s *Server) refusal(w http.ResponseWriter, err error) func(closing bool) {
	return func(closing bool) {
		if closing {
			w.Header().Set("Connection", "close")
		}
		s.writeError(w, err)
	}
}

// readBody reads the entire body within the caller limits. The body must be complete
// before the deadline.
func (s *Server) readBody(hr *http.Request, deadline time.Time) ([]byte, error) {
	body, err := intake.FromContext(hr.Context()).ReadBody(hr.Body, intake.BodyLimits{
		Length: hr.ContentLength, MaxBytes: s.Limits.MaxBodyBytes, OneBlock: true, Deadline: deadline,
	})
	switch {
	case err == nil:
		return body.Bytes(), nil
	case errors.Is(err, intake.ErrNoRoom):
		return nil, errkind.New(errkind.NoRoom, "this router has no room for the request").WithRetryAfter(intake.RetryAfter)
	case errors.Is(err, intake.ErrTooLong):
		return nil, s.bodyTooLarge()
	case errors.Is(err, intake.ErrTooSlow):
		return nil, errkind.New(errkind.SlowCaller, "the body did not arrive in time")
	}
	return nil, errkind.Wrap(errkind.BadRequest, err, "the body could not be read")
}

func (s *Server) bodyTooLarge() error {
	return errkind.New(errkind.BodyTooLarge, "the body is larger than %d bytes", s.Limits.MaxBodyBytes)
}
