package callerapi

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/serve"
)

// OutcomeBody is the JSON body of a request's outcome.
type OutcomeBody struct {
	// RunState is not_run, ran or unknown.
	RunState string `json:"run_state"`
	// BilledTokens is the number of tokens billed; 0 if there is no bill.
	BilledTokens int64 `json:"billed_tokens"`
	// Status and Answer are the HTTP status and body of the recorded response
	// of an action that ran.
	Status int    `json:"status,omitempty"`
	Answer string `json:"answer,omitempty"`
}

// serveOutcome returns the outcome of a request of the caller's workspace.
func (s *Server) serveOutcome(w http.ResponseWriter, hr *http.Request, p httprouter.Params) {
	view := s.Config()
	if view == nil {
		s.writeError(w, errkind.New(errkind.NotReady, "no configuration is in force yet"))
		return
	}
	workspace, err := s.authenticate(view, hr)
	if err != nil {
		s.writeError(w, err)
		return
	}
	outcome, err := s.RequestServer.Outcome(hr.Context(), workspace.Name, p.ByName("key"))
	if err != nil {
		s.writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(outcomeBody(outcome))
}

func outcomeBody(o *serve.Outcome) OutcomeBody {
	body := OutcomeBody{RunState: runStateName(o.RunState), BilledTokens: o.BilledTokens}
	if o.Response != nil {
		body.Status = o.Response.Status
		body.Answer = string(o.Response.Body)
	}
	return body
}
