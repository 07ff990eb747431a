package budget

import (
	"strconv"
	"strings"
)

// Keys of the ledger's rows:
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
// A grant's id consists of its holder's incarnation and a number. It is the
// same for the holder's grants of all budgets, so that one fence covers them
// all.
const (
	budgetPrefix = "budget/"
	doubtPrefix  = "doubt/"
	topUpPrefix  = "topup/"
	billPrefix   = "bill/"
	fencePrefix  = "fence/"

	// RouterPrefix is the prefix of the keys of registered routers.
	RouterPrefix = "router/"
	// AllGrantsPrefix is the prefix of the keys of all budgets' grants.
	AllGrantsPrefix = "grant/"
	// ClosedPrefix is the prefix of the keys of closed grants' rows.
	ClosedPrefix = "closed/"
)

// BudgetKey returns the key of a budget's row.
func BudgetKey(budget string) string { return budgetPrefix + budget }

// GrantKey returns the key of a grant's row.
func GrantKey(budget, grant string) string { return AllGrantsPrefix + budget + "/" + grant }

// GrantsPrefix returns the prefix of the keys of a budget's grants.
func GrantsPrefix(budget string) string { return AllGrantsPrefix + budget + "/" }

// DoubtKey returns the key of a row of tokens in doubt.
func DoubtKey(budget, doubt string) string { return doubtPrefix + budget + "/" + doubt }

// DoubtsPrefix returns the prefix of the keys of a budget's rows of tokens in
// doubt.
func DoubtsPrefix(budget string) string { return doubtPrefix + budget + "/" }

// TopUpKey returns the key of a top-up's row.
func TopUpKey(id string) string { return topUpPrefix + id }

// BillKey returns the key of a request's bill.
func BillKey(requestID string) string { return billPrefix + requestID }

// RouterKey returns the key of a registered router.
func RouterKey(incarnation string) string { return RouterPrefix + incarnation }

// FencesPrefix returns the prefix of the keys of a grant's fences.
func FencesPrefix(grant string) string { return fencePrefix + grant + "/" }

// FenceKey returns the key of one router's fence of a grant.
func FenceKey(grant, incarnation string) string { return FencesPrefix(grant) + incarnation }

// ClosedKey returns the key of the row that marks a grant as closed.
func ClosedKey(grant string) string { return ClosedPrefix + grant }

// assumedAbsent reports whether a row that was not read is assumed not to
// exist. Most bills are the first of their request, and a commit that assumed
// wrongly fails.
func assumedAbsent(key string) bool {
	return strings.HasPrefix(key, billPrefix) || strings.HasPrefix(key, topUpPrefix)
}

// GrantID returns the id of a holder's n-th grant.
func GrantID(incarnation string, n uint64) string {
	return incarnation + "~" + strconv.FormatUint(n, 10)
}

// HolderOf returns the incarnation of the router that holds a grant.
func HolderOf(grant string) string {
	incarnation, _, _ := strings.Cut(grant, "~")
	return incarnation
}

// mayBeDeleted reports whether rows of this kind are ever deleted.
func mayBeDeleted(key string) bool {
	return strings.HasPrefix(key, doubtPrefix) || strings.HasPrefix(key, RouterPrefix)
}
