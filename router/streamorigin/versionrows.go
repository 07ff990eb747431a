package streamorigin

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/streamorigin"
)

// storedRecord is a service's row.
type storedRecord struct {
	streamorigin.VersionRecord
	// rowVersion is the row's version; 0 if there is no row.
	rowVersion uint64
}

// write stores records on the condition that the rows are as they were read.
func (v *versions) write(ctx context.Context, rows map[string]storedRecord, records map[string]streamorigin.VersionRecord) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	txn := &pb.CommitRequest{}
	for service, record := range records {
		value, err := encodeVersions(record)
		if err != nil {
			return err
		}
		key := versionsPrefix + service
		txn.Conditions = append(txn.Conditions, &pb.Condition{Key: key, Version: rows[service].rowVersion})
		txn.Writes = append(txn.Writes, &pb.Write{Key: key, Value: value})
	}
	resp, err := v.registry.Tables.Commit(ctx, txn)
	if err != nil {
		return err
	}
	if !resp.Committed {
		for _, row := range resp.Conflicts {
			stored, _ := decodeVersions(row.Value) // an invalid row counts as missing
			v.merge(row.Key[len(versionsPrefix):], stored)
		}
		return trace.CompareFailed("another gateway recorded versions meanwhile")
	}
	for service, record := range records {
		v.merge(service, record)
		v.registry.Log.Info("versions: recorded.", zap.String("service", service), zap.Strings("versions", slices.Sorted(maps.Keys(record.LastMs))), zap.Int64("created_ms", record.CreatedMs))
	}
	return nil
}

// merge adds what was stored to what is known.
func (v *versions) merge(service string, record streamorigin.VersionRecord) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.records[service] == nil {
		v.records[service] = &streamorigin.VersionRecord{}
	}
	v.records[service].Merge(record)
	v.notifyChanged()
}

// readNow reads the rows for this gateway's own writes.
func (v *versions) readNow(ctx context.Context) (map[string]storedRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return v.readRows(ctx)
}

// readRows reads the rows of all services.
func (v *versions) readRows(ctx context.Context) (map[string]storedRecord, error) {
	rows := make(map[string]storedRecord)
	err := scan(ctx, v.registry.Tables, versionsPrefix, func(row *pb.Row) {
		record, err := decodeVersions(row.Value)
		if err != nil {
			v.registry.Log.Warn("versions: an invalid row counts as missing.", zap.String("row", row.Key), zap.Error(err))
		}
		rows[row.Key[len(versionsPrefix):]] = storedRecord{VersionRecord: record, rowVersion: row.Version}
	})
	if err != nil {
		return nil, err
	}
	for service, row := range rows {
		v.merge(service, row.VersionRecord)
	}
	v.hasRead.Store(true)
	return rows, nil
}

func encodeVersions(record streamorigin.VersionRecord) ([]byte, error) {
	message := &pb.ServiceVersions{CreatedMs: record.CreatedMs}
	for version, lastMs := range record.LastMs {
		message.Versions = append(message.Versions, &pb.ListedVersion{Version: version, LastMs: lastMs})
	}
	slices.SortFunc(message.Versions, func(a, b *pb.ListedVersion) int { return cmp.Compare(a.Version, b.Version) })
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

// decodeVersions returns the record of a row's value; none if it is invalid.
func decodeVersions(value []byte) (streamorigin.VersionRecord, error) {
	var message pb.ServiceVersions
	err := proto.Unmarshal(value, &message)
	if err != nil {
		return streamorigin.VersionRecord{}, err
	}
	record := streamorigin.VersionRecord{Exists: true, CreatedMs: message.CreatedMs, LastMs: make(map[string]int64)}
	for _, version := range message.Versions {
		record.LastMs[version.Version] = version.LastMs
	}
	return record, nil
}
