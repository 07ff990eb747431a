package budget

import (
	"strconv"
	"strings"
)

// The rows of the ledger, by key:
//
//	budget/<budget>                  BudgetRow
//	grant/<budget>/<grant>           GrantRow
//	doubt/<budget>/<doubt>           DoubtRow
//	topup/<top-up>                   TopUpRow
//	bill/<request id>                BillRow
//	router/<incarnation>             RouterRow
//	fence/<grant>/<incarnation>      FenceRow
//	closed/<grant>                   ClosedRow
//
// A grant's id is its holder's incarnation and a number; it is the same for
// the holder's grants of all budgets, so that one fence serves them all.
const (
	budgetPrefix = "budget/"
	doubtPrefix  = "doubt/"
	topUpPrefix  = "topup/"
	billPrefix   = "bill/"
	fencePrefix  = "fence/"

	// RouterPrefix starts the keys of the registered routers.
	RouterPrefix = "router/"
	// AllGrantsPrefix starts the keys of all budgets' grants.
	AllGrantsPrefix = "grant/"
	// ClosedPrefix starts the keys of closed grants.
	ClosedPrefix = "closed/"
)

// BudgetKey returns the key of a budget's row.
func BudgetKey(budget string) string { return budgetPrefix + budget }

// GrantKey returns the key of a grant's row.
func GrantKey(budget, grant string) string { return AllGrantsPrefix + budget + "/" + grant }

// GrantsPrefix starts the keys of a budget's grants.
func GrantsPrefix(budget string) string { return AllGrantsPrefix + budget + "/" }

// DoubtKey returns the key of a row of tokens in doubt.
func DoubtKey(budget, doubt string) string { return doubtPrefix + budget + "/" + doubt }

// DoubtsPrefix starts the keys of a budget's rows of tokens in doubt.
func DoubtsPrefix(budget string) string { return doubtPrefix + budget + "/" }

// TopUpKey returns the key of a top-up's row.
func TopUpKey(id string) string { return topUpPrefix + id }

// BillKey returns the key of a request's bill.
func BillKey(requestID string) string { return billPrefix + requestID }

// RouterKey returns the key of a registered router.
func RouterKey(incarnation string) string { return RouterPrefix + incarnation }

// FencesPrefix starts the keys of the fences of a grant.
func FencesPrefix(grant string) string { return fencePrefix + grant + "/" }

// FenceKey returns the key of one router's fence of a grant.
func FenceKey(grant, incarnation string) string { return FencesPrefix(grant) + incarnation }

// ClosedKey returns the key of a closed grant's mark.
func ClosedKey(grant string) string { return ClosedPrefix + grant }

// assumedAbsent tells whether a row that was not read is taken as absent.
// Most bills are a request's first, and a commit that assumed wrongly fails.
func assumedAbsent(key string) bool {
	return strings.HasPrefix(key, billPrefix) || strings.HasPrefix(key, topUpPrefix)
}

// GrantID returns the id of a holder's n-th grant.
func GrantID(incarnation string, n uint64) string {
	return incarnation + "~" + strconv.FormatUint(n, 10)
}

// HolderOf returns the incarnation that holds a grant.
func HolderOf(grant string) string {
	incarnation, _, _ := strings.Cut(grant, "~")
	return incarnation
}

// deletable tells whether rows of this kind are ever deleted.
func deletable(key string) bool {
	return strings.HasPrefix(key, doubtPrefix) || strings.HasPrefix(key, RouterPrefix)
}
