// Package operator is a client of the routers' operator API.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/responseconn"
)

// maxResponseBytes bounds one response of an operator API.
const maxResponseBytes = 256 << 20

// Member is one router in another router's member list.
type Member struct {
	Name            string `json:"name"`
	Incarnation     string `json:"incarnation"`
	DataCentre      string `json:"data_centre"`
	OperatorAddress string `json:"operator_address"`
	Draining        bool   `json:"draining"`
	ConfigVersion   uint64 `json:"config_version"`
}

// Status is the status of a router.
type Status struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	Ready       bool   `json:"ready"`
	// Reason says why the router isn't ready.
	Reason        string   `json:"reason"`
	Draining      bool     `json:"draining"`
	ConfigVersion uint64   `json:"config_version"`
	Streams       int      `json:"streams"`
	Members       []Member `json:"members"`
}

// Client is a client of the operator API of one router.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// New returns a client of the operator API at address, which is host:port. The
// token may be empty. The timeout bounds each call.
func New(address, token string, timeout time.Duration) *Client {
	transport := responseconn.NewTransport(http.DefaultTransport.(*http.Transport).Clone())
	return &Client{address: address, token: token, http: &http.Client{Timeout: timeout, Transport: transport}}
}

// Address returns the host:port of the operator API.
func (c *Client) Address() string { return c.address }

// Status fetches the router's status.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	body, err := c.call(ctx, http.MethodGet, "/status", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	status := &Status{}
	err = json.Unmarshal(body, status)
	if err != nil {
		return nil, trace.Wrap(err, "status of %s", c.address)
	}
	return status, nil
}

// Timeline fetches the router's events. It doesn't send the filter's Until time;
// the caller applies that with timeline.Matches.
func (c *Client) Timeline(ctx context.Context, filter *pb.EventFilter) ([]*pb.Event, error) {
	body, err := c.call(ctx, http.MethodGet, "/timeline", timelineQuery(filter))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	list := &pb.EventList{}
	err = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(body, list)
	if err != nil {
		return nil, trace.Wrap(err, "timeline of %s", c.address)
	}
	return list.Events, nil
}

func timelineQuery(filter *pb.EventFilter) url.Values {
	query := url.Values{}
	if filter.GetRequestId() != "" {
		query.Set("request_id", filter.RequestId)
	}
	if filter.GetBudget() != "" {
		query.Set("budget", filter.Budget)
	}
	if filter.GetSince() != nil {
		since := time.Duration(filter.Since.WallNs)
		query.Set("since_ms", strconv.FormatInt(since.Milliseconds(), 10))
	}
	if filter.GetLimit() > 0 {
		query.Set("limit", strconv.FormatUint(uint64(filter.Limit), 10))
	}
	return query
}

// Drain requests a graceful stop.
func (c *Client) Drain(ctx context.Context) error {
	_, err := c.call(ctx, http.MethodPost, "/drain", nil)
	return trace.Wrap(err)
}

// routerMetrics holds the metrics that this client reads.
type routerMetrics struct {
	CPUSeconds float64 `json:"cpu_seconds"`
}

// CPUTime returns the CPU time that the router has used.
func (c *Client) CPUTime(ctx context.Context) (time.Duration, error) {
	body, err := c.call(ctx, http.MethodGet, "/debug/vars", nil)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	var v routerMetrics
	err = json.Unmarshal(body, &v)
	if err != nil {
		return 0, trace.Wrap(err, "metrics of %s", c.address)
	}
	return time.Duration(v.CPUSeconds * float64(time.Second)), nil
}

// call makes one call and returns the body of a successful response.
func (c *Client) call(ctx context.Context, method, path string, query url.Values) ([]byte, error) {
	address := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, address.String(), nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "router %s did not respond", c.address)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, trace.Errorf("router %s returned an error: %s", c.address, errorText(resp.StatusCode, body))
	}
	return body, nil
}

// errorText returns the status with the kind and message of an error body, or
// with the first 200 characters of any other body.
func errorText(status int, body []byte) string {
	var errorBody struct {
		Error struct {
			Kind    string `json:"kind"`
			Message string `json:"message"`
		} `json:"error"`
	}
	err := json.Unmarshal(body, &errorBody)
	if err != nil || errorBody.Error.Kind == "" {
		return fmt.Sprintf("%d: %.200s", status, strings.TrimSpace(string(body)))
	}
	return fmt.Sprintf("%d %s: %s", status, errorBody.Error.Kind, errorBody.Error.Message)
}
