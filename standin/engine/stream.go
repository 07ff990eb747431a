package engine

import (
	"slices"
	"sync"
	"time"
)

// state is where a stream is in its life.
type state int

const (
	queued state = iota
	running
	finished
	cancelled
)

// stream is one run of a request. It goes on without readers.
type stream struct {
	id        string
	requestID string
	answer    answer
	prompt    int
	// text is the prompt until the stream starts.
	text []byte

	// nextAt is when the next token is due, since the engine's start. Only
	// the scheduler uses it once the stream runs.
	nextAt time.Duration

	mu        sync.Mutex
	state     state
	generated int
	readers   []chan struct{}
}

// progress returns how many tokens there are and the state.
func (s *stream) progress() (int, state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generated, s.state
}

// subscribe returns a channel that is signalled at each progress.
func (s *stream) subscribe() chan struct{} {
	wake := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers = append(s.readers, wake)
	return wake
}

func (s *stream) unsubscribe(wake chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers = slices.DeleteFunc(s.readers, func(c chan struct{}) bool { return c == wake })
}

// start moves a queued stream to running and tells whether it was queued.
func (s *stream) start(firstAt time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != queued {
		return false
	}
	s.state = running
	s.nextAt = firstAt
	return true
}

// generate adds the tokens due by now and returns how many, and whether the
// stream still runs.
func (s *stream) generate(now, interval time.Duration) (added int, runs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != running {
		return 0, false
	}
	for s.nextAt <= now && s.generated < s.answer.total {
		s.generated++
		added++
		s.nextAt += interval
	}
	if s.generated == s.answer.total {
		s.state = finished
	}
	if added > 0 || s.state == finished {
		s.wake()
	}
	return added, s.state == running
}

// cancel ends the stream and returns the state that it was in.
func (s *stream) cancel() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.state
	if before == queued || before == running {
		s.state = cancelled
		s.wake()
	}
	return before
}

// wake signals the readers; the caller holds the lock.
func (s *stream) wake() {
	for _, c := range s.readers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// usage returns what the stream ran so far; a queued one ran nothing.
func (s *stream) usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == queued || s.generated == 0 && s.state == cancelled {
		return Usage{}
	}
	return Usage{PromptTokens: int64(s.prompt), CompletionTokens: int64(s.generated)}
}
