package membership

import (
	"context"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// vmListDue reports whether this router should read the VM list now: in its
// turns, and in every slot until it has read the list once. Only Run's
// goroutine calls it.
func (m *Membership) vmListDue() bool {
	slot := m.options.Now().UnixNano() / int64(vmListInterval)
	if slot == m.lastVMListSlot {
		return false
	}
	m.lastVMListSlot = slot
	return !m.vmListLoaded.Load() || m.HasTurn("vm-list", slot)
}

func (m *Membership) readVMList(ctx context.Context) {
	defer m.vmListReading.Store(false)
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vms, err := m.options.VMs.ListVMs(ctx)
	if err != nil {
		m.options.Log.Warn("membership: failed to read the VM list", zap.Error(err))
		return
	}
	m.vmListLoaded.Store(true)
	m.update(func(now time.Time) {
		m.table.SetVMs(vms, now)
		m.recordLeavingVMs(vms, now)
	})
}

// recordLeavingVMs marks the targets on leaving VMs, by name and by address.
func (m *Membership) recordLeavingVMs(vms []*pb.Vm, now time.Time) {
	for _, vm := range vms {
		if vm.Role != pb.VmRole_VM_ROLE_TARGET || vm.State != pb.VmState_VM_STATE_LEAVING {
			continue
		}
		m.recordFromSource(vm.Name, now)
		if vm.Address != "" {
			m.recordFromSource(vm.Address, now)
		}
	}
}
