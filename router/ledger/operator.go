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
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/wait"
)

const (
	// operatorTries bounds the attempts of an operator's change, and the steps
	// of each attempt.
	operatorTries = 8
	// operatorRetryDelay is the delay between two attempts.
	operatorRetryDelay = 50 * time.Millisecond
)

// commitChange commits one operation in a separate transaction. After a lost
// response it runs the operation again on fresh rows, which is safe because the
// operation carries an id or is cumulative. While the platform is unavailable
// it fails at once, unless the outcome of an earlier attempt is unknown.
func commitChange(ctx context.Context, tables platformclient.TableStore, apply func(t *budget.Txn) error) error {
	cache := budget.NewCache()
	var lastErr error
	for range operatorTries {
		done, err := tryCommitChange(ctx, tables, cache, apply)
		if done {
			return err
		}
		if errors.Is(err, platformclient.ErrUnavailable) && !errors.Is(lastErr, platformclient.ErrOutcomeUnknown) {
			return errkind.Wrap(errkind.PlatformDown, err, "the platform is unavailable; nothing was changed")
		}
		if !errors.Is(lastErr, platformclient.ErrOutcomeUnknown) {
			lastErr = err
		}
		cache = budget.NewCache()
		if !wait.For(ctx, operatorRetryDelay) {
			break
		}
	}
	return errkind.Wrap(errkind.PlatformDown, lastErr, "the platform did not confirm the change")
}

func tryCommitChange(ctx context.Context, tables platformclient.TableStore, cache *budget.Cache, apply func(t *budget.Txn) error) (done bool, err error) {
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

// TopUp adds tokens to a budget, once per id. The first top-up creates the
// budget; a negative amount lowers it. TopUp reports false if the id had already
// taken effect, through an earlier call or through an attempt of this call
// whose response was lost. If the platform is unavailable, the error is
// PlatformDown and nothing was applied, unless a response was lost: then the
// error is OutcomeUnknown, and it is safe to repeat the call.
func TopUp(ctx context.Context, tables platformclient.TableStore, id, budgetName string, tokens int64) (applied bool, err error) {
	err = commitChange(ctx, tables, func(t *budget.Txn) error {
		appliedNow, err := t.TopUp(id, budgetName, tokens)
		applied = appliedNow
		return err
	})
	if errors.Is(err, platformclient.ErrOutcomeUnknown) {
		return false, errkind.Wrap(errkind.OutcomeUnknown, err, "top-up "+id+" may have been applied; send it again with the same id")
	}
	return applied && err == nil, err
}

// CloseGrant closes a dead or paused holder's grant of a budget and returns the
// tokens that this put in doubt. All routers then give up their loans of it.
func CloseGrant(ctx context.Context, tables platformclient.TableStore, budgetName, grant string) (inDoubt int64, err error) {
	err = commitChange(ctx, tables, func(t *budget.Txn) error {
		tokens, err := t.Close(budgetName, grant)
		if tokens > 0 {
			inDoubt = tokens
		}
		return err
	})
	return inDoubt, err
}

// ReleaseDoubt moves tokens in doubt to free or to spent. Tokens of a closed
// grant become free only after every registered router has fenced the grant or
// is on a VM instance that is gone. Tokens that the fenced routers may still
// bill stay in doubt.
func ReleaseDoubt(ctx context.Context, tables platformclient.TableStore, budgetName, doubt string, resolution budget.Resolution, goneVMs []string) (released int64, err error) {
	keep, err := mayBill(ctx, tables, budgetName, doubt, resolution, goneVMs)
	if err != nil {
		return 0, err
	}
	err = commitChange(ctx, tables, func(t *budget.Txn) error {
		released = 0
		row, ok := t.Doubt(budgetName, doubt)
		if !ok || row.Tokens <= keep {
			return nil
		}
		var err error
		released, err = t.Release(budgetName, doubt, row.Tokens-keep, resolution)
		return err
	})
	return released, err
}

// mayBill returns the tokens of a doubt row that routers may still bill.
func mayBill(ctx context.Context, tables platformclient.TableStore, budgetName, doubt string, resolution budget.Resolution, goneVMs []string) (int64, error) {
	rows, err := tables.Read(ctx, budget.DoubtKey(budgetName, doubt))
	if err != nil {
		return 0, errkind.Wrap(errkind.PlatformDown, err, "cannot read the doubt row")
	}
	if len(rows) == 0 {
		return 0, errkind.New(errkind.UnknownRequest, "budget %s has no tokens in doubt under %s", budgetName, doubt)
	}
	row := &pb.DoubtRow{}
	if err := proto.Unmarshal(rows[0].Value, row); err != nil {
		return 0, errkind.Wrap(errkind.Internal, err, "cannot decode the doubt row")
	}
	if row.Reason != pb.DoubtReason_DOUBT_REASON_HOLDER_CLOSED || resolution == budget.ResolveSpent {
		return 0, nil
	}
	return fencedOutstanding(ctx, tables, budgetName, row.Grant, goneVMs)
}

// fencedOutstanding checks that every registered router has fenced the grant or
// is gone, and returns the tokens that the fenced routers may still bill.
func fencedOutstanding(ctx context.Context, tables platformclient.TableStore, budgetName, grant string, goneVMs []string) (int64, error) {
	routers, err := scanMessages(ctx, tables, budget.RouterPrefix, func() *pb.RouterRow { return &pb.RouterRow{} })
	if err != nil {
		return 0, err
	}
	fences, err := scanMessages(ctx, tables, budget.FencesPrefix(grant), func() *pb.FenceRow { return &pb.FenceRow{} })
	if err != nil {
		return 0, err
	}
	status := budget.FenceStatus{Routers: routers, Fences: fences, GoneVMs: goneVMs}
	unfenced := status.LiveUnfenced()
	if len(unfenced) == 0 {
		return status.FencedOutstanding(budgetName), nil
	}
	names := make([]string, len(unfenced))
	for i, r := range unfenced {
		names[i] = r.Name + " (" + r.VmInstance + ")"
	}
	return 0, errkind.New(errkind.Conflict, "routers that may still hold tokens of the grant: %s", strings.Join(names, ", "))
}
