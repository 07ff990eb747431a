package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/placement"
)

// Guards against admission in deployments whose settings don't ask for it, also where
// targets report how long work takes there.
func TestAdmissionIsOffByDefault(t *testing.T) {
	is := is.New(t)
	g := &Gateway{settings: &pb.GatewaySettings{MemoryMib: 112}, log: zap.NewNop(), registry: prometheus.NewRegistry(), targets: placement.New("dc")}
	g.targets.Update([]placement.Target{{ID: "a", Service: "s"}, {ID: "b", Service: "t"}}, time.Now())
	gate := newAdmission(g)
	report := func(service string, load placement.Load) {
		lease, err := g.targets.Pick(&placement.Request{Service: service, Now: time.Now()})
		is.NoErr(err)
		lease.ReportLoad(load, time.Now())
		lease.Done(placement.OK, time.Now())
	}
	report("s", placement.Load{Running: 1, Slots: 4})
	report("t", placement.Load{Running: 1, Slots: 4})
	is.True(!gate.Applies("s"))
	report("s", placement.Load{Running: 1, Slots: 4, PacePercent: 100})
	is.True(!gate.Applies("s"))
	g.settings.Admission = true
	is.True(gate.Applies("s"))
	is.True(gate.Applies("t")) // another service
}
