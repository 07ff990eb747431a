package gateway

import (
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// Guards against admission in deployments whose settings don't ask for it.
func TestAdmissionIsOffByDefault(t *testing.T) {
	is := is.New(t)
	g := &Gateway{settings: &pb.GatewaySettings{MemoryMib: 112}, log: zap.NewNop(), registry: prometheus.NewRegistry()}
	is.True(newAdmission(g) == nil)
	g.settings.Admission = true
	is.True(newAdmission(g) != nil)
}
