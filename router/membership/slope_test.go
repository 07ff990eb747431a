package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/memberlist"
)

// benchmarkVMs returns a VM list in which three of eight VMs are entry VMs.
func benchmarkVMs(n int) []*pb.Vm {
	vms := make([]*pb.Vm, n)
	for i := range vms {
		role := pb.VmRole_VM_ROLE_TARGET
		if i%8 < 3 {
			role = pb.VmRole_VM_ROLE_ENTRY
		}
		vms[i] = &pb.Vm{
			Name:       fmt.Sprintf("cluj-a-vm-%04d", i),
			Instance:   fmt.Sprintf("0f8fad5b-d9cb-469f-a165-%012d", i),
			DataCentre: fmt.Sprintf("dc-%d", i%7),
			Role:       role,
			State:      pb.VmState_VM_STATE_LIVE,
			Address:    fmt.Sprintf("10.0.%d.%d:8082", i>>8, i&255),
		}
	}
	return vms
}

// BenchmarkSlopeVmList decodes a VM list and applies it to a member table.
func BenchmarkSlopeVmList(b *testing.B) {
	for _, n := range []int{24, 240, 960} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			data, err := proto.Marshal(&pb.ListVmsResponse{Vms: benchmarkVMs(n)})
			if err != nil {
				b.Fatal(err)
			}
			self := &pb.Member{Name: "cluj-a-vm-0000", DataCentre: "dc-0", PeerAddress: "10.0.0.0:8082"}
			table := memberlist.NewTable(self, nil, rand.New(rand.NewPCG(1, 2)))
			now := time.Unix(1, 0)
			for b.Loop() {
				list := &pb.ListVmsResponse{}
				if err := proto.Unmarshal(data, list); err != nil {
					b.Fatal(err)
				}
				table.SetVMs(list.Vms, now)
			}
			b.ReportMetric(float64(len(data))/float64(n), "B/vm")
		})
	}
}
