package configlog

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platformclient"
)

// SnapshotInterval is how many changes may follow a snapshot before the next is
// written.
const SnapshotInterval = 64

// SnapshotDue tells whether a snapshot of the newest version should be
// written: many changes follow the last one, or a large one does.
func SnapshotDue(ctx context.Context, p platformclient.Platform) (bool, error) {
	h, err := readHead(ctx, p)
	if err != nil {
		return false, err
	}
	return h.Version >= h.SnapshotVersion+SnapshotInterval, nil
}

// WriteSnapshot stores a view and moves the head's snapshot version up to it.
// It may be repeated; the same version has the same records. Losing its answer
// costs nothing but a later snapshot.
func WriteSnapshot(ctx context.Context, p platformclient.Platform, view *config.View) error {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(view.Snapshot())
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "the snapshot can't be encoded")
	}
	if err := p.PutObject(ctx, snapshotObject(view.Version()), data); err != nil {
		return down(err, "the snapshot can't be stored")
	}
	h, err := readHead(ctx, p)
	if err != nil {
		return err
	}
	if h.SnapshotVersion >= view.Version() || h.Version < view.Version() {
		return nil
	}
	return moveSnapshot(ctx, p, h, view.Version())
}

// moveSnapshot leaves version and nonce as they are. A head that moved
// meanwhile keeps its older snapshot, which is whole as well.
func moveSnapshot(ctx context.Context, tables platformclient.TableStore, h head, version uint64) error {
	next := &pb.ConfigHead{Version: h.Version, SnapshotVersion: version, Nonce: h.Nonce}
	_, err := tables.Commit(ctx, &pb.CommitRequest{
		Conditions: []*pb.Condition{{Key: headKey, Version: h.row}},
		Writes:     []*pb.Write{{Key: headKey, Value: encodeHead(next)}},
	})
	if err != nil {
		return down(err, "the head's snapshot version can't be moved")
	}
	return nil
}
