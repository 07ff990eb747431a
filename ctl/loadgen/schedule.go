package loadgen

import (
	"math/rand/v2"
	"time"
)

// arrival is one planned request.
type arrival struct {
	number int
	// plannedAt is the planned time since the start of the run.
	plannedAt time.Duration
	call      Call
	key       string
	tokens    int
	// promptSeed is the seed of the prompt's text.
	promptSeed uint64
}

// schedule generates the arrivals of a load. They are the same for the same
// options.
type schedule struct {
	opts        *Options
	rng         *rand.Rand
	totalWeight int
	next        arrival
}

func newSchedule(opts *Options) *schedule {
	s := &schedule{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0))}
	for _, c := range opts.Calls {
		s.totalWeight += c.Weight
	}
	return s
}

// draw returns the next arrival, or false at the end of the load.
func (s *schedule) draw() (arrival, bool) {
	gap := s.rng.ExpFloat64() / s.opts.RequestsPerSecond
	s.next.plannedAt += time.Duration(gap * float64(time.Second))
	if s.next.plannedAt >= s.opts.Duration {
		return arrival{}, false
	}
	s.next.number++
	s.next.call = s.drawCall()
	if len(s.opts.Keys) > 0 {
		s.next.key = s.opts.Keys[s.rng.IntN(len(s.opts.Keys))]
	}
	s.next.tokens = s.opts.MinTokens + s.rng.IntN(s.opts.MaxTokens-s.opts.MinTokens+1)
	s.next.promptSeed = s.rng.Uint64()
	return s.next, true
}

func (s *schedule) drawCall() Call {
	remaining := s.rng.IntN(s.totalWeight)
	for _, c := range s.opts.Calls {
		remaining -= c.Weight
		if remaining < 0 {
			return c
		}
	}
	return s.opts.Calls[0]
}
