package loadgen

import (
	"math/rand/v2"
	"time"
)

// arrival is one planned request.
type arrival struct {
	number int
	// at is the planned time since the start of the phase.
	at     time.Duration
	call   Call
	key    string
	tokens int
	// prompt seeds the text of the prompt.
	prompt uint64
}

// schedule makes the arrivals of a load, the same for the same options.
type schedule struct {
	opts    *Options
	rng     *rand.Rand
	weights int
	next    arrival
}

func newSchedule(opts *Options) *schedule {
	s := &schedule{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0))}
	for _, c := range opts.Calls {
		s.weights += c.Weight
	}
	return s
}

// draw returns the next arrival, or false after the end of the load.
func (s *schedule) draw() (arrival, bool) {
	gap := s.rng.ExpFloat64() / s.opts.RequestsPerSecond
	s.next.at += time.Duration(gap * float64(time.Second))
	if s.next.at >= s.opts.Duration {
		return arrival{}, false
	}
	s.next.number++
	s.next.call = s.drawCall()
	if len(s.opts.Keys) > 0 {
		s.next.key = s.opts.Keys[s.rng.IntN(len(s.opts.Keys))]
	}
	s.next.tokens = s.opts.MinTokens + s.rng.IntN(s.opts.MaxTokens-s.opts.MinTokens+1)
	s.next.prompt = s.rng.Uint64()
	return s.next, true
}

func (s *schedule) drawCall() Call {
	left := s.rng.IntN(s.weights)
	for _, c := range s.opts.Calls {
		left -= c.Weight
		if left < 0 {
			return c
		}
	}
	return s.opts.Calls[0]
}
