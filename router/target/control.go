package target

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// Cancel ends a stream at the engine and returns what it used.
func (c *Client) Cancel(ctx context.Context, target *pb.Target, requestID, stream string) (Usage, error) {
	answer, err := c.Do(ctx, Call{
		Target:    target,
		RequestID: requestID,
		Method:    http.MethodDelete,
		Path:      streamPath(stream),
	})
	if err != nil {
		return Usage{}, err
	}
	if answer.Status == http.StatusNotFound {
		return Usage{}, errkind.New(errkind.UnknownRequest, "target %s doesn't know the stream", target.GetName())
	}
	return answer.Usage, nil
}

// LoadReport is a target's own report. It lags.
type LoadReport struct {
	// InFlight and Queued count requests.
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// Leaving says that the target takes no new work.
	Leaving bool `json:"leaving"`
}

// loadRequestID is the request id of load reports.
const loadRequestID = "load"

// pollIdle is how long a connection for load reports is kept without use. It
// outlasts the interval between two reports of a far target.
const pollIdle = 15 * time.Second

// Load asks a target for its report. The connection of the last report is
// used again, which costs a third of a new one; when it fails or falls silent,
// a new one is tried in the second half of the timeout, since the report is to
// tell of the target, not of a connection.
func (c *Client) Load(ctx context.Context, target *pb.Target, timeout time.Duration) (LoadReport, error) {
	load, err := c.loadBy(ctx, target, timeout/2, c.polls)
	if err == nil {
		return load, nil
	}
	return c.loadBy(ctx, target, timeout/2, c.single)
}

// loadBy asks for the report by one transport.
func (c *Client) loadBy(ctx context.Context, target *pb.Target, timeout time.Duration, by *http.Transport) (LoadReport, error) {
	answer, err := c.whole(ctx, Call{
		Target:    target,
		RequestID: loadRequestID,
		Method:    http.MethodGet,
		Path:      "/v1/load",
		Deadline:  time.Now().Add(timeout),
	}, route{transport: by, limited: true})
	if err != nil {
		return LoadReport{}, err
	}
	var load LoadReport
	err = json.Unmarshal(answer.Body, &load)
	if err != nil || answer.Status != http.StatusOK {
		return LoadReport{}, errkind.New(errkind.TargetFailed, "target %s gave no load report", target.GetName())
	}
	return load, nil
}

// IsUnresponsive tells whether a call failed because its target couldn't be reached or
// was silent.
func IsUnresponsive(err error) bool {
	switch errkind.KindOf(err) {
	case errkind.TargetUnreachable, errkind.TargetSilent, errkind.DeadlinePassed:
		return err != nil
	default:
		return false
	}
}
