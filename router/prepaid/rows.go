package prepaid

import (
	"google.golang.org/protobuf/proto"

	"github.com/gravitational/trace"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/allotment"
)

// decodeRows decodes the total and the holder's row of a workspace. An absent row
// counts as zero.
func decodeRows(found []*pb.Row, total, holder string) (allotment.Rows, error) {
	return mergeRows(allotment.Rows{}, found, total, holder)
}

// mergeRows returns rows with the values of those that were found.
func mergeRows(rows allotment.Rows, found []*pb.Row, total, holder string) (allotment.Rows, error) {
	for _, row := range found {
		switch row.Key {
		case total:
			var value pb.AllotmentTotal
			if err := proto.Unmarshal(row.Value, &value); err != nil {
				return rows, trace.Wrap(err, "decoding the total row of a prepaid budget")
			}
			rows.Total, rows.TotalVersion = value.Taken, row.Version
			rows.Requests, rows.RequestedTokens = value.Requests, value.Asked
		case holder:
			var value pb.AllotmentHolder
			if err := proto.Unmarshal(row.Value, &value); err != nil {
				return rows, trace.Wrap(err, "decoding the holder row of a prepaid budget")
			}
			rows.Taken, rows.Returned, rows.HolderVersion = value.Taken, value.Returned, row.Version
		}
	}
	return rows, nil
}

// encodeTransaction returns the platform transaction: both rows are written on the
// condition that neither has changed.
func encodeTransaction(txn allotment.Transaction, total, holder string) *pb.CommitRequest {
	return &pb.CommitRequest{
		Conditions: []*pb.Condition{
			{Key: total, Version: txn.Before.TotalVersion},
			{Key: holder, Version: txn.Before.HolderVersion},
		},
		Writes: []*pb.Write{
			{Key: total, Value: mustMarshal(&pb.AllotmentTotal{Taken: txn.After.Total, Requests: txn.After.Requests, Asked: txn.After.RequestedTokens})},
			{Key: holder, Value: mustMarshal(&pb.AllotmentHolder{Taken: txn.After.Taken, Returned: txn.After.Returned})},
		},
	}
}

// mustMarshal encodes a message and panics on failure. The messages of this
// package can always be encoded.
func mustMarshal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}
