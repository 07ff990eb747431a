package processtest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/ctl/emulatecmd"
	"cuminrock.example/standin/engine"
	"cuminrock.example/standin/platform"
	"cuminrock.example/standin/service"
	"cuminrock.example/standin/target"
)

// standIn is one stand-in process.
type standIn struct {
	*Process
	ready emulatecmd.ReadyMessage
}

func startStandIn(t testing.TB, b Binaries, name, kind string, args ...string) standIn {
	t.Helper()
	s := standIn{}
	s.Process = startProcess(t, name, &s.ready, b.Ctl, append([]string{"emulate", kind}, args...)...)
	return s
}

// postControl posts a JSON message to the control address of the stand-in.
func (s *standIn) postControl(path string, body []byte) {
	s.t.Helper()
	resp, err := http.Post("http://"+s.ready.Control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		s.t.Fatalf("%s: %v", s.name, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(resp.Body)
		s.t.Fatalf("%s rejected the control message: %s", s.name, text)
	}
}

func (s *standIn) getCounts(dst any) {
	s.t.Helper()
	resp, err := http.Get("http://" + s.ready.Control + "/counts")
	if err != nil {
		s.t.Fatalf("%s: %v", s.name, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(dst); err != nil {
		s.t.Fatalf("%s: decode counts: %v", s.name, err)
	}
}

// mustMarshal encodes a message as JSON. It panics on an error, which can't occur
// as the messages have only plain fields.
func mustMarshal[M platform.Faults | target.Faults | endpointFaults](message M) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return body
}

// endpointFaults is the control message that sets the faults of one platform
// endpoint.
type endpointFaults struct {
	Address string          `json:"address"`
	Faults  platform.Faults `json:"faults"`
}

// Platform is the process of the platform stand-in.
type Platform struct {
	standIn
	// endpoints holds the address for each data centre, keyed by its name.
	endpoints map[string]string
	// observerAddress is the test's own endpoint, on which no faults are
	// injected.
	observerAddress string
}

// SetFaults replaces the faults injected for one data centre.
func (p *Platform) SetFaults(centre string, f platform.Faults) {
	p.t.Helper()
	p.postControl("/control/door", mustMarshal(endpointFaults{Address: p.endpoints[centre], Faults: f}))
}

// SetAllFaults replaces the faults injected for every data centre.
func (p *Platform) SetAllFaults(f platform.Faults) {
	p.t.Helper()
	for centre := range p.endpoints {
		p.SetFaults(centre, f)
	}
}

// SetVMs replaces the VM list.
func (p *Platform) SetVMs(vms []*pb.Vm) {
	p.t.Helper()
	body, err := protojson.Marshal(&pb.ListVmsResponse{Vms: vms})
	if err != nil {
		p.t.Fatal(err)
	}
	p.postControl("/vms", body)
}

// Counts returns the counters of the platform stand-in.
func (p *Platform) Counts() platform.Counts {
	var c platform.Counts
	p.getCounts(&c)
	return c
}

// Target is the process of a model engine or a plain service.
type Target struct {
	standIn
	// Name, Service, Provider and Centre are as in the sheet.
	Name, Service, Provider, Centre string
	// Leaving is the leaving mark in the sheet.
	Leaving bool
}

// SetFaults replaces the faults injected at the target.
func (g *Target) SetFaults(f target.Faults) {
	g.t.Helper()
	g.postControl("/control", mustMarshal(f))
}

// EngineCounts returns the counters of a model engine.
func (g *Target) EngineCounts() engine.Counts {
	var c engine.Counts
	g.getCounts(&c)
	return c
}

// ServiceCounts returns the counters of a plain service.
func (g *Target) ServiceCounts() service.Counts {
	var c service.Counts
	g.getCounts(&c)
	return c
}
