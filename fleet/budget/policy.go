package budget

import (
	"time"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// Policy sizes grants and loans. It affects the number of refusals and writes,
// never safety.
type Policy struct {
	// GrantHorizon is how long a home's free tokens should last.
	GrantHorizon time.Duration
	// LoanHorizon is how long a borrower's free tokens should last.
	LoanHorizon time.Duration
	// DrawPermille limits draws beyond the need: afterwards the holder has at
	// most this share of the tokens free in the budget and with the holder. What
	// a home can draw thus shrinks with the budget, and the homes of several data
	// centres share what is left.
	DrawPermille int64
}

// Default values of a Policy.
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

// lowWatermark is the fraction of a horizon below which tokens are fetched
// ahead of need.
const lowWatermark = 0.5

// IsLow reports whether so few tokens are free that more should be fetched
// ahead of need.
func (p Policy) IsLow(free int64, rate float64, horizon time.Duration) bool {
	return float64(free) < rate*horizon.Seconds()*lowWatermark
}

// Want returns the number of tokens to ask for: at least the need, and enough
// to last for the horizon.
func (p Policy) Want(need, free int64, rate float64, horizon time.Duration) int64 {
	horizonTokens := int64(rate * horizon.Seconds())
	return max(need, horizonTokens-free, 1)
}

// loanShareDivisor limits a loan beyond the need to this fraction of the free
// tokens: 4 means a quarter.
const loanShareDivisor = 4

// LoanSize returns how much a holder with free tokens lends: at least the need,
// and towards want up to a share of what is free. A holder that has less than
// the need lends everything.
func LoanSize(free, need, want int64) int64 {
	return min(free, max(need, min(want, free/loanShareDivisor)))
}

// Rate is an exponentially decaying average, in tokens per second.
type Rate struct {
	last  time.Time
	value float64
}

// rateWindow is the time constant of a Rate.
const rateWindow = time.Minute

// Add counts tokens used at a time.
func (r *Rate) Add(now time.Time, tokens int64) {
	r.value = r.At(now) + float64(tokens)/rateWindow.Seconds()
	if now.After(r.last) {
		r.last = now
	}
}

// At returns the rate at a time.
func (r *Rate) At(now time.Time) float64 {
	elapsed := now.Sub(r.last)
	if elapsed <= 0 {
		return r.value
	}
	windows := float64(elapsed) / float64(rateWindow)
	// A rational upper bound of exp(-x), which needs no table and decays more
	// slowly.
	return r.value / (1 + windows + windows*windows/2)
}
