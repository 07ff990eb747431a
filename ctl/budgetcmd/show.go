package budgetcmd

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/ctl/cli"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/platformclient"
)

// scanPageSize is the number of rows that one scan returns at most.
const scanPageSize = 1000

// show prints the named budgets with their grants and tokens in doubt, or the
// amounts of all budgets.
type show struct {
	names []string
}

func (s *show) help() (name, arguments, synopsis string) {
	return "show", "[BUDGET...]", "show budgets with their grants and tokens in doubt, or the amounts of all budgets"
}

func (s *show) setFlags(*flag.FlagSet) {}

func (s *show) parseArgs(args []string) error {
	s.names = args
	return nil
}

func (s *show) run(ctx context.Context, p platformclient.Platform) (result, error) {
	if len(s.names) == 0 {
		return scanBudgets(ctx, p)
	}
	list := &budgetList{}
	for _, name := range s.names {
		status, err := ledger.Status(ctx, p, name)
		if err != nil {
			return nil, err
		}
		list.Budgets = append(list.Budgets, budgetDetails(status))
	}
	return list, nil
}

// scanBudgets reads the rows of all budgets page by page.
func scanBudgets(ctx context.Context, p platformclient.Platform) (*budgetList, error) {
	list := &budgetList{}
	after := ""
	for more := true; more; {
		var rows []*pb.Row
		var err error
		rows, more, err = p.Scan(ctx, budget.BudgetKey(""), after, scanPageSize)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, row := range rows {
			b := &pb.BudgetRow{}
			err = proto.Unmarshal(row.Value, b)
			if err != nil {
				return nil, trace.Wrap(err, "row %s", row.Key)
			}
			list.Budgets = append(list.Budgets, budgetAmounts(b))
			after = row.Key
		}
	}
	return list, nil
}

// budgetList is the result of show.
type budgetList struct {
	Budgets []Budget `json:"budgets"`
}

// Budget is one budget. All amounts are in tokens.
type Budget struct {
	Name    string  `json:"name"`
	Prepaid int64   `json:"prepaid"`
	Free    int64   `json:"free"`
	Granted int64   `json:"granted"`
	Spent   int64   `json:"spent"`
	InDoubt int64   `json:"in_doubt"`
	Grants  []Grant `json:"grants,omitempty"`
	Doubts  []Doubt `json:"doubts,omitempty"`
}

// Grant is the part of a budget that is granted to one router.
type Grant struct {
	ID         string `json:"id"`
	VmName     string `json:"vm_name"`
	VmInstance string `json:"vm_instance"`
	DataCentre string `json:"data_centre"`
	// Outstanding is the number of granted tokens that are neither settled
	// nor returned.
	Outstanding int64 `json:"outstanding"`
	Settled     int64 `json:"settled"`
	Closed      bool  `json:"closed"`
}

// Doubt is an amount of tokens that may or may not have been spent.
type Doubt struct {
	ID        string `json:"id"`
	Grant     string `json:"grant"`
	Tokens    int64  `json:"tokens"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id,omitempty"`
}

func budgetAmounts(b *pb.BudgetRow) Budget {
	return Budget{Name: b.Name, Prepaid: b.Prepaid, Free: b.Free, Granted: b.Granted, Spent: b.Spent, InDoubt: b.InDoubt}
}

func budgetDetails(s *ledger.BudgetStatus) Budget {
	b := budgetAmounts(s.Budget)
	for _, g := range s.Grants {
		b.Grants = append(b.Grants, Grant{
			ID:          g.Id,
			VmName:      g.VmName,
			VmInstance:  g.VmInstance,
			DataCentre:  g.DataCentre,
			Outstanding: g.Granted - g.Settled - g.Returned,
			Settled:     g.Settled,
			Closed:      g.Closed,
		})
	}
	for _, d := range s.Doubts {
		b.Doubts = append(b.Doubts, Doubt{ID: d.Id, Grant: d.Grant, Tokens: d.Tokens, Reason: reasonName(d.Reason), RequestID: d.RequestId})
	}
	return b
}

// reasonName returns the short name of a reason, such as "holder_closed".
func reasonName(reason pb.DoubtReason) string {
	return strings.ToLower(strings.TrimPrefix(reason.String(), "DOUBT_REASON_"))
}

func (s *budgetList) failed() bool { return len(s.Budgets) == 0 }

func (s *budgetList) printText(env cli.Env) {
	if len(s.Budgets) == 0 {
		env.Printf("there are no budgets\n")
		return
	}
	table := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "BUDGET\tPREPAID\tFREE\tGRANTED\tSPENT\tIN DOUBT")
	for _, b := range s.Budgets {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\n", b.Name, b.Prepaid, b.Free, b.Granted, b.Spent, b.InDoubt)
	}
	table.Flush()
	for _, b := range s.Budgets {
		b.printDetails(env)
	}
}

func (b *Budget) printDetails(env cli.Env) {
	for _, g := range b.Grants {
		state := "open"
		if g.Closed {
			state = "closed"
		}
		env.Printf("%s grant %s: %s, VM %s (%s) in %s, outstanding %d, settled %d\n", b.Name, g.ID, state, g.VmName, g.VmInstance, g.DataCentre, g.Outstanding, g.Settled)
	}
	for _, d := range b.Doubts {
		env.Printf("%s doubt %s: %d tokens, %s, grant %s %s\n", b.Name, d.ID, d.Tokens, d.Reason, d.Grant, d.RequestID)
	}
}
