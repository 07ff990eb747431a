package callerapi

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/serve"
)

// ErrorBody is the JSON body of every refusal and failure.
type ErrorBody struct {
	Error ErrorInfo `json:"error"`
}

// ErrorInfo tells one failure.
type ErrorInfo struct {
	// Kind is a name of the closed list.
	Kind string `json:"kind"`
	// Message is one sentence for people.
	Message string `json:"message"`
	// RunState is not_run, ran or unknown.
	RunState string `json:"run_state"`
	// RetryAfterMs is when to come back, in milliseconds; 0 where asking
	// again can't help.
	RetryAfterMs int64 `json:"retry_after_ms"`
}

// Names of the run states.
const (
	runNotRun  = "not_run"
	runRan     = "ran"
	runUnknown = "unknown"
)

func runName(s pb.RunState) string {
	switch s {
	case pb.RunState_RUN_STATE_NOT_RUN:
		return runNotRun
	case pb.RunState_RUN_STATE_RAN:
		return runRan
	default:
		return runUnknown
	}
}

// errorInfo makes the body of a failure.
func errorInfo(e *errkind.Error) ErrorInfo {
	a := e.Kind.Properties()
	info := ErrorInfo{Kind: a.Name, Message: e.Message, RunState: runName(a.RunState)}
	if a.Retry != errkind.RetryNever {
		wait := e.RetryAfter
		if wait <= 0 {
			wait = defaultRetryAfter
		}
		info.RetryAfterMs = wait.Milliseconds()
	}
	return info
}

// refuse writes a failure, at once.
func (d *Server) refuse(w http.ResponseWriter, err error) {
	e := errkind.FromError(err)
	d.refused[e.Kind].Add(1)
	info := errorInfo(e)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Del("Content-Length")
	if info.RetryAfterMs > 0 {
		seconds := math.Ceil(float64(info.RetryAfterMs) / float64(time.Second/time.Millisecond))
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(e.Kind.Properties().Status)
	_ = json.NewEncoder(w).Encode(ErrorBody{Error: info})
}

// refuseRequest refuses a request that has an id.
func (d *Server) refuseRequest(w http.ResponseWriter, req *serve.Request, err error) {
	d.Recorder.Record(&pb.Event{
		Kind:      pb.EventKind_EVENT_KIND_REQUEST_REFUSED,
		RequestId: req.ID,
		Budget:    req.Budget,
		Workspace: req.Workspace.Name,
		Detail:    errkind.FromError(err).Error(),
	})
	d.refuse(w, err)
}

// readBody reads the whole body within the caller limits.
func (d *Server) readBody(w http.ResponseWriter, hr *http.Request) ([]byte, error) {
	limit := d.Limits.MaxBodyBytes
	if hr.ContentLength > limit {
		return nil, errkind.New(errkind.BodyTooLarge, "the body is above %d bytes", limit)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, limit))
	if err == nil {
		return body, nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, errkind.New(errkind.BodyTooLarge, "the body is above %d bytes", limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errkind.New(errkind.SlowCaller, "the body did not arrive in time")
	}
	return nil, errkind.Wrap(errkind.BadRequest, err, "the body could not be read")
}
