package membership

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// call sends one heartbeat and takes what comes back.
func (m *Membership) call(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := m.options.SendHeartbeat(ctx, address, m.request())
	if err != nil || resp.GetReceiver() == nil {
		m.failed(address)
		return
	}
	m.answered(address, resp)
}

func (m *Membership) request() *pb.HeartbeatRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &pb.HeartbeatRequest{
		Sender:         m.table.Self(),
		Time:           m.time(),
		LeavingTargets: m.leaving.HeartbeatTargets(m.options.Now()),
	}
}

func (m *Membership) time() *pb.HybridTime {
	if m.options.Clock == nil {
		return nil
	}
	return m.options.Clock.Now()
}

func (m *Membership) observe(t *pb.HybridTime) {
	if m.options.Clock != nil {
		m.options.Clock.Observe(t)
	}
}

func (m *Membership) answered(address string, resp *pb.HeartbeatResponse) {
	m.observe(resp.Time)
	receiver := resp.Receiver
	up := false
	m.update(func(now time.Time) {
		up = m.table.RecordResponse(address, receiver, now)
		m.hear(resp.LeavingTargets, now)
	})
	if up {
		m.options.Log.Info("membership: peer is up", zap.String("peer", receiver.Name))
		m.record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_PEER_UP, Detail: receiver.Name})
	}
	m.options.OnPeerVersion(receiver, receiver.ConfigVersion)
}

func (m *Membership) failed(address string) {
	down := false
	m.update(func(now time.Time) { down = m.table.RecordFailure(address, now) })
	if down {
		m.options.Log.Warn("membership: peer doesn't answer", zap.String("address", address))
		m.record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_PEER_DOWN, Detail: address})
	}
}

// HandleHeartbeat answers a peer's heartbeat. A request without a sender is a
// question of an operator's tool, which learns of this router and is not a
// member.
func (m *Membership) HandleHeartbeat(_ context.Context, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	sender := req.GetSender()
	if sender == nil {
		return &pb.HeartbeatResponse{Receiver: m.Self(), Time: m.time()}, nil
	}
	if sender.GetName() == "" || sender.GetPeerAddress() == "" {
		return nil, errkind.New(errkind.BadRequest, "the heartbeat names no sender")
	}
	m.observe(req.Time)
	var resp *pb.HeartbeatResponse
	m.update(func(now time.Time) {
		m.table.RecordHeartbeat(sender, now)
		pushed := m.leaving.HeartbeatTargets(now)
		m.hear(req.LeavingTargets, now)
		resp = &pb.HeartbeatResponse{Receiver: m.table.Self(), Time: m.time(), LeavingTargets: pushed}
	})
	m.options.OnPeerVersion(sender, sender.ConfigVersion)
	return resp, nil
}

// hear takes the leaving targets of a peer. The caller holds the lock.
func (m *Membership) hear(targets []string, now time.Time) {
	for _, target := range targets {
		if m.leaving.RecordFromPeer(target, now) {
			m.leavingNews(target, "peer", now)
		}
	}
}

// report takes a leaving target from a source. The caller holds the lock.
func (m *Membership) report(target string, now time.Time) {
	if m.leaving.RecordFromSource(target, now) {
		m.leavingNews(target, "source", now)
	}
}

// leavingNews tells peers of a target soon. The caller holds the lock.
func (m *Membership) leavingNews(target, from string, now time.Time) {
	m.table.BoostHeartbeats(now)
	m.options.Log.Info("membership: target is leaving", zap.String("target", target), zap.String("from", from))
	m.record(&pb.Event{Kind: pb.EventKind_EVENT_KIND_TARGET_LEAVING, Target: target, Detail: from})
}

func (m *Membership) record(e *pb.Event) {
	if m.options.Recorder != nil {
		m.options.Recorder.Record(e)
	}
}

func dutyKey(task string, slot int64) string { return task + "/" + strconv.FormatInt(slot, 10) }
