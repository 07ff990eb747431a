package ledger

import (
	"context"
	"errors"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/budget"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platform"
	"cuminrock.example/router/wait"
)

const (
	// operatorTries is how often an operator's change is tried.
	operatorTries = 8
	// operatorDelay is the delay between two tries.
	operatorDelay = 50 * time.Millisecond
)

// change runs one operation as a transaction of its own. A lost answer is
// resolved by running it anew on fresh rows: it carries an id or is
// cumulative. While the platform is out it is refused at once.
func change(ctx context.Context, tables platform.Tables, apply func(t *budget.Txn) error) error {
	cache := budget.NewCache()
	var last error
	for range operatorTries {
		done, err := tryChange(ctx, tables, cache, apply)
		if done {
			return err
		}
		if errors.Is(err, platform.ErrUnavailable) && !errors.Is(last, platform.ErrUnknown) {
			return errkind.Wrap(errkind.PlatformDown, err, "the platform is out; nothing was changed")
		}
		if !errors.Is(last, platform.ErrUnknown) {
			last = err
		}
		cache = budget.NewCache()
		if !wait.For(ctx, operatorDelay) {
			break
		}
	}
	return errkind.Wrap(errkind.PlatformDown, last, "the platform didn't take the change")
}

func tryChange(ctx context.Context, tables platform.Tables, cache *budget.Cache, apply func(t *budget.Txn) error) (done bool, err error) {
	a := budget.NewAttempt(cache, apply)
	for range operatorTries {
		step := a.Next()
		switch {
		case step.Done:
			return true, step.Err
		case step.Read != nil:
			rows, err := tables.Read(ctx, step.Read...)
			if err != nil {
				return false, err
			}
			a.HandleRows(step.Read, rows)
		default:
			resp, err := tables.Commit(ctx, step.Commit)
			if err != nil {
				return false, err
			}
			a.HandleResponse(resp)
		}
	}
	return false, errConflicts
}

// TopUp adds tokens to a budget, once per id, and creates the budget with its
// first top-up. Negative tokens lower it. It reports false where the id had
// taken effect before, by an earlier call or by this one with a lost answer.
// Without the platform it is refused as not applied,
// unless an answer was lost: then OutcomeUnknown, and the same call again is
// safe.
func TopUp(ctx context.Context, tables platform.Tables, id, budgetName string, tokens int64) (applied bool, err error) {
	err = change(ctx, tables, func(t *budget.Txn) error {
		now, err := t.TopUp(id, budgetName, tokens)
		applied = now
		return err
	})
	if errors.Is(err, platform.ErrUnknown) {
		return false, errkind.Wrap(errkind.OutcomeUnknown, err, "top-up "+id+" may have been applied; send it again")
	}
	return applied && err == nil, err
}

// CloseGrant closes a dead or paused holder's grant of a budget and returns
// the tokens that are now in doubt. All routers give up their loans of it.
func CloseGrant(ctx context.Context, tables platform.Tables, budgetName, grant string) (inDoubt int64, err error) {
	err = change(ctx, tables, func(t *budget.Txn) error {
		tokens, err := t.Close(budgetName, grant)
		if tokens > 0 {
			inDoubt = tokens
		}
		return err
	})
	return inDoubt, err
}

// ReleaseDoubt moves tokens in doubt to free or to spent. Tokens of a closed
// grant return to free only after every registered router has given up its
// loans of the grant, or is on a VM instance that is gone; what the others
// may still bill stays in doubt.
func ReleaseDoubt(ctx context.Context, tables platform.Tables, budgetName, doubt string, d budget.Resolution, gone []string) (released int64, err error) {
	keep, err := mayBill(ctx, tables, budgetName, doubt, d, gone)
	if err != nil {
		return 0, err
	}
	err = change(ctx, tables, func(t *budget.Txn) error {
		released = 0
		row, ok := t.Doubt(budgetName, doubt)
		if !ok || row.Tokens <= keep {
			return nil
		}
		var err error
		released, err = t.Release(budgetName, doubt, row.Tokens-keep, d)
		return err
	})
	return released, err
}

// mayBill returns the tokens of a doubt row that live routers may still bill.
func mayBill(ctx context.Context, tables platform.Tables, budgetName, doubt string, d budget.Resolution, gone []string) (int64, error) {
	rows, err := tables.Read(ctx, budget.DoubtKey(budgetName, doubt))
	if err != nil {
		return 0, errkind.Wrap(errkind.PlatformDown, err, "the row in doubt can't be read")
	}
	if len(rows) == 0 {
		return 0, errkind.New(errkind.UnknownRequest, "budget %s has nothing in doubt under %s", budgetName, doubt)
	}
	row := &pb.DoubtRow{}
	if err := proto.Unmarshal(rows[0].Value, row); err != nil {
		return 0, errkind.Wrap(errkind.Internal, err, "row in doubt")
	}
	if row.Reason != pb.DoubtReason_DOUBT_REASON_HOLDER_CLOSED || d == budget.ResolveSpent {
		return 0, nil
	}
	return fencedBelow(ctx, tables, budgetName, row.Grant, gone)
}

// fencedBelow checks that every registered router is fenced or gone and
// returns what the fenced ones may still bill.
func fencedBelow(ctx context.Context, tables platform.Tables, budgetName, grant string, gone []string) (int64, error) {
	routers, err := scanRowsOf(ctx, tables, budget.RouterPrefix, func() *pb.RouterRow { return &pb.RouterRow{} })
	if err != nil {
		return 0, err
	}
	fences, err := scanRowsOf(ctx, tables, budget.FencesPrefix(grant), func() *pb.FenceRow { return &pb.FenceRow{} })
	if err != nil {
		return 0, err
	}
	proof := budget.FenceStatus{Routers: routers, Fences: fences, GoneVMs: gone}
	silent := proof.LiveUnfenced()
	if len(silent) == 0 {
		return proof.FencedOutstanding(budgetName), nil
	}
	names := make([]string, len(silent))
	for i, r := range silent {
		names[i] = r.Name + " (" + r.VmInstance + ")"
	}
	return 0, errkind.New(errkind.Conflict, "routers that may hold tokens of the grant: %s", strings.Join(names, ", "))
}
