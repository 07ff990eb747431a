package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/encoding/protojson"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/standin/control"
)

// maxMessageBytes is the maximum size of a gRPC message. It is large enough for
// a snapshot object.
const maxMessageBytes = 256 << 20

// Options configures a Server.
type Options struct {
	// Seed makes the random faults reproducible.
	Seed uint64
	// VMs is the initial VM list.
	VMs []*pb.Vm
	// Limits are the rate limits over all listeners.
	Limits Limits
}

// Server emulates the platform. It is safe for concurrent use.
type Server struct {
	seed     uint64
	store    *store
	vms      vmList
	counts   counters
	limiters *rateLimiters

	// stopped is cancelled by Close. It ends pending late commits and the calls
	// that wait for one.
	stopped     context.Context
	stop        context.CancelFunc
	lateCommits conc.WaitGroup

	mu        sync.Mutex
	faults    Faults
	endpoints []*endpoint
}

// endpoint is one listener with its own faults.
type endpoint struct {
	lis    net.Listener
	grpc   *grpc.Server
	faults *faultInjector
}

// New returns a platform server without rows.
func New(opts Options) *Server {
	stopped, stop := context.WithCancel(context.Background())
	s := &Server{seed: opts.Seed, store: newStore(), limiters: newRateLimiters(opts.Limits), stopped: stopped, stop: stop}
	s.vms.set(time.Now(), opts.VMs)
	return s
}

// Serve serves the listener until Close. It may be called for several
// listeners.
func (s *Server) Serve(lis net.Listener) error {
	return s.Open(lis)()
}

// Open adds a listener and returns the function that serves it, so that Addr
// and SetListenerFaults know the listener before its first call.
func (s *Server) Open(lis net.Listener) (serve func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &endpoint{lis: lis, faults: newFaultInjector(s.seed, len(s.endpoints))}
	e.faults.set(s.faults)
	e.grpc = grpc.NewServer(
		grpc.UnaryInterceptor(s.faultInterceptor(e.faults)),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.WaitForHandlers(true),
	)
	pb.RegisterTableServiceServer(e.grpc, &tableService{server: s, faults: e.faults})
	pb.RegisterObjectStoreServer(e.grpc, &objectStore{server: s})
	pb.RegisterVmListServiceServer(e.grpc, &vmListService{server: s, faults: e.faults})
	s.endpoints = append(s.endpoints, e)
	return func() error { return trace.Wrap(e.grpc.Serve(lis)) }
}

// Addr returns host:port of the first listener, or an empty string before Serve
// or Open.
func (s *Server) Addr() string {
	addrs := s.Addrs()
	if len(addrs) == 0 {
		return ""
	}
	return addrs[0]
}

// Addrs returns host:port of all listeners.
func (s *Server) Addrs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addrs := make([]string, len(s.endpoints))
	for i, e := range s.endpoints {
		addrs[i] = e.lis.Addr().String()
	}
	return addrs
}

// Close stops all listeners and the calls in progress, and discards the late
// commits that have not taken effect.
func (s *Server) Close() {
	s.stop()
	s.mu.Lock()
	endpoints := s.endpoints
	s.mu.Unlock()
	for _, e := range endpoints {
		e.grpc.Stop()
	}
	s.lateCommits.Wait()
}

// SetFaults replaces the faults of all listeners.
func (s *Server) SetFaults(f Faults) error {
	err := f.check()
	if err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, e := range s.endpoints {
		e.faults.set(f)
	}
	return nil
}

// SetListenerFaults replaces the faults of the listener at address.
func (s *Server) SetListenerFaults(address string, f Faults) error {
	err := f.check()
	if err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.endpoints {
		if e.lis.Addr().String() == address {
			e.faults.set(f)
			return nil
		}
	}
	return trace.NotFound("no listener at address %q", address)
}

// Faults returns the faults last set for all listeners.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the counters since the start.
func (s *Server) Counts() Counts { return s.counts.snapshot() }

// SetVMs replaces the VM list.
func (s *Server) SetVMs(vms []*pb.Vm) { s.vms.set(time.Now(), vms) }

// VMs returns the current VM list, without lag.
func (s *Server) VMs() []*pb.Vm { return s.vms.at(time.Now()) }

// faultInterceptor returns the interceptor that applies a listener's latency
// and outages to every call.
func (s *Server) faultInterceptor(inj *faultInjector) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
		err := inj.beforeCall(ctx)
		if err != nil {
			s.counts.failed.Add(1)
			return nil, err
		}
		return handler(ctx, req)
	}
}

// listenerFaults is the control message that sets the faults of one listener.
type listenerFaults struct {
	Address string `json:"address"`
	Faults  Faults `json:"faults"`
}

// ControlHandler returns the handler of the control API: POST and GET /control
// for the faults of all listeners, POST /control/door for those of one
// listener, GET /counts, and POST and GET /vms for the VM list as a
// ListVmsResponse in JSON.
func (s *Server) ControlHandler() http.Handler {
	r := control.NewHandler[Faults, Counts](s)
	r.POST("/control/door", s.postListenerFaults)
	r.POST("/vms", s.postVMs)
	r.GET("/vms", s.getVMs)
	return r
}

func (s *Server) postListenerFaults(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	var message listenerFaults
	err := control.DecodeJSON(w, req, &message)
	if err == nil {
		err = s.SetListenerFaults(message.Address, message.Faults)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	control.WriteJSON(w, message)
}

func (s *Server) postVMs(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	body, err := control.ReadBody(w, req)
	list := &pb.ListVmsResponse{}
	if err == nil {
		err = protojson.Unmarshal(body, list)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetVMs(list.Vms)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getVMs(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	body, err := protojson.Marshal(&pb.ListVmsResponse{Vms: s.VMs()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}
