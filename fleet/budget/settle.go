package budget

import (
	"errors"
	"slices"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// CheckEntry refuses an entry that can't be settled as it stands.
func CheckEntry(e *pb.BillEntry) error {
	if e.Id == "" || e.RequestId == "" || e.Run == "" || e.Budget == "" {
		return errkind.New(errkind.BadRequest, "bill entry %q of request %q lacks an id", e.Id, e.RequestId)
	}
	if e.Tokens < 0 || e.Tokens > MaxTokens {
		return errkind.New(errkind.BadAmount, "bill entry %s of %d tokens", e.Id, e.Tokens)
	}
	var sum int64
	for _, p := range e.Parts {
		if CheckAmount(p.Tokens) != nil || sum > MaxTokens-p.Tokens {
			return errkind.New(errkind.BadAmount, "bill entry %s has a part of %d tokens", e.Id, p.Tokens)
		}
		sum += p.Tokens
	}
	return nil
}

// Settle applies a bill entry once per entry id. The first run of a request is
// billed; entries of the same run raise the bill to the largest usage told
// and what they set aside beyond it returns to free. The parts of another run
// go to in doubt as a duplicate run.
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

// errWaits is the cause of an entry that can't be settled yet.
var errWaits = errors.New("the entry that covers the run has not come")

// IsMissingCoveringEntry reports whether an entry can't be settled yet: it tells the usage of
// a run whose covering entry has not come to the platform.
func IsMissingCoveringEntry(err error) bool { return errors.Is(err, errWaits) }

// settleUsage bills what the run used beyond what is billed already: first
// out of the tokens held back for it, then out of the entry's parts. Usage
// beyond what was held back is not billed.
func (t *Txn) settleUsage(bill opened[*pb.BillRow], e *pb.BillEntry) error {
	due := max(0, e.Tokens-bill.row.Tokens)
	aside := PartsSum(e.Parts)
	held := int64(0)
	if bill.row.Doubt != "" {
		var err error
		held, err = t.settleHeld(bill, due)
		if err != nil {
			return err
		}
		due = min(due-held, aside)
	}
	if due > aside {
		// The bill was assumed absent; it may have come since.
		t.suspect = true
		return uncovered(e, due-aside)
	}
	bill.row.Tokens += held + due
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

func (t *Txn) settlePart(bill opened[*pb.BillRow], budget string, p *pb.BillPart, used int64) error {
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

func uncovered(e *pb.BillEntry, tokens int64) error {
	if len(e.Parts) == 0 {
		return errkind.Wrap(errkind.InProgress, errWaits, "entry "+e.Id)
	}
	return errkind.New(errkind.BillOverReservation, "entry %s uses %d tokens beyond what it set aside", e.Id, tokens)
}

// settleHeld bills due tokens out of the bill's doubt row and frees its rest.
// Where an operator has decided about the row before, that stands.
func (t *Txn) settleHeld(bill opened[*pb.BillRow], due int64) (int64, error) {
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

// settleUnknown holds the bound of a run whose usage isn't known in doubt.
// Where the run has a bound held already, an operator releases the second.
func (t *Txn) settleUnknown(bill opened[*pb.BillRow], e *pb.BillEntry) error {
	if err := t.hold(e, pb.DoubtReason_DOUBT_REASON_USAGE_UNKNOWN); err != nil {
		return err
	}
	if bill.row.Doubt == "" && len(e.Parts) > 0 {
		bill.row.Doubt = e.Id
	}
	bill.row.Entries = append(bill.row.Entries, e.Id)
	bill.save()
	return nil
}

func (t *Txn) settleDuplicate(bill opened[*pb.BillRow], e *pb.BillEntry) error {
	t.duplicates++
	if err := t.hold(e, pb.DoubtReason_DOUBT_REASON_DUPLICATE_RUN); err != nil {
		return err
	}
	bill.row.Entries = append(bill.row.Entries, e.Id)
	bill.save()
	return nil
}

// hold moves an entry's parts to a doubt row of its own.
func (t *Txn) hold(e *pb.BillEntry, reason pb.DoubtReason) error {
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

// Settled reports whether an entry has taken effect as the transaction leaves
// the rows.
func (t *Txn) Settled(e *pb.BillEntry) bool {
	bill, _ := open(t, BillKey(e.RequestId), &pb.BillRow{})
	return slices.Contains(bill.row.Entries, e.Id)
}
