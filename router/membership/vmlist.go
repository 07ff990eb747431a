package membership

import (
	"context"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// vmListDue tells whether this router should read the VM list now: in its
// turns, and until it has read it once. Only Run's goroutine calls it.
func (m *Membership) vmListDue() bool {
	slot := m.options.Now().UnixNano() / int64(vmListInterval)
	if slot == m.lastSlot {
		return false
	}
	m.lastSlot = slot
	return !m.vmListRead.Load() || m.HasTurn("vm-list", slot)
}

func (m *Membership) readVmList(ctx context.Context) {
	defer m.reading.Store(false)
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vms, err := m.options.VMs.ListVMs(ctx)
	if err != nil {
		m.options.Log.Warn("membership: VM list can't be read", zap.Error(err))
		return
	}
	m.vmListRead.Store(true)
	m.update(func(now time.Time) {
		m.table.SetVMs(vms, now)
		m.reportLeavingVms(vms, now)
	})
}

// reportLeavingVms marks the targets of leaving VMs by name and by address.
func (m *Membership) reportLeavingVms(vms []*pb.Vm, now time.Time) {
	for _, vm := range vms {
		if vm.Role != pb.VmRole_VM_ROLE_TARGET || vm.State != pb.VmState_VM_STATE_LEAVING {
			continue
		}
		m.report(vm.Name, now)
		if vm.Address != "" {
			m.report(vm.Address, now)
		}
	}
}
