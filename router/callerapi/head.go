package callerapi

import (
	"crypto/sha256"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/serve"
)

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// readHead validates the head of a request. It writes no response.
func (s *Server) readHead(hr *http.Request, p httprouter.Params) (*serve.Request, error) {
	view := s.Config()
	if view == nil {
		return nil, errkind.New(errkind.NotReady, "no configuration is in force yet")
	}
	workspace, err := s.authenticate(view, hr)
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
	if hr.ContentLength > s.Limits.MaxBodyBytes {
		return nil, s.bodyTooLarge()
	}
	return req, s.readHeaders(req, hr)
}

// authenticate returns the workspace of the bearer key.
func (s *Server) authenticate(view *config.View, hr *http.Request) (*pb.Workspace, error) {
	key, ok := strings.CutPrefix(hr.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, errkind.New(errkind.UnknownKey, "a bearer key is required")
	}
	workspace, ok := view.WorkspaceByKey(sha256.Sum256([]byte(key)))
	if !ok {
		return nil, errkind.New(errkind.UnknownKey, "the bearer key is unknown")
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
		return errkind.New(errkind.UnknownBudget, "the workspace has no default budget; set the header %s", HeaderBudget)
	}
	budget, ok := view.Budget(req.Budget)
	if !ok || budget.Workspace != req.Workspace.Name {
		return errkind.New(errkind.UnknownBudget, "the workspace has no budget %q", req.Budget)
	}
	return nil
}

func (s *Server) readHeaders(req *serve.Request, hr *http.Request) error {
	err := readKey(req, hr.Header.Get(HeaderIdempotencyKey))
	if err != nil {
		return err
	}
	req.Deadline, err = s.parseDeadline(hr.Header.Get(HeaderDeadline))
	if err != nil {
		return err
	}
	req.Repeat = hr.Header.Get(HeaderRepeat) == "true"
	lastEventID := hr.Header.Get(HeaderLastEventID)
	if lastEventID == "" {
		return nil
	}
	if !req.KeyGiven {
		return errkind.New(errkind.KeyRequired, "resuming a stream requires the Idempotency-Key of its request")
	}
	req.ResumeAfter, err = serve.ParsePosition(lastEventID)
	return err
}

func readKey(req *serve.Request, key string) error {
	req.KeyGiven = key != ""
	if !req.KeyGiven {
		key = uuid.NewString()
	}
	if len(key) > maxKeyBytes || strings.ContainsFunc(key, isInvalidKeyRune) {
		return errkind.New(errkind.BadRequest, "Idempotency-Key must consist of 1 to %d letters, digits, '.', '_' and '-'", maxKeyBytes)
	}
	req.Key = key
	req.ID = req.Workspace.Name + ":" + key
	return nil
}

func isInvalidKeyRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	case r == '.', r == '_', r == '-':
		return false
	}
	return true
}

func (s *Server) parseDeadline(header string) (time.Time, error) {
	now := s.Now()
	if header == "" {
		return now.Add(s.Limits.DefaultDeadline.AsDuration()), nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return time.Time{}, errkind.New(errkind.BadRequest, "%s must be an integer from 1 to %d", HeaderDeadline, maxDeadline.Milliseconds())
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}
