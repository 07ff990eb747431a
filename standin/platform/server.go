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

// maxMessageBytes bounds one message, so that a snapshot object fits.
const maxMessageBytes = 256 << 20

// Options configures a Server.
type Options struct {
	// Seed makes the random faults repeatable.
	Seed uint64
	// VMs is the VM list at the start.
	VMs []*pb.Vm
	// Limits are the rates over all doors.
	Limits Limits
}

// Server is the platform. It is safe for concurrent use.
type Server struct {
	seed   uint64
	store  *store
	vms    vmList
	counts counters
	pacers *pacers

	// stopped ends late commits and calls that hang.
	stopped context.Context
	stop    context.CancelFunc
	late    conc.WaitGroup

	mu     sync.Mutex
	faults Faults
	doors  []*door
}

// door is one listener with its own faults.
type door struct {
	lis  net.Listener
	grpc *grpc.Server
	gate *gate
}

// New returns a platform without rows.
func New(opts Options) *Server {
	stopped, stop := context.WithCancel(context.Background())
	s := &Server{seed: opts.Seed, store: newStore(), pacers: newPacers(opts.Limits), stopped: stopped, stop: stop}
	s.vms.set(time.Now(), opts.VMs)
	return s
}

// Serve serves one door until Close. It may be called for several listeners.
func (s *Server) Serve(lis net.Listener) error {
	return s.Open(lis)()
}

// Open adds a door and returns the function that serves it, so that Addr and
// SetDoorFaults know the door before its first call.
func (s *Server) Open(lis net.Listener) (serve func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &door{lis: lis, gate: newGate(s.seed, len(s.doors))}
	d.gate.set(s.faults)
	d.grpc = grpc.NewServer(
		grpc.UnaryInterceptor(s.enter(d.gate)),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.WaitForHandlers(true),
	)
	pb.RegisterTableServiceServer(d.grpc, &tables{server: s, gate: d.gate})
	pb.RegisterObjectStoreServer(d.grpc, &objects{server: s})
	pb.RegisterVmListServiceServer(d.grpc, &vmService{server: s, gate: d.gate})
	s.doors = append(s.doors, d)
	return func() error { return trace.Wrap(d.grpc.Serve(lis)) }
}

// Addr returns host:port of the first door, empty before Serve or Open.
func (s *Server) Addr() string {
	addrs := s.Addrs()
	if len(addrs) == 0 {
		return ""
	}
	return addrs[0]
}

// Addrs returns host:port of all doors.
func (s *Server) Addrs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addrs := make([]string, len(s.doors))
	for i, d := range s.doors {
		addrs[i] = d.lis.Addr().String()
	}
	return addrs
}

// Close ends all doors, the calls in progress and the late commits that have
// not taken effect.
func (s *Server) Close() {
	s.stop()
	s.mu.Lock()
	doors := s.doors
	s.mu.Unlock()
	for _, d := range doors {
		d.grpc.Stop()
	}
	s.late.Wait()
}

// SetFaults replaces the faults of all doors.
func (s *Server) SetFaults(f Faults) error {
	err := f.check()
	if err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, d := range s.doors {
		d.gate.set(f)
	}
	return nil
}

// SetListenerFaults replaces the faults of the door at one address.
func (s *Server) SetListenerFaults(address string, f Faults) error {
	err := f.check()
	if err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.doors {
		if d.lis.Addr().String() == address {
			d.gate.set(f)
			return nil
		}
	}
	return trace.NotFound("no door at %q", address)
}

// Faults returns the faults last set for all doors.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns what was counted since the start.
func (s *Server) Counts() Counts { return s.counts.snapshot() }

// SetVMs replaces the VM list.
func (s *Server) SetVMs(vms []*pb.Vm) { s.vms.set(time.Now(), vms) }

// VMs returns the VM list as it stands, without lag.
func (s *Server) VMs() []*pb.Vm { return s.vms.at(time.Now()) }

// enter is the interceptor that applies a door's faults to every call.
func (s *Server) enter(g *gate) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
		err := g.enter(ctx)
		if err != nil {
			s.counts.failed.Add(1)
			return nil, err
		}
		return handler(ctx, req)
	}
}

// doorFaults is the control message for one door.
type doorFaults struct {
	Address string `json:"address"`
	Faults  Faults `json:"faults"`
}

// ControlHandler returns the control door: POST and GET /control for the
// faults of all doors, POST /control/door for one, GET /counts, and POST and
// GET /vms with the VM list as a ListVmsResponse in JSON.
func (s *Server) ControlHandler() http.Handler {
	r := control.NewHandler[Faults, Counts](s)
	r.POST("/control/door", s.postDoor)
	r.POST("/vms", s.postVms)
	r.GET("/vms", s.getVms)
	return r
}

func (s *Server) postDoor(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
	var message doorFaults
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

func (s *Server) postVms(w http.ResponseWriter, req *http.Request, _ httprouter.Params) {
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

func (s *Server) getVms(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	body, err := protojson.Marshal(&pb.ListVmsResponse{Vms: s.VMs()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}
