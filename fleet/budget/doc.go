// Package budget holds the decisions about prepaid token budgets: how tokens
// move between the platform's rows, the routers' grants and loans, and bills.
//
// The scheme is escrow (O'Neil, "The Escrow Transactional Method", TODS 1986)
// with transferable rights (Balegas et al., "Extending Eventually Consistent
// Cloud Databases for Enforcing Numeric Invariants", SRDS 2015):
//
//   - A budget's row says prepaid = free + granted + spent + in doubt.
//   - A draw moves tokens from free to a grant, which one router incarnation
//     holds. Nobody spends a token that is not in a grant.
//   - A token is in one place: with the holder, lent on, reserved or billed.
//     Loans are cumulative totals, so that messages may be lost, doubled and
//     reordered.
//   - Bills move tokens from granted to spent, once per entry id.
//
// No decision reads a clock: a grant never lapses. It can be closed by
// anyone, and what remains of it is then in doubt, which is still covered.
//
// The package has no goroutine, socket, clock or random source. Rows and
// messages come in; changed rows and totals go out. A Holder is not safe for
// concurrent use.
package budget
