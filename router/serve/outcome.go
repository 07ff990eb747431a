package serve

import (
	"context"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// Outcome is the outcome of a request.
type Outcome struct {
	RunState pb.RunState
	// BilledTokens is the number of tokens billed; 0 if there is no bill.
	BilledTokens int64
	// Response is the recorded response of an action that ran; nil otherwise.
	Response *Response
}

// Outcome returns the outcome of a request. The error is an *errkind.Error of
// kind UnknownRequest if neither an action nor a bill is known.
func (s *Server) Outcome(ctx context.Context, workspace, key string) (*Outcome, error) {
	id := workspace + ":" + key
	located, err := s.HandleLocate(ctx, &pb.LocateRequest{RequestId: id})
	if err != nil {
		return nil, err
	}
	out := &Outcome{RunState: located.RunState, BilledTokens: located.Bill.GetTokens()}
	action, err := s.Actions.Lookup(ctx, workspace, key)
	switch {
	case err == nil:
		out.RunState = action.State
		if action.Response != nil {
			out.Response = replayedResponse(action.Response)
		}
		return out, nil
	case errkind.KindOf(err) != errkind.UnknownRequest:
		return nil, err
	case !located.Known:
		return nil, errkind.New(errkind.UnknownRequest, "neither an action nor a bill of this request is known")
	}
	return out, nil
}
