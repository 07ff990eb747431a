package platform

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// vmHistoryLen is the maximum number of VM list versions that are kept for
// Faults.VMListLagMs.
const vmHistoryLen = 1000

// vmList keeps the VM list and its earlier versions, so that a stale list can
// be served.
type vmList struct {
	mu      sync.Mutex
	history []vmVersion
}

type vmVersion struct {
	since time.Time
	vms   []*pb.Vm
}

func (l *vmList) set(now time.Time, vms []*pb.Vm) {
	copies := make([]*pb.Vm, len(vms))
	for i, vm := range vms {
		copies[i] = proto.CloneOf(vm)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, vmVersion{since: now, vms: copies})
	if len(l.history) > vmHistoryLen {
		l.history = l.history[1:]
	}
}

// at returns the list that was current at time t, or the oldest one kept if
// that is newer than t.
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
