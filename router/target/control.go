package target

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// Cancel cancels a stream at the engine and returns its usage.
func (c *Client) Cancel(ctx context.Context, target *pb.Target, requestID, stream string) (Usage, error) {
	resp, err := c.Do(ctx, Call{
		Target:    target,
		RequestID: requestID,
		Method:    http.MethodDelete,
		Path:      streamPath(stream),
	})
	if err != nil {
		return Usage{}, err
	}
	if resp.Status == http.StatusNotFound {
		return Usage{}, errkind.New(errkind.UnknownRequest, "target %s doesn't know the stream", target.GetName())
	}
	return resp.Usage, nil
}

// LoadReport is the load that a target reports. It lags behind the real load.
type LoadReport struct {
	// InFlight and Queued are numbers of requests.
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// Leaving is true if the target accepts no new work.
	Leaving bool `json:"leaving"`
}

// loadRequestID is the request ID of load reports.
const loadRequestID = "load"

// loadIdleTimeout is how long an idle connection for load reports is kept. It is
// longer than the interval between two reports of a target in another data
// centre.
const loadIdleTimeout = 15 * time.Second

// Load asks a target for its load report. It reuses the connection of the last
// report, which costs a third of a new one. If that connection fails or stops
// responding, Load tries a new one in the second half of the timeout, so that a
// broken connection isn't taken for an unresponsive target.
func (c *Client) Load(ctx context.Context, target *pb.Target, timeout time.Duration) (LoadReport, error) {
	load, err := c.fetchLoad(ctx, target, timeout/2, c.loadTransport)
	if err == nil {
		return load, nil
	}
	return c.fetchLoad(ctx, target, timeout/2, c.unpooledTransport)
}

// fetchLoad asks for the load report by a transport.
func (c *Client) fetchLoad(ctx context.Context, target *pb.Target, timeout time.Duration, transport *http.Transport) (LoadReport, error) {
	resp, err := c.doUnary(ctx, Call{
		Target:    target,
		RequestID: loadRequestID,
		Method:    http.MethodGet,
		Path:      "/v1/load",
		Deadline:  time.Now().Add(timeout),
	}, route{transport: transport, hasTimeouts: true})
	if err != nil {
		return LoadReport{}, err
	}
	var load LoadReport
	err = json.Unmarshal(resp.Body, &load)
	if err != nil || resp.Status != http.StatusOK {
		return LoadReport{}, errkind.New(errkind.TargetFailed, "target %s sent no valid load report", target.GetName())
	}
	return load, nil
}

// IsUnresponsive reports whether a call failed because its target couldn't be
// reached or didn't respond in time.
func IsUnresponsive(err error) bool {
	switch errkind.KindOf(err) {
	case errkind.TargetUnreachable, errkind.TargetSilent, errkind.DeadlinePassed:
		return err != nil
	default:
		return false
	}
}
