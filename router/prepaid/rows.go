package prepaid

import (
	"google.golang.org/protobuf/proto"

	"github.com/gravitational/trace"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/allotment"
)

// decodeRows reads the two rows of a workspace. A row that is absent counts as
// zero.
func decodeRows(found []*pb.Row, total, holder string) (allotment.Rows, error) {
	return mergeRows(allotment.Rows{}, found, total, holder)
}

// mergeRows replaces the rows that were found.
func mergeRows(rows allotment.Rows, found []*pb.Row, total, holder string) (allotment.Rows, error) {
	for _, row := range found {
		switch row.Key {
		case total:
			var value pb.AllotmentTotal
			if err := proto.Unmarshal(row.Value, &value); err != nil {
				return rows, trace.Wrap(err, "reading the total of a budget")
			}
			rows.Total, rows.TotalVersion = value.Taken, row.Version
			rows.Requests, rows.RequestedTokens = value.Requests, value.Asked
		case holder:
			var value pb.AllotmentHolder
			if err := proto.Unmarshal(row.Value, &value); err != nil {
				return rows, trace.Wrap(err, "reading a holder of a budget")
			}
			rows.Taken, rows.Returned, rows.HolderVersion = value.Taken, value.Returned, row.Version
		}
	}
	return rows, nil
}

// encodeStep makes the transaction of a step.
func encodeStep(step allotment.Transaction, total, holder string) *pb.CommitRequest {
	return &pb.CommitRequest{
		Conditions: []*pb.Condition{
			{Key: total, Version: step.Before.TotalVersion},
			{Key: holder, Version: step.Before.HolderVersion},
		},
		Writes: []*pb.Write{
			{Key: total, Value: encode(&pb.AllotmentTotal{Taken: step.After.Total, Requests: step.After.Requests, Asked: step.After.RequestedTokens})},
			{Key: holder, Value: encode(&pb.AllotmentHolder{Taken: step.After.Taken, Returned: step.After.Returned})},
		},
	}
}

// encode marshals a message of our own; that can't fail for plain integers.
func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}
