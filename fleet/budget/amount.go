package budget

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// MaxTokens is the largest amount, so that the sum of two never overflows.
const MaxTokens int64 = 1 << 60

// CheckAmount returns an error unless tokens is between 1 and MaxTokens.
func CheckAmount(tokens int64) error {
	if tokens <= 0 || tokens > MaxTokens {
		return errkind.New(errkind.BadAmount, "%d tokens is not between 1 and %d", tokens, MaxTokens)
	}
	return nil
}

// checkBudget verifies that a budget's row conserves tokens: prepaid = free +
// granted + spent + in doubt, and no part is negative. Only free may be
// negative, by tokens that an operator released while a router still held
// them; nothing can then be drawn from the budget.
func checkBudget(b *pb.BudgetRow) error {
	sum := b.Free + b.Granted + b.Spent + b.InDoubt
	if sum == b.Prepaid && b.Granted >= 0 && b.Spent >= 0 && b.InDoubt >= 0 && b.Prepaid >= 0 {
		return nil
	}
	return errkind.New(errkind.Internal,
		"budget %s breaks conservation: prepaid %d, free %d, granted %d, spent %d, in doubt %d",
		b.Name, b.Prepaid, b.Free, b.Granted, b.Spent, b.InDoubt)
}

// Outstanding returns the tokens of a grant that are neither settled nor
// returned: what its holder and the borrowers may still bill.
func Outstanding(g *pb.GrantRow) int64 { return g.Granted - g.Settled - g.Returned }

// PartsSum returns the sum of the parts' tokens.
func PartsSum(parts []*pb.BillPart) int64 {
	var sum int64
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}
