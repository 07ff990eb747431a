package budget

import (
	"errors"
	"slices"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// CheckEntry returns an error for an entry that can never be settled.
func CheckEntry(e *pb.BillEntry) error {
	if e.Id == "" || e.RequestId == "" || e.Run == "" || e.Budget == "" {
		return errkind.New(errkind.BadRequest, "bill entry %q of request %q lacks an id, run or budget", e.Id, e.RequestId)
	}
	if e.Tokens < 0 || e.Tokens > MaxTokens {
		return errkind.New(errkind.BadAmount, "bill entry %s has an invalid usage of %d tokens", e.Id, e.Tokens)
	}
	var sum int64
	for _, p := range e.Parts {
		if CheckAmount(p.Tokens) != nil || sum > MaxTokens-p.Tokens {
			return errkind.New(errkind.BadAmount, "bill entry %s has an invalid part of %d tokens, or too large a sum", e.Id, p.Tokens)
		}
		sum += p.Tokens
	}
	return nil
}

// Settle applies a bill entry, once per entry id. The first run of a request is
// billed. Further entries of that run raise the bill to the largest usage
// reported, and what they reserved beyond it returns to free. The parts of
// another run are moved to in doubt, as a duplicate run.
func (t *Txn) Settle(e *pb.BillEntry) error {
	if err := CheckEntry(e); err != nil {
		return err
	}
	bill, _ := open(t, BillKey(e.RequestId), &pb.BillRow{})
	if slices.Contains(bill.row.Entries, e.Id) {
		return nil
	}
	if bill.exists && (bill.row.Budget != e.Budget || bill.row.Run != e.Run) {
		return t.settleDuplicate(bill, e)
	}
	if !bill.exists {
		bill.row.RequestId, bill.row.Run = e.RequestId, e.Run
		bill.row.Budget, bill.row.Workspace = e.Budget, e.Workspace
	}
	if e.UsageUnknown {
		return t.settleUnknown(bill, e)
	}
	return t.settleUsage(bill, e)
}

// errMissingCoveringEntry is the cause of an entry that can't be settled yet.
var errMissingCoveringEntry = errors.New("the covering entry of the run has not arrived")

// IsMissingCoveringEntry reports whether an entry can't be settled yet because
// it reports the usage of a run whose covering entry has not reached the
// platform.
func IsMissingCoveringEntry(err error) bool { return errors.Is(err, errMissingCoveringEntry) }

// settleUsage bills what the run used beyond what is billed already: first out
// of the tokens held in doubt for it, then out of the entry's parts. If tokens
// were held in doubt, usage beyond these and the parts is not billed.
func (t *Txn) settleUsage(bill typedRow[*pb.BillRow], e *pb.BillEntry) error {
	due := max(0, e.Tokens-bill.row.Tokens)
	reserved := PartsSum(e.Parts)
	fromDoubt := int64(0)
	if bill.row.Doubt != "" {
		var err error
		fromDoubt, err = t.settleFromDoubt(bill, due)
		if err != nil {
			return err
		}
		due = min(due-fromDoubt, reserved)
	}
	if due > reserved {
		// The bill was assumed absent, but it may exist by now.
		t.refused = true
		return errUncovered(e, due-reserved)
	}
	bill.row.Tokens += fromDoubt + due
	for _, p := range e.Parts {
		used := min(due, p.Tokens)
		if err := t.settlePart(bill, e.Budget, p, used); err != nil {
			return err
		}
		due -= used
	}
	bill.row.Entries = append(bill.row.Entries, e.Id)
	bill.save()
	return nil
}

func (t *Txn) settlePart(bill typedRow[*pb.BillRow], budget string, p *pb.BillPart, used int64) error {
	if used > 0 {
		if err := t.move(budget, p.Grant, used, toSpent); err != nil {
			return err
		}
		addPart(bill.row, p.Grant, used)
	}
	if rest := p.Tokens - used; rest > 0 {
		return t.move(budget, p.Grant, rest, toFree)
	}
	return nil
}

func addPart(bill *pb.BillRow, grant string, tokens int64) {
	for _, p := range bill.Parts {
		if p.Grant == grant {
			p.Tokens += tokens
			return
		}
	}
	bill.Parts = append(bill.Parts, &pb.BillPart{Grant: grant, Tokens: tokens})
}

func errUncovered(e *pb.BillEntry, tokens int64) error {
	if len(e.Parts) == 0 {
		return errkind.Wrap(errkind.InProgress, errMissingCoveringEntry, "bill entry "+e.Id)
	}
	return errkind.New(errkind.BillOverReservation, "bill entry %s uses %d tokens more than it reserved", e.Id, tokens)
}

// settleFromDoubt bills due tokens out of the bill's doubt row and returns the
// rest of the row to free. If an operator has already resolved the row, that
// resolution stands.
func (t *Txn) settleFromDoubt(bill typedRow[*pb.BillRow], due int64) (int64, error) {
	d, ok := open(t, DoubtKey(bill.row.Budget, bill.row.Doubt), &pb.DoubtRow{})
	if !ok {
		return 0, nil
	}
	grant := d.row.Grant
	spent, err := t.Release(bill.row.Budget, bill.row.Doubt, due, ResolveSpent)
	if err != nil {
		return 0, err
	}
	if _, err := t.Release(bill.row.Budget, bill.row.Doubt, MaxTokens, ResolveUnspent); err != nil {
		return 0, err
	}
	if spent > 0 {
		addPart(bill.row, grant, spent)
	}
	bill.row.Doubt = ""
	return spent, nil
}

// settleUnknown keeps the parts of a run of unknown usage in doubt. If the run
// already has a doubt row, an operator releases the second one.
func (t *Txn) settleUnknown(bill typedRow[*pb.BillRow], e *pb.BillEntry) error {
	if err := t.moveToDoubt(e, pb.DoubtReason_DOUBT_REASON_USAGE_UNKNOWN); err != nil {
		return err
	}
	if bill.row.Doubt == "" && len(e.Parts) > 0 {
		bill.row.Doubt = e.Id
	}
	bill.row.Entries = append(bill.row.Entries, e.Id)
	bill.save()
	return nil
}

func (t *Txn) settleDuplicate(bill typedRow[*pb.BillRow], e *pb.BillEntry) error {
	t.duplicateEntries++
	if err := t.moveToDoubt(e, pb.DoubtReason_DOUBT_REASON_DUPLICATE_RUN); err != nil {
		return err
	}
	bill.row.Entries = append(bill.row.Entries, e.Id)
	bill.save()
	return nil
}

// moveToDoubt moves an entry's parts to a doubt row of its own.
func (t *Txn) moveToDoubt(e *pb.BillEntry, reason pb.DoubtReason) error {
	sum := PartsSum(e.Parts)
	if sum == 0 {
		return nil
	}
	for _, p := range e.Parts {
		if err := t.move(e.Budget, p.Grant, p.Tokens, toDoubt); err != nil {
			return err
		}
	}
	d, ok := open(t, DoubtKey(e.Budget, e.Id), &pb.DoubtRow{})
	if !ok {
		return nil
	}
	d.row.Id, d.row.Budget, d.row.RequestId = e.Id, e.Budget, e.RequestId
	d.row.Grant = e.Parts[0].Grant
	d.row.Tokens = sum
	d.row.Reason = reason
	d.save()
	return nil
}

// Settled reports whether an entry is settled in the rows as the transaction
// leaves them.
func (t *Txn) Settled(e *pb.BillEntry) bool {
	bill, _ := open(t, BillKey(e.RequestId), &pb.BillRow{})
	return slices.Contains(bill.row.Entries, e.Id)
}
