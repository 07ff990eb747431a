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

// post sends a control message as JSON.
func (s *standIn) post(path string, body []byte) {
	s.t.Helper()
	resp, err := http.Post("http://"+s.ready.Control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		s.t.Fatalf("%s: %v", s.name, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(resp.Body)
		s.t.Fatalf("%s refused a control message: %s", s.name, text)
	}
}

func (s *standIn) counts(into any) {
	s.t.Helper()
	resp, err := http.Get("http://" + s.ready.Control + "/counts")
	if err != nil {
		s.t.Fatalf("%s: %v", s.name, err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		s.t.Fatalf("%s: counts: %v", s.name, err)
	}
}

// encode returns a message as JSON; the messages hold only plain fields.
func encode[M platform.Faults | target.Faults | doorFaults](message M) []byte {
	body, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return body
}

// doorFaults is the platform's control message for one door.
type doorFaults struct {
	Address string          `json:"address"`
	Faults  platform.Faults `json:"faults"`
}

// Platform is the platform's process.
type Platform struct {
	standIn
	// doors is the door of each data centre, by name.
	doors map[string]string
	// observer is the test's own door, which is never broken.
	observer string
}

// SetFaults replaces the faults that one data centre sees.
func (p *Platform) SetFaults(centre string, f platform.Faults) {
	p.t.Helper()
	p.post("/control/door", encode(doorFaults{Address: p.doors[centre], Faults: f}))
}

// SetAllFaults replaces the faults that all data centres see.
func (p *Platform) SetAllFaults(f platform.Faults) {
	p.t.Helper()
	for centre := range p.doors {
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
	p.post("/vms", body)
}

// Counts returns what the platform counted.
func (p *Platform) Counts() platform.Counts {
	var c platform.Counts
	p.counts(&c)
	return c
}

// Target is the process of a model engine or a plain service.
type Target struct {
	standIn
	// Name, Service, Provider and Centre are as in the sheet.
	Name, Service, Provider, Centre string
	// Leaving is what the sheet says.
	Leaving bool
}

// SetFaults replaces the target's faults.
func (g *Target) SetFaults(f target.Faults) {
	g.t.Helper()
	g.post("/control", encode(f))
}

// EngineCounts returns what a model engine counted.
func (g *Target) EngineCounts() engine.Counts {
	var c engine.Counts
	g.counts(&c)
	return c
}

// ServiceCounts returns what a plain service counted.
func (g *Target) ServiceCounts() service.Counts {
	var c service.Counts
	g.counts(&c)
	return c
}
