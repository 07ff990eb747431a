// Package operatorapi is the HTTP API for operators and for the platform's
// balancer: health, status, timeline, metrics and the drain command.
package operatorapi

import (
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/timeline"
)

// Health is the response to the balancer's health check.
type Health struct {
	Ready bool `json:"ready"`
	// Reason says why the router is not ready; empty when it is.
	Reason string `json:"reason,omitempty"`
}

// Status is the response to an operator's status request.
type Status struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	Ready       bool   `json:"ready"`
	Reason      string `json:"reason,omitempty"`
	Draining    bool   `json:"draining"`
	// ConfigVersion is the version in force; 0 before there is one.
	ConfigVersion uint64 `json:"config_version"`
	// Streams is the number of streams in progress, including parked ones.
	Streams int64    `json:"streams"`
	Members []Member `json:"members"`
}

// Member is another router as this one sees it.
type Member struct {
	Name          string `json:"name"`
	DataCentre    string `json:"data_centre"`
	Draining      bool   `json:"draining"`
	ConfigVersion uint64 `json:"config_version"`
}

// Node is the router that the API reports on. It is safe for concurrent use.
type Node interface {
	// Health reports whether the balancer may send requests.
	Health() Health
	// Status returns the router's state.
	Status() Status
	// Drain starts a graceful stop and returns at once.
	Drain()
}

// Server serves the operators' API.
type Server struct {
	node     Node
	recorder *timeline.Recorder
	token    string
	vars     *expvar.Map
}

// New returns a server. An empty token accepts every request; the settings
// check refuses an empty token unless the listener's address is loopback.
func New(node Node, recorder *timeline.Recorder, token string, vars *expvar.Map) *Server {
	return &Server{node: node, recorder: recorder, token: token, vars: vars}
}

// Handler returns the HTTP handler of all paths. The health check needs no
// token.
func (s *Server) Handler() http.Handler {
	routes := httprouter.New()
	routes.GET("/health", s.health)
	routes.GET("/status", s.requireToken(s.status))
	routes.GET("/timeline", s.requireToken(s.timeline))
	routes.GET("/debug/vars", s.requireToken(s.metrics))
	routes.POST("/drain", s.requireToken(s.drain))
	return routes
}

// requireToken passes on only requests with the operator token.
func (s *Server) requireToken(next httprouter.Handle) httprouter.Handle {
	want := []byte("Bearer " + s.token)
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		got := []byte(r.Header.Get("Authorization"))
		if s.token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			writeError(w, errkind.New(errkind.Unauthorized, "the operator token is required"))
			return
		}
		next(w, r, p)
	}
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	h := s.node.Health()
	status := http.StatusOK
	if !h.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, h)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, s.node.Status())
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.node.Drain()
	writeJSON(w, http.StatusAccepted, s.node.Health())
}

// metrics writes this router's variables, or those of the whole process if the
// query has "process".
func (s *Server) metrics(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if r.URL.Query().Has("process") {
		expvar.Handler().ServeHTTP(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(s.vars.String()))
}

func (s *Server) timeline(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	filter, err := parseFilter(r)
	if err != nil {
		writeError(w, err)
		return
	}
	writeProto(w, &pb.EventList{Events: s.recorder.Events(filter)})
}

func parseFilter(r *http.Request) (*pb.EventFilter, error) {
	q := r.URL.Query()
	f := &pb.EventFilter{RequestId: q.Get("request_id"), Budget: q.Get("budget")}
	since, err := parseTime(q.Get("since_ms"))
	if err != nil {
		return nil, err
	}
	f.Since = since
	until, err := parseTime(q.Get("until_ms"))
	if err != nil {
		return nil, err
	}
	f.Until = until
	if q.Get("limit") == "" {
		return f, nil
	}
	limit, err := strconv.ParseUint(q.Get("limit"), 10, 32)
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "limit must be an unsigned 32-bit number")
	}
	f.Limit = uint32(limit)
	return f, nil
}

// parseTime parses milliseconds since the Unix epoch; an empty text gives nil.
func parseTime(text string) (*pb.HybridTime, error) {
	if text == "" {
		return nil, nil
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "since_ms and until_ms must be milliseconds since the Unix epoch")
	}
	return &pb.HybridTime{WallNs: ms * int64(time.Millisecond)}, nil
}

func writeError(w http.ResponseWriter, err error) {
	e := errkind.FromError(err)
	http.Error(w, e.Error(), e.Kind.Properties().Status)
}

func writeJSON[T Health | Status](w http.ResponseWriter, status int, v T) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeProto(w http.ResponseWriter, m proto.Message) {
	data, err := protojson.Marshal(m)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
