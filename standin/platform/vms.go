package platform

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// vmHistoryLen is how many versions of the VM list are kept for the lag.
const vmHistoryLen = 1000

// vmList keeps the VM list with its past, so that it can be told with a lag.
type vmList struct {
	mu      sync.Mutex
	history []vmVersion
}

type vmVersion struct {
	since time.Time
	vms   []*pb.Vm
}

func (l *vmList) set(now time.Time, vms []*pb.Vm) {
	kept := make([]*pb.Vm, len(vms))
	for i, vm := range vms {
		kept[i] = proto.CloneOf(vm)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, vmVersion{since: now, vms: kept})
	if len(l.history) > vmHistoryLen {
		l.history = l.history[1:]
	}
}

// at returns the list as it stood at a time: the first one where none did.
func (l *vmList) at(t time.Time) []*pb.Vm {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.history) - 1; i >= 0; i-- {
		if !l.history[i].since.After(t) {
			return l.history[i].vms
		}
	}
	if len(l.history) == 0 {
		return nil
	}
	return l.history[0].vms
}
