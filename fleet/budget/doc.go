// Package budget implements the accounting rules of prepaid token budgets: how
// tokens move between the platform's rows, the routers' grants and loans, and
// bills.
//
// It uses escrow (O'Neil, "The Escrow Transactional Method", TODS 1986) with
// transferable rights (Balegas et al., "Extending Eventually Consistent Cloud
// Databases for Enforcing Numeric Invariants", SRDS 2015):
//
//   - A budget's row satisfies prepaid = free + granted + spent + in doubt.
//   - A draw moves tokens from free to a grant, which is held by one router
//     incarnation. Only tokens of a grant can be spent.
//   - A token is in exactly one place: with the holder, lent to another router,
//     reserved or billed. Loans are sent as cumulative totals, so that messages
//     may be lost, duplicated and reordered.
//   - Bills move tokens from granted to spent, once per entry id.
//
// No rule reads a clock: a grant never expires. Anyone can close a grant. What
// remains of it is then in doubt, which still counts against prepaid.
//
// The package uses no goroutine, socket, clock or random source. Callers pass
// rows and messages in and get changed rows and totals back. A Holder is not
// safe for concurrent use.
package budget
