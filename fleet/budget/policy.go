package budget

import (
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// Policy sizes grants and loans. It affects refusals and writes, never
// safety.
type Policy struct {
	// GrantHorizon is the time that a home's free tokens should last.
	GrantHorizon time.Duration
	// LoanHorizon is the time that a borrower's free tokens should last.
	LoanHorizon time.Duration
	// DrawPermille bounds what a draw beyond the need leaves with the holder to
	// a part of what is free there and held. Hence the part falls as the budget
	// does, and the homes of several data centres share what is left.
	DrawPermille int64
}

// Defaults of a policy.
const (
	defaultGrantHorizon = 2 * time.Hour
	defaultLoanHorizon  = 10 * time.Second
	defaultDrawPermille = 400
)

// PolicyFromSettings returns the policy of the settings, with defaults.
func PolicyFromSettings(s *pb.BudgetPolicy) Policy {
	p := Policy{defaultGrantHorizon, defaultLoanHorizon, defaultDrawPermille}
	if d := s.GetGrantHorizon().AsDuration(); d > 0 {
		p.GrantHorizon = d
	}
	if d := s.GetLoanHorizon().AsDuration(); d > 0 {
		p.LoanHorizon = d
	}
	if n := s.GetDrawPermille(); n > 0 {
		p.DrawPermille = int64(n)
	}
	return p
}

// lowWater is the part of a horizon below which tokens are fetched ahead.
const lowWater = 0.5

// IsLow reports whether free tokens should be fetched ahead of need.
func (p Policy) IsLow(free int64, rate float64, horizon time.Duration) bool {
	return float64(free) < rate*horizon.Seconds()*lowWater
}

// Want returns the tokens to ask for: the need, and what lasts a horizon.
func (p Policy) Want(need, free int64, rate float64, horizon time.Duration) int64 {
	target := int64(rate * horizon.Seconds())
	return max(need, target-free, 1)
}

// maxLoanPart bounds a loan beyond the need to this part of what is free.
const maxLoanPart = 4

// LoanSize returns what a holder with free tokens lends: the need if it has
// that, up to a part of what is free towards the want, all where it has less.
func LoanSize(free, need, want int64) int64 {
	return min(free, max(need, min(want, free/maxLoanPart)))
}

// Rate is an exponentially weighted rate of tokens a second.
type Rate struct {
	last  time.Time
	value float64
}

// rateWindow is the time constant of a Rate.
const rateWindow = time.Minute

// Add counts tokens at a time.
func (r *Rate) Add(now time.Time, tokens int64) {
	r.value = r.At(now) + float64(tokens)/rateWindow.Seconds()
	if now.After(r.last) {
		r.last = now
	}
}

// At returns the rate at a time.
func (r *Rate) At(now time.Time) float64 {
	passed := now.Sub(r.last)
	if passed <= 0 {
		return r.value
	}
	x := float64(passed) / float64(rateWindow)
	// A rational bound of exp(-x) that needs no table: it decays slower.
	return r.value / (1 + x + x*x/2)
}
