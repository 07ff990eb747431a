// Package configlog stores the configuration's change log on the platform.
//
// The head row holds the newest version. Change n+1 is committed in one
// transaction that also moves the head from n to n+1, on the condition that the
// head is still at n. Of several operators who race, one wins and the others
// learn which changes came in between. A change carries a nonce: if the
// response to a commit is lost, the row of that version shows whether the
// commit took effect, and sending the same commit again is harmless. Every
// SnapshotInterval changes, a snapshot of the whole configuration goes to the
// object store, so that a router can start from the snapshot and a few changes.
package configlog

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platformclient"
)

const (
	// headKey is the row that holds the pb.ConfigHead.
	headKey = "config/head"
	// maxChangeRowBytes is the largest encoded change that is stored in its
	// row; the body of a larger one goes to the object store.
	maxChangeRowBytes = 64 << 10
	// maxReadKeys is the most rows requested in one read.
	maxReadKeys = 100
)

func changeKey(version uint64) string { return fmt.Sprintf("config/change/%020d", version) }

func snapshotObject(version uint64) string { return fmt.Sprintf("config/snapshot/%020d", version) }

func bodyObject(c *pb.Change) string { return fmt.Sprintf("config/body/%020d-%s", c.Version, c.Nonce) }

// head is the head row as read. rowVersion is 0 if the row doesn't exist yet.
type head struct {
	*pb.ConfigHead
	rowVersion uint64
}

func readHead(ctx context.Context, tables platformclient.TableStore) (head, error) {
	rows, err := tables.Read(ctx, headKey)
	if err != nil {
		return head{}, wrapPlatformDown(err, "the head row of the configuration can't be read")
	}
	h := head{ConfigHead: &pb.ConfigHead{}}
	if len(rows) == 0 {
		return h, nil
	}
	h.rowVersion = rows[0].Version
	return h, unmarshal(rows[0].Value, h.ConfigHead, headKey)
}

// LatestVersion returns the newest accepted version, or 0 if there is none.
func LatestVersion(ctx context.Context, tables platformclient.TableStore) (uint64, error) {
	h, err := readHead(ctx, tables)
	if err != nil {
		return 0, err
	}
	return h.Version, nil
}

// Load returns the newest configuration.
func Load(ctx context.Context, p platformclient.Platform) (*config.View, error) {
	h, err := readHead(ctx, p)
	if err != nil {
		return nil, err
	}
	view, err := loadSnapshot(ctx, p, h.SnapshotVersion)
	if err != nil {
		return nil, err
	}
	changes, err := readChanges(ctx, p, view.Version(), h.Version)
	if err != nil {
		return nil, err
	}
	return applyAll(view, changes)
}

// ChangesSince returns all changes accepted after a version, oldest first and
// without gaps.
func ChangesSince(ctx context.Context, p platformclient.Platform, version uint64) ([]*pb.Change, error) {
	newest, err := LatestVersion(ctx, p)
	if err != nil {
		return nil, err
	}
	return readChanges(ctx, p, version, newest)
}

func loadSnapshot(ctx context.Context, objects platformclient.ObjectStore, version uint64) (*config.View, error) {
	if version == 0 {
		return config.Empty(), nil
	}
	snapshot := &pb.Snapshot{}
	if err := getObject(ctx, objects, snapshotObject(version), snapshot); err != nil {
		return nil, err
	}
	return config.FromSnapshot(snapshot)
}

func applyAll(view *config.View, changes []*pb.Change) (*config.View, error) {
	for _, c := range changes {
		next, err := view.Apply(c)
		if err != nil {
			return nil, err
		}
		view = next
	}
	return view, nil
}

// readChanges returns the changes with versions in (after, upTo].
func readChanges(ctx context.Context, p platformclient.Platform, after, upTo uint64) ([]*pb.Change, error) {
	var changes []*pb.Change
	for after < upTo {
		last := min(upTo, after+maxReadKeys)
		batch, err := readBatch(ctx, p, after, last)
		if err != nil {
			return nil, err
		}
		changes = append(changes, batch...)
		after = last
	}
	return changes, nil
}

func readBatch(ctx context.Context, p platformclient.Platform, after, upTo uint64) ([]*pb.Change, error) {
	var keys []string
	for v := after + 1; v <= upTo; v++ {
		keys = append(keys, changeKey(v))
	}
	rows, err := p.Read(ctx, keys...)
	if err != nil {
		return nil, wrapPlatformDown(err, "the change log can't be read")
	}
	byKey := make(map[string]*pb.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	changes := make([]*pb.Change, 0, len(keys))
	for _, key := range keys {
		row := byKey[key]
		if row == nil {
			return nil, errkind.New(errkind.Internal, "row %s is missing from the change log", key)
		}
		c, err := decodeChange(ctx, p, row)
		if err != nil {
			return nil, err
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// decodeChange decodes the change in a row and fetches its body if that is
// stored as an object.
func decodeChange(ctx context.Context, objects platformclient.ObjectStore, row *pb.Row) (*pb.Change, error) {
	c := &pb.Change{}
	if err := unmarshal(row.Value, c, row.Key); err != nil {
		return nil, err
	}
	if c.BodyObject == "" {
		return c, nil
	}
	body := &pb.Change{}
	if err := getObject(ctx, objects, c.BodyObject, body); err != nil {
		return nil, err
	}
	c.Upserts = body.Upserts
	c.Removes = body.Removes
	c.BodyObject = ""
	return c, nil
}

func getObject(ctx context.Context, objects platformclient.ObjectStore, name string, into proto.Message) error {
	data, found, err := objects.GetObject(ctx, name)
	if err != nil {
		return wrapPlatformDown(err, "object "+name+" can't be read")
	}
	if !found {
		return errkind.New(errkind.Internal, "object %s is missing", name)
	}
	return unmarshal(data, into, name)
}

func unmarshal(data []byte, into proto.Message, name string) error {
	if err := proto.Unmarshal(data, into); err != nil {
		return errkind.Wrap(errkind.Internal, err, name+" can't be decoded")
	}
	return nil
}

func wrapPlatformDown(cause error, message string) error {
	return errkind.Wrap(errkind.PlatformDown, cause, message)
}
