package budget

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// Holder is what one router incarnation holds of one budget: tokens of its
// own grants and of loans, by grant. It is not safe for concurrent use.
//
// For every grant it keeps
//
//	free + reserved + billed = granted - returned + lent in - lent out - given up
//
// where all but free and reserved only rise. Hence no message, however often
// or late it comes, makes a token that the platform or a lender did not move.
type Holder struct {
	self   string
	budget string
	free   int64
	held   int64
	pots   []pot
	checks uint64
	broken uint64
}

// pot is the part of one grant that is with this router.
type pot struct {
	grant    string
	granted  int64
	returned int64
	lentIn   int64
	lentOut  int64
	givenUp  int64
	reserved int64
	billed   int64
	free     int64
	// fenced is true once the pot was given up: it takes and gives nothing.
	fenced bool
	// closed is true once the router knows that the grant was closed.
	closed bool
	peers  []peerTotals
}

// peerTotals is what moved between this router and a peer out of a grant.
type peerTotals struct {
	peer string
	in   int64
	out  int64
}

// NewHolder returns an empty holder of a budget for the incarnation.
func NewHolder(self, budget string) *Holder {
	return &Holder{self: self, budget: budget}
}

// Free returns the tokens that can be reserved or lent.
func (h *Holder) Free() int64 { return h.free }

// Reserved returns the tokens set aside by reservations.
func (h *Holder) Reserved() int64 { return h.held }

// ReservedFromGrant returns the tokens of one grant that reservations hold.
func (h *Holder) ReservedFromGrant(grant string) int64 {
	if p := h.find(grant); p != nil {
		return p.reserved
	}
	return 0
}

// ConservationChecks returns how often conservation was checked and found broken.
func (h *Holder) ConservationChecks() (checks, broken uint64) { return h.checks, h.broken }

func (h *Holder) find(grant string) *pot {
	for i := range h.pots {
		if h.pots[i].grant == grant {
			return &h.pots[i]
		}
	}
	return nil
}

func (h *Holder) pot(grant string) *pot {
	if p := h.find(grant); p != nil {
		return p
	}
	h.pots = append(h.pots, pot{grant: grant})
	return &h.pots[len(h.pots)-1]
}

// add moves tokens into a pot's free part, or out of it.
func (h *Holder) add(p *pot, tokens int64) {
	if p.fenced {
		p.givenUp += tokens
		return
	}
	p.free += tokens
	h.free += tokens
}

// check asserts a pot's conservation. A broken pot is fenced, so that its
// tokens are never spent, and counted.
func (h *Holder) check(p *pot) {
	h.checks++
	in := p.granted - p.returned + p.lentIn - p.lentOut - p.givenUp
	if in == p.free+p.reserved+p.billed && p.free >= 0 && p.reserved >= 0 {
		return
	}
	h.broken++
	h.free -= p.free
	p.free = 0
	p.fenced = true
}

// ApplyGrant takes in the grant row of one of this router's own grants, as read
// from the platform. Rows may come late and in any order.
func (h *Holder) ApplyGrant(g *pb.GrantRow) {
	if g.Holder != h.self || g.Budget != h.budget {
		return
	}
	p := h.pot(g.Id)
	p.closed = p.closed || g.Closed
	if g.Granted > p.granted {
		h.add(p, g.Granted-p.granted)
		p.granted = g.Granted
	}
	h.check(p)
}

// Return takes up to tokens out of the free part of an own grant and returns
// the cumulative total that the platform is to be told. They are never spent
// again, whatever becomes of the transaction.
func (h *Holder) Return(grant string, tokens int64) (total int64) {
	p := h.find(grant)
	if p == nil || p.fenced {
		return 0
	}
	back := min(tokens, p.free, p.granted-p.returned)
	if back > 0 {
		h.add(p, -back)
		p.returned += back
	}
	h.check(p)
	return p.returned
}

// Fence gives up the tokens of a closed grant for good and returns them with
// what is still reserved. What reservations give back later is given up too.
func (h *Holder) Fence(grant string) (givenUp, outstanding int64) {
	p := h.pot(grant)
	if !p.fenced {
		h.fence(p)
	}
	return p.givenUp, p.reserved
}

func (h *Holder) fence(p *pot) {
	h.free -= p.free
	p.givenUp += p.free
	p.free = 0
	p.fenced = true
	p.closed = true
}

// MarkClosed marks a grant as closed, so that it isn't raised or returned.
func (h *Holder) MarkClosed(grant string) { h.pot(grant).closed = true }

// OwnGrant returns the open grant of this router, if any.
func (h *Holder) OwnGrant() (string, bool) {
	for i := range h.pots {
		p := &h.pots[i]
		if p.granted > 0 && !p.closed {
			return p.grant, true
		}
	}
	return "", false
}

// Grants returns the grants of which the router holds free tokens.
func (h *Holder) Grants() []GrantBalance {
	var grants []GrantBalance
	for i := range h.pots {
		p := &h.pots[i]
		if p.free > 0 {
			grants = append(grants, GrantBalance{Grant: p.grant, Tokens: p.free, Own: p.granted > 0, Closed: p.closed})
		}
	}
	return grants
}

// GrantBalance is what is free of one grant.
type GrantBalance struct {
	Grant  string
	Tokens int64
	// Own is true for a grant that this router drew.
	Own bool
	// Closed is true for a grant known to be closed.
	Closed bool
}

// errShort is returned where a holder has too little.
func (h *Holder) errShort(tokens int64) *errkind.Error {
	return errkind.New(errkind.BudgetUnreachable, "budget %s has %d tokens here, not %d", h.budget, h.free, tokens)
}

// TotalDrawn returns the tokens that the router knows to have drawn to one of
// its grants.
func (h *Holder) TotalDrawn(grant string) int64 {
	if p := h.find(grant); p != nil {
		return p.granted
	}
	return 0
}

// HasGrant reports whether the router has held tokens of a grant.
func (h *Holder) HasGrant(grant string) bool { return h.find(grant) != nil }
