package quarantine

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Trait is what a request may have in common with others.
type Trait struct {
	Kind TraitKind
	// Hash identifies the trait among those of its kind.
	Hash uint64
}

// TraitKind is the kind of a trait.
type TraitKind uint8

const (
	// PromptPart is a part of the prompt.
	PromptPart TraitKind = iota
	// WholeRequest is all but what is new with each attempt at a request.
	WholeRequest
)

// PromptPartTrait returns the trait of requests whose prompt has the part with an id.
func PromptPartTrait(id string) Trait {
	return Trait{Kind: PromptPart, Hash: xxhash.Sum64String(id)}
}

// RequestTrait returns the trait of all attempts at the request with a fingerprint.
func RequestTrait(fingerprint uint64) Trait {
	return Trait{Kind: WholeRequest, Hash: fingerprint}
}

// Compare orders traits.
func (t Trait) Compare(other Trait) int {
	return cmp.Or(cmp.Compare(t.Kind, other.Kind), cmp.Compare(t.Hash, other.Hash))
}
