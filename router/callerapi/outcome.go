package callerapi

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/serve"
)

// OutcomeBody tells what became of a request.
type OutcomeBody struct {
	// RunState is not_run, ran or unknown.
	RunState string `json:"run_state"`
	// BilledTokens is the tokens of the request's bill; 0 without a bill.
	BilledTokens int64 `json:"billed_tokens"`
	// Status and Answer are the recorded answer of an action that ran.
	Status int    `json:"status,omitempty"`
	Answer string `json:"answer,omitempty"`
}

// serveOutcome tells what became of a request of the caller's workspace.
func (d *Server) serveOutcome(w http.ResponseWriter, hr *http.Request, p httprouter.Params) {
	view := d.Config()
	if view == nil {
		d.refuse(w, errkind.New(errkind.NotReady, "no configuration is in force yet"))
		return
	}
	workspace, err := d.workspace(view, hr)
	if err != nil {
		d.refuse(w, err)
		return
	}
	outcome, err := d.RequestServer.Outcome(hr.Context(), workspace.Name, p.ByName("key"))
	if err != nil {
		d.refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(outcomeBody(outcome))
}

func outcomeBody(o *serve.Outcome) OutcomeBody {
	body := OutcomeBody{RunState: runName(o.RunState), BilledTokens: o.BilledTokens}
	if o.Response != nil {
		body.Status = o.Response.Status
		body.Answer = string(o.Response.Body)
	}
	return body
}
