// Package operatorapi is the HTTP door for operators and for the platform's
// balancer: health, status, time line, metrics and the order to drain.
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

// Health is the answer to the balancer.
type Health struct {
	Ready bool `json:"ready"`
	// Reason says why the router is not ready; empty when it is.
	Reason string `json:"reason,omitempty"`
}

// Status is the answer to operators.
type Status struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	DataCentre  string `json:"data_centre"`
	Ready       bool   `json:"ready"`
	Reason      string `json:"reason,omitempty"`
	Draining    bool   `json:"draining"`
	// ConfigVersion is the version in force; 0 before there is one.
	ConfigVersion uint64 `json:"config_version"`
	// Streams counts streams in progress, parked ones included.
	Streams int64    `json:"streams"`
	Members []Member `json:"members"`
}

// Member is one other router as this one sees it.
type Member struct {
	Name          string `json:"name"`
	DataCentre    string `json:"data_centre"`
	Draining      bool   `json:"draining"`
	ConfigVersion uint64 `json:"config_version"`
}

// Node is what the door tells of. It is safe for concurrent use.
type Node interface {
	// Health returns whether the balancer may send requests.
	Health() Health
	// Status returns the router's state.
	Status() Status
	// Drain starts a planned stop and returns at once.
	Drain()
}

// Server answers operators.
type Server struct {
	node     Node
	recorder *timeline.Recorder
	token    string
	vars     *expvar.Map
}

// New returns a door. An empty token lets every request in; the settings
// refuse that on an address that isn't loopback.
func New(node Node, recorder *timeline.Recorder, token string, vars *expvar.Map) *Server {
	return &Server{node: node, recorder: recorder, token: token, vars: vars}
}

// Handler returns the door's routes. Health needs no token.
func (d *Server) Handler() http.Handler {
	routes := httprouter.New()
	routes.GET("/health", d.health)
	routes.GET("/status", d.guarded(d.status))
	routes.GET("/timeline", d.guarded(d.timeline))
	routes.GET("/debug/vars", d.guarded(d.metrics))
	routes.POST("/drain", d.guarded(d.drain))
	return routes
}

// guarded lets only requests with the operator token through.
func (d *Server) guarded(next httprouter.Handle) httprouter.Handle {
	want := []byte("Bearer " + d.token)
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		got := []byte(r.Header.Get("Authorization"))
		if d.token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			refuse(w, errkind.New(errkind.Unauthorized, "the operator token is needed"))
			return
		}
		next(w, r, p)
	}
}

func (d *Server) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	h := d.node.Health()
	status := http.StatusOK
	if !h.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, h)
}

func (d *Server) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, d.node.Status())
}

func (d *Server) drain(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	d.node.Drain()
	writeJSON(w, http.StatusAccepted, d.node.Health())
}

// metrics writes the process's and this router's variables.
func (d *Server) metrics(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if r.URL.Query().Has("process") {
		expvar.Handler().ServeHTTP(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(d.vars.String()))
}

func (d *Server) timeline(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	filter, err := readFilter(r)
	if err != nil {
		refuse(w, err)
		return
	}
	writeProto(w, &pb.EventList{Events: d.recorder.Events(filter)})
}

func readFilter(r *http.Request) (*pb.EventFilter, error) {
	q := r.URL.Query()
	f := &pb.EventFilter{RequestId: q.Get("request_id"), Budget: q.Get("budget")}
	since, err := readTime(q.Get("since_ms"))
	if err != nil {
		return nil, err
	}
	f.Since = since
	until, err := readTime(q.Get("until_ms"))
	if err != nil {
		return nil, err
	}
	f.Until = until
	if q.Get("limit") == "" {
		return f, nil
	}
	limit, err := strconv.ParseUint(q.Get("limit"), 10, 32)
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "limit must be a number")
	}
	f.Limit = uint32(limit)
	return f, nil
}

// readTime reads milliseconds since the Unix epoch; empty is nil.
func readTime(text string) (*pb.HybridTime, error) {
	if text == "" {
		return nil, nil
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "times are milliseconds since the Unix epoch")
	}
	return &pb.HybridTime{WallNs: ms * int64(time.Millisecond)}, nil
}

func refuse(w http.ResponseWriter, err error) {
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
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
