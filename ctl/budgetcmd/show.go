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

// scanPage is the number of rows of one scan.
const scanPage = 1000

// show tells budgets: named ones with grants and doubts, or all in short.
type show struct {
	names []string
}

func (s *show) texts() (name, arguments, synopsis string) {
	return "show", "[BUDGET...]", "tell budgets with their grants and tokens in doubt, or all budgets in short"
}

func (s *show) flags(*flag.FlagSet) {}

func (s *show) read(args []string) error {
	s.names = args
	return nil
}

func (s *show) run(ctx context.Context, p platformclient.Platform) (result, error) {
	if len(s.names) == 0 {
		return scanBudgets(ctx, p)
	}
	list := &shown{}
	for _, name := range s.names {
		status, err := ledger.Status(ctx, p, name)
		if err != nil {
			return nil, err
		}
		list.Budgets = append(list.Budgets, describe(status))
	}
	return list, nil
}

// scanBudgets reads the rows of all budgets.
func scanBudgets(ctx context.Context, p platformclient.Platform) (*shown, error) {
	list := &shown{}
	after := ""
	for more := true; more; {
		var rows []*pb.Row
		var err error
		rows, more, err = p.Scan(ctx, budget.BudgetKey(""), after, scanPage)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, row := range rows {
			b := &pb.BudgetRow{}
			err = proto.Unmarshal(row.Value, b)
			if err != nil {
				return nil, trace.Wrap(err, "row %s", row.Key)
			}
			list.Budgets = append(list.Budgets, amounts(b))
			after = row.Key
		}
	}
	return list, nil
}

// shown is what show prints.
type shown struct {
	Budgets []Budget `json:"budgets"`
}

// Budget is one budget; all amounts are tokens.
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

// Grant is a part of a budget that one router holds.
type Grant struct {
	ID         string `json:"id"`
	VmName     string `json:"vm_name"`
	VmInstance string `json:"vm_instance"`
	DataCentre string `json:"data_centre"`
	// Outstanding is what was granted and neither settled nor returned.
	Outstanding int64 `json:"outstanding"`
	Settled     int64 `json:"settled"`
	Closed      bool  `json:"closed"`
}

// Doubt is an amount that may have been spent.
type Doubt struct {
	ID        string `json:"id"`
	Grant     string `json:"grant"`
	Tokens    int64  `json:"tokens"`
	Reason    string `json:"reason"`
	RequestID string `json:"request_id,omitempty"`
}

func amounts(b *pb.BudgetRow) Budget {
	return Budget{Name: b.Name, Prepaid: b.Prepaid, Free: b.Free, Granted: b.Granted, Spent: b.Spent, InDoubt: b.InDoubt}
}

func describe(s *ledger.BudgetStatus) Budget {
	b := amounts(s.Budget)
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

// reasonName returns a reason as operators write it, such as "holder_closed".
func reasonName(reason pb.DoubtReason) string {
	return strings.ToLower(strings.TrimPrefix(reason.String(), "DOUBT_REASON_"))
}

func (s *shown) negative() bool { return len(s.Budgets) == 0 }

func (s *shown) text(env cli.Env) {
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
		b.textParts(env)
	}
}

func (b *Budget) textParts(env cli.Env) {
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
