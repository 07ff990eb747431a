package membership

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// sendHeartbeat sends one heartbeat and processes the response.
func (m *Membership) sendHeartbeat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := m.options.SendHeartbeat(ctx, address, m.newRequest())
	if err != nil || resp.GetReceiver() == nil {
		m.handleFailure(address)
		return
	}
	m.handleResponse(address, resp)
}

func (m *Membership) newRequest() *pb.HeartbeatRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &pb.HeartbeatRequest{
		Sender:         m.table.Self(),
		Time:           m.hybridTime(),
		LeavingTargets: m.leaving.HeartbeatTargets(m.options.Now()),
	}
}

func (m *Membership) hybridTime() *pb.HybridTime {
	if m.options.Clock == nil {
		return nil
	}
	return m.options.Clock.Now()
}

func (m *Membership) observeClock(t *pb.HybridTime) {
	if m.options.Clock != nil {
		m.options.Clock.Observe(t)
	}
}

func (m *Membership) handleResponse(address string, resp *pb.HeartbeatResponse) {
	m.observeClock(resp.Time)
	receiver := resp.Receiver
	up := false
	m.update(func(now time.Time) {
		up = m.table.RecordResponse(address, receiver, now)
		m.recordFromPeer(resp.LeavingTargets, now)
	})
	if up {
		m.options.Log.Info("membership: peer is up", zap.String("peer", receiver.Name))
		m.record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_PEER_UP, Detail: receiver.Name})
	}
	m.options.OnPeerVersion(receiver, receiver.ConfigVersion)
}

func (m *Membership) handleFailure(address string) {
	down := false
	m.update(func(now time.Time) { down = m.table.RecordFailure(address, now) })
	if down {
		m.options.Log.Warn("membership: peer doesn't respond", zap.String("address", address))
		m.record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_PEER_DOWN, Detail: address})
	}
}

// HandleHeartbeat responds to a peer's heartbeat. A request without a sender
// comes from an operator's tool, which queries this router's entry and doesn't
// become a member.
func (m *Membership) HandleHeartbeat(_ context.Context, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	sender := req.GetSender()
	if sender == nil {
		return &pb.HeartbeatResponse{Receiver: m.Self(), Time: m.hybridTime()}, nil
	}
	if sender.GetName() == "" || sender.GetPeerAddress() == "" {
		return nil, errkind.New(errkind.BadRequest, "the heartbeat's sender has no name or no peer address")
	}
	m.observeClock(req.Time)
	var resp *pb.HeartbeatResponse
	m.update(func(now time.Time) {
		m.table.RecordHeartbeat(sender, now)
		pushed := m.leaving.HeartbeatTargets(now)
		m.recordFromPeer(req.LeavingTargets, now)
		resp = &pb.HeartbeatResponse{Receiver: m.table.Self(), Time: m.hybridTime(), LeavingTargets: pushed}
	})
	m.options.OnPeerVersion(sender, sender.ConfigVersion)
	return resp, nil
}

// recordFromPeer records the leaving targets that a peer named. The caller
// holds m.mu.
func (m *Membership) recordFromPeer(targets []string, now time.Time) {
	for _, target := range targets {
		if m.leaving.RecordFromPeer(target, now) {
			m.announceLeaving(target, "peer", now)
		}
	}
}

// recordFromSource records a leaving target reported by the target itself or by
// the VM list. The caller holds m.mu.
func (m *Membership) recordFromSource(target string, now time.Time) {
	if m.leaving.RecordFromSource(target, now) {
		m.announceLeaving(target, "source", now)
	}
}

// announceLeaving logs a target that is newly known to be leaving and sends the
// next heartbeats sooner, so that peers learn of it. The caller holds m.mu.
func (m *Membership) announceLeaving(target, from string, now time.Time) {
	m.table.BoostHeartbeats(now)
	m.options.Log.Info("membership: target is leaving", zap.String("target", target), zap.String("from", from))
	m.record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_TARGET_LEAVING, Target: target, Detail: from})
}

func (m *Membership) record(e *pb.Event) {
	if m.options.Recorder != nil {
		m.options.Recorder.Record(e)
	}
}

func turnKey(task string, slot int64) string { return task + "/" + strconv.FormatInt(slot, 10) }
