package budget

import (
	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// inlineParts is the number of parts that a reservation keeps without
// allocating. A pot is a grant of one home, so that more are rare.
const inlineParts = 3

// Part is a number of tokens out of one grant.
type Part struct {
	Grant  string
	Tokens int64
}

// Parts is a short list of parts. The zero value is empty.
type Parts struct {
	first [inlineParts]Part
	n     int
	more  []Part
}

// Add appends a part.
func (p *Parts) Add(part Part) {
	if p.n < inlineParts {
		p.first[p.n] = part
		p.n++
		return
	}
	p.more = append(p.more, part)
}

// Len returns the number of parts.
func (p *Parts) Len() int { return p.n + len(p.more) }

// At returns part i.
func (p *Parts) At(i int) Part {
	if i < inlineParts {
		return p.first[i]
	}
	return p.more[i-inlineParts]
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

// Reserve sets tokens aside, out of one or more grants. It changes nothing
// where too few are free.
func (h *Holder) Reserve(tokens int64) (Parts, error) {
	var parts Parts
	if tokens <= 0 || tokens > MaxTokens {
		return parts, CheckAmount(tokens)
	}
	if tokens > h.free {
		return parts, h.errShort(tokens)
	}
	for i := range h.pots {
		p := &h.pots[i]
		take := min(tokens, p.free)
		if take <= 0 {
			continue
		}
		h.reserve(p, take)
		parts.Add(Part{Grant: p.grant, Tokens: take})
		tokens -= take
		if tokens == 0 {
			break
		}
	}
	return parts, nil
}

func (h *Holder) reserve(p *pot, tokens int64) {
	h.add(p, -tokens)
	p.reserved += tokens
	h.held += tokens
	h.check(p)
}

// Settle ends a reservation: the used tokens are billed and the rest is free
// again. It returns the billed parts. Usage beyond the reservation changes
// nothing and is an error.
func (h *Holder) Settle(parts *Parts, used int64) (Parts, error) {
	var billed Parts
	if used < 0 {
		return billed, errkind.New(errkind.BadAmount, "usage of %d tokens", used)
	}
	if used > parts.Sum() {
		return billed, errkind.New(errkind.BillOverReservation, "usage of %d tokens of %d reserved", used, parts.Sum())
	}
	for i := range parts.Len() {
		part := parts.At(i)
		bill := min(used, part.Tokens)
		h.settle(part, bill)
		used -= bill
		if bill > 0 {
			billed.Add(Part{Grant: part.Grant, Tokens: bill})
		}
	}
	return billed, nil
}

func (h *Holder) settle(part Part, bill int64) {
	p := h.pot(part.Grant)
	p.reserved -= part.Tokens
	h.held -= part.Tokens
	p.billed += bill
	h.add(p, part.Tokens-bill)
	h.check(p)
}

// Release ends a reservation of a run that didn't start.
func (h *Holder) Release(parts *Parts) {
	for i := range parts.Len() {
		h.settle(parts.At(i), 0)
	}
}
