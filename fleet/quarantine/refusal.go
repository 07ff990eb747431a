package quarantine

import "slices"

// Refusal is the decision to refuse requests. It applies to those with its trait.
// While nothing tells several prompt parts apart, it has all of them and applies to
// prompts with two, so that answers to prompts with one can decide.
type Refusal struct {
	Traits []Trait
	// Crashes is the number of crashed processes, of which the last ended at LastMs.
	Crashes int
	LastMs  int64
	// FromMs is when the refusal begins, and UntilMs when it ends unless there are
	// further crashes.
	FromMs, UntilMs int64
	// TrialsFromMs is from when on each gateway may send a request now and then, as
	// its answer may end the refusal; 0 for never.
	TrialsFromMs int64
}

// Kind returns the kind of the traits that are refused.
func (r *Refusal) Kind() TraitKind { return r.Traits[0].Kind }

// inForce reports whether the refusal has begun and hasn't ended.
func (r *Refusal) inForce(nowMs int64) bool { return r.FromMs <= nowMs && nowMs < r.UntilMs }

// allowsTrial reports whether a gateway may send a refused request now.
func (r *Refusal) allowsTrial(gateway string, nowMs int64) bool {
	return r.TrialsFromMs > 0 && nowMs >= r.TrialsFromMs && inTrialSlot(gateway, r.Traits[0], nowMs)
}

// applies reports whether requests with the traits are refused.
func (r *Refusal) applies(traits []Trait) bool {
	found := 0
	for _, trait := range r.Traits {
		if slices.Contains(traits, trait) {
			found++
		}
	}
	return found >= min(len(r.Traits), 2)
}
