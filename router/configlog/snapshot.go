package configlog

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platformclient"
)

// SnapshotInterval is the number of changes after a snapshot at which the next
// one is due.
const SnapshotInterval = 64

// SnapshotDue reports whether SnapshotInterval or more changes follow the last
// snapshot.
func SnapshotDue(ctx context.Context, p platformclient.Platform) (bool, error) {
	h, err := readHead(ctx, p)
	if err != nil {
		return false, err
	}
	return h.Version >= h.SnapshotVersion+SnapshotInterval, nil
}

// WriteSnapshot stores a view and advances the head's snapshot version to it.
// It may be repeated, since the same version always has the same records. If
// its response is lost, the only effect is that the next snapshot comes later.
func WriteSnapshot(ctx context.Context, p platformclient.Platform, view *config.View) error {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(view.Snapshot())
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "the snapshot can't be encoded")
	}
	if err := p.PutObject(ctx, snapshotObject(view.Version()), data); err != nil {
		return wrapPlatformDown(err, "the snapshot can't be stored")
	}
	h, err := readHead(ctx, p)
	if err != nil {
		return err
	}
	if h.SnapshotVersion >= view.Version() || h.Version < view.Version() {
		return nil
	}
	return updateSnapshotVersion(ctx, p, h, view.Version())
}

// updateSnapshotVersion keeps the head's version and nonce. If the head moved
// meanwhile, it keeps its older snapshot version, which refers to a complete
// snapshot as well.
func updateSnapshotVersion(ctx context.Context, tables platformclient.TableStore, h head, version uint64) error {
	next := &pb.ConfigHead{Version: h.Version, SnapshotVersion: version, Nonce: h.Nonce}
	_, err := tables.Commit(ctx, &pb.CommitRequest{
		Conditions: []*pb.Condition{{Key: headKey, Version: h.rowVersion}},
		Writes:     []*pb.Write{{Key: headKey, Value: encodeHead(next)}},
	})
	if err != nil {
		return wrapPlatformDown(err, "the head's snapshot version can't be updated")
	}
	return nil
}
