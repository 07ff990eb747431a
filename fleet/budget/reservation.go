package budget

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// inlineParts is the number of parts that a reservation stores without
// allocating. There is one grant per home, so that more parts are rare.
const inlineParts = 3

// Part is a number of tokens out of one grant.
type Part struct {
	Grant  string
	Tokens int64
}

// Parts is a short list of parts. The zero value is empty.
type Parts struct {
	inline   [inlineParts]Part
	n        int
	overflow []Part
}

// Add appends a part.
func (p *Parts) Add(part Part) {
	if p.n < inlineParts {
		p.inline[p.n] = part
		p.n++
		return
	}
	p.overflow = append(p.overflow, part)
}

// Len returns the number of parts.
func (p *Parts) Len() int { return p.n + len(p.overflow) }

// At returns part i.
func (p *Parts) At(i int) Part {
	if i < inlineParts {
		return p.inline[i]
	}
	return p.overflow[i-inlineParts]
}

// Sum returns the tokens of all parts.
func (p *Parts) Sum() int64 {
	var sum int64
	for i := range p.Len() {
		sum += p.At(i).Tokens
	}
	return sum
}

// Proto returns the parts as they are sent and stored.
func (p *Parts) Proto() []*pb.BillPart {
	parts := make([]*pb.BillPart, p.Len())
	for i := range parts {
		parts[i] = &pb.BillPart{Grant: p.At(i).Grant, Tokens: p.At(i).Tokens}
	}
	return parts
}

// Reserve reserves tokens out of one or more grants. It changes nothing if too
// few are free.
func (h *Holder) Reserve(tokens int64) (Parts, error) {
	var parts Parts
	if tokens <= 0 || tokens > MaxTokens {
		return parts, CheckAmount(tokens)
	}
	if tokens > h.free {
		return parts, h.errInsufficient(tokens)
	}
	for i := range h.shares {
		share := &h.shares[i]
		take := min(tokens, share.free)
		if take <= 0 {
			continue
		}
		h.reserveFrom(share, take)
		parts.Add(Part{Grant: share.grant, Tokens: take})
		tokens -= take
		if tokens == 0 {
			break
		}
	}
	return parts, nil
}

func (h *Holder) reserveFrom(share *grantShare, tokens int64) {
	h.adjustFree(share, -tokens)
	share.reserved += tokens
	h.reserved += tokens
	h.checkConservation(share)
}

// Settle ends a reservation: the used tokens are billed and the rest is free
// again. It returns the billed parts. Usage beyond the reservation is an error
// and changes nothing.
func (h *Holder) Settle(parts *Parts, used int64) (Parts, error) {
	var billed Parts
	if used < 0 {
		return billed, errkind.New(errkind.BadAmount, "negative usage of %d tokens", used)
	}
	if used > parts.Sum() {
		return billed, errkind.New(errkind.BillOverReservation, "usage of %d tokens exceeds the %d reserved", used, parts.Sum())
	}
	for i := range parts.Len() {
		part := parts.At(i)
		bill := min(used, part.Tokens)
		h.settlePart(part, bill)
		used -= bill
		if bill > 0 {
			billed.Add(Part{Grant: part.Grant, Tokens: bill})
		}
	}
	return billed, nil
}

func (h *Holder) settlePart(part Part, billed int64) {
	share := h.ensureShare(part.Grant)
	share.reserved -= part.Tokens
	h.reserved -= part.Tokens
	share.billed += billed
	h.adjustFree(share, part.Tokens-billed)
	h.checkConservation(share)
}

// Release ends the reservation of a run that did not start.
func (h *Holder) Release(parts *Parts) {
	for i := range parts.Len() {
		h.settlePart(parts.At(i), 0)
	}
}
