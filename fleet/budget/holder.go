package budget

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// Holder is what one router incarnation holds of one budget: tokens of its own
// grants and of loans, by grant. It is not safe for concurrent use.
//
// For every grant it maintains
//
//	free + reserved + billed = granted - returned + lent in - lent out - given up
//
// where all terms but free and reserved only increase. Therefore no message,
// however often or late it arrives, creates a token that neither the platform
// nor a lender moved here.
type Holder struct {
	incarnation string
	budget      string
	free        int64
	reserved    int64
	shares      []grantShare
	checks      uint64
	violations  uint64
}

// grantShare is the part of one grant that is with this router.
type grantShare struct {
	grant    string
	granted  int64
	returned int64
	lentIn   int64
	lentOut  int64
	givenUp  int64
	reserved int64
	billed   int64
	free     int64
	// fenced is true once the share was given up. A fenced share neither
	// accepts nor lends tokens.
	fenced bool
	// closed is true once the router knows that the grant is closed.
	closed bool
	peers  []peerTotals
}

// peerTotals holds the total tokens of a grant received from a peer and sent to
// it.
type peerTotals struct {
	peer     string
	received int64
	sent     int64
}

// NewHolder returns an empty holder of a budget for a router incarnation.
func NewHolder(incarnation, budget string) *Holder {
	return &Holder{incarnation: incarnation, budget: budget}
}

// Free returns the tokens that can be reserved or lent.
func (h *Holder) Free() int64 { return h.free }

// Reserved returns the tokens held by reservations.
func (h *Holder) Reserved() int64 { return h.reserved }

// ReservedFromGrant returns the tokens of one grant held by reservations.
func (h *Holder) ReservedFromGrant(grant string) int64 {
	if share := h.findShare(grant); share != nil {
		return share.reserved
	}
	return 0
}

// ConservationChecks returns how often conservation was checked and how often
// it was violated.
func (h *Holder) ConservationChecks() (checks, violations uint64) { return h.checks, h.violations }

func (h *Holder) findShare(grant string) *grantShare {
	for i := range h.shares {
		if h.shares[i].grant == grant {
			return &h.shares[i]
		}
	}
	return nil
}

func (h *Holder) ensureShare(grant string) *grantShare {
	if share := h.findShare(grant); share != nil {
		return share
	}
	h.shares = append(h.shares, grantShare{grant: grant})
	return &h.shares[len(h.shares)-1]
}

// adjustFree adds tokens, which may be negative, to the free tokens of a share.
// Tokens of a fenced share are given up instead.
func (h *Holder) adjustFree(share *grantShare, tokens int64) {
	if share.fenced {
		share.givenUp += tokens
		return
	}
	share.free += tokens
	h.free += tokens
}

// checkConservation verifies that a share conserves tokens. A share that
// doesn't is counted and fenced, so that its tokens are never spent.
func (h *Holder) checkConservation(share *grantShare) {
	h.checks++
	expected := share.granted - share.returned + share.lentIn - share.lentOut - share.givenUp
	if expected == share.free+share.reserved+share.billed && share.free >= 0 && share.reserved >= 0 {
		return
	}
	h.violations++
	h.free -= share.free
	share.free = 0
	share.fenced = true
}

// ApplyGrant applies the row of one of this router's own grants as read from
// the platform. Rows may arrive late and in any order.
func (h *Holder) ApplyGrant(g *pb.GrantRow) {
	if g.Holder != h.incarnation || g.Budget != h.budget {
		return
	}
	share := h.ensureShare(g.Id)
	share.closed = share.closed || g.Closed
	if g.Granted > share.granted {
		h.adjustFree(share, g.Granted-share.granted)
		share.granted = g.Granted
	}
	h.checkConservation(share)
}

// Return takes up to the given number of free tokens out of an own grant. It
// returns the cumulative total to report to the platform. The tokens are never
// spent again, whatever the outcome of the transaction.
func (h *Holder) Return(grant string, tokens int64) (total int64) {
	share := h.findShare(grant)
	if share == nil || share.fenced {
		return 0
	}
	returned := min(tokens, share.free, share.granted-share.returned)
	if returned > 0 {
		h.adjustFree(share, -returned)
		share.returned += returned
	}
	h.checkConservation(share)
	return share.returned
}

// Fence gives up the tokens of a closed grant permanently. It returns their
// total and what is still reserved. Tokens that reservations free later are
// given up too.
func (h *Holder) Fence(grant string) (givenUp, outstanding int64) {
	share := h.ensureShare(grant)
	if !share.fenced {
		h.fenceShare(share)
	}
	return share.givenUp, share.reserved
}

func (h *Holder) fenceShare(share *grantShare) {
	h.free -= share.free
	share.givenUp += share.free
	share.free = 0
	share.fenced = true
	share.closed = true
}

// MarkClosed marks a grant as closed, so that it is neither raised nor
// returned.
func (h *Holder) MarkClosed(grant string) { h.ensureShare(grant).closed = true }

// OwnGrant returns the open grant of this router, if there is one.
func (h *Holder) OwnGrant() (string, bool) {
	for i := range h.shares {
		share := &h.shares[i]
		if share.granted > 0 && !share.closed {
			return share.grant, true
		}
	}
	return "", false
}

// Grants returns the grants of which the router has free tokens.
func (h *Holder) Grants() []GrantBalance {
	var grants []GrantBalance
	for i := range h.shares {
		share := &h.shares[i]
		if share.free > 0 {
			grants = append(grants, GrantBalance{Grant: share.grant, Tokens: share.free, Own: share.granted > 0, Closed: share.closed})
		}
	}
	return grants
}

// GrantBalance is the number of free tokens of one grant.
type GrantBalance struct {
	Grant  string
	Tokens int64
	// Own is true for a grant that this router drew.
	Own bool
	// Closed is true for a grant known to be closed.
	Closed bool
}

// errInsufficient returns the error of a holder with too few free tokens.
func (h *Holder) errInsufficient(tokens int64) *errkind.Error {
	return errkind.New(errkind.BudgetUnreachable, "budget %s has %d free tokens at this router, %d are needed", h.budget, h.free, tokens)
}

// TotalDrawn returns the total that the router knows to have drawn to one of
// its grants.
func (h *Holder) TotalDrawn(grant string) int64 {
	if share := h.findShare(grant); share != nil {
		return share.granted
	}
	return 0
}

// HasGrant reports whether the router has ever held tokens of a grant.
func (h *Holder) HasGrant(grant string) bool { return h.findShare(grant) != nil }
