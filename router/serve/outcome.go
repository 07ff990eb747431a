package serve

import (
	"context"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// Outcome is what became of a request.
type Outcome struct {
	RunState pb.RunState
	// BilledTokens is the tokens of its bill; 0 without one.
	BilledTokens int64
	// Response is the recorded answer of an action that ran; nil otherwise.
	Response *Response
}

// Outcome tells what became of a request. The error is an *errkind.Error of
// kind UnknownRequest where neither an action nor a bill is known.
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
			out.Response = replayed(action.Response)
		}
		return out, nil
	case errkind.KindOf(err) != errkind.UnknownRequest:
		return nil, err
	case !located.Known:
		return nil, errkind.New(errkind.UnknownRequest, "no action and no bill of this request is known")
	}
	return out, nil
}
