package ledger

import (
	"context"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platformclient"
)

// BudgetStatus is a budget as stored at the platform.
type BudgetStatus struct {
	Budget *pb.BudgetRow
	Grants []*pb.GrantRow
	Doubts []*pb.DoubtRow
}

// Status reads a budget with its grants and its tokens in doubt.
func Status(ctx context.Context, tables platformclient.TableStore, budgetName string) (*BudgetStatus, error) {
	rows, err := tables.Read(ctx, budget.BudgetKey(budgetName))
	if err != nil {
		return nil, errkind.Wrap(errkind.PlatformDown, err, "cannot read the budget")
	}
	if len(rows) == 0 {
		return nil, errkind.New(errkind.UnknownBudget, "budget %s does not exist", budgetName)
	}
	s := &BudgetStatus{Budget: &pb.BudgetRow{}}
	if err := proto.Unmarshal(rows[0].Value, s.Budget); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "cannot decode the budget row")
	}
	s.Grants, err = scanMessages(ctx, tables, budget.GrantsPrefix(budgetName), func() *pb.GrantRow { return &pb.GrantRow{} })
	if err != nil {
		return nil, err
	}
	s.Doubts, err = scanMessages(ctx, tables, budget.DoubtsPrefix(budgetName), func() *pb.DoubtRow { return &pb.DoubtRow{} })
	return s, err
}

func scanMessages[M proto.Message](ctx context.Context, tables platformclient.TableStore, prefix string, empty func() M) ([]M, error) {
	rows, err := scanAll(ctx, tables, prefix)
	if err != nil {
		return nil, errkind.Wrap(errkind.PlatformDown, err, "cannot read rows")
	}
	list := make([]M, len(rows))
	for i, row := range rows {
		list[i] = empty()
		if err := proto.Unmarshal(row.Value, list[i]); err != nil {
			return nil, errkind.Wrap(errkind.Internal, err, "cannot decode row "+row.Key)
		}
	}
	return list, nil
}

// ReadBill reads a request's bill from the platform, and returns false if there
// is none.
func ReadBill(ctx context.Context, tables platformclient.TableStore, requestID string) (*pb.BillRow, bool, error) {
	rows, err := tables.Read(ctx, budget.BillKey(requestID))
	if err != nil {
		return nil, false, errkind.Wrap(errkind.PlatformDown, err, "cannot read the bill")
	}
	if len(rows) == 0 {
		return nil, false, nil
	}
	bill := &pb.BillRow{}
	if err := proto.Unmarshal(rows[0].Value, bill); err != nil {
		return nil, false, errkind.Wrap(errkind.Internal, err, "cannot decode the bill row")
	}
	return bill, true, nil
}
