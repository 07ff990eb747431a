package ledger

import (
	"context"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/platformclient"
)

// scanAll returns all rows whose key has the prefix.
func scanAll(ctx context.Context, tables platformclient.TableStore, prefix string) ([]*pb.Row, error) {
	var all []*pb.Row
	after := ""
	for {
		rows, more, err := tables.Scan(ctx, prefix, after, scanPageSize)
		if err != nil {
			return nil, err
		}
		all = append(all, rows...)
		if !more || len(rows) == 0 {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}
