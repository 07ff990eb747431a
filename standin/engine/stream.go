package engine

import (
	"slices"
	"sync"
	"time"
)

// state is the lifecycle state of a stream.
type state int

const (
	queued state = iota
	running
	finished
	cancelled
)

// stream is one run of a request. It continues without readers.
type stream struct {
	id           string
	requestID    string
	completion   completion
	promptTokens int
	// prompt is nil once the stream has started.
	prompt []byte

	// nextAt is when the next token is due, as a duration since the engine's
	// start. Only the scheduler accesses it once the stream runs.
	nextAt time.Duration

	mu          sync.Mutex
	state       state
	generated   int
	subscribers []chan struct{}
}

// progress returns the number of tokens generated so far and the state.
func (s *stream) progress() (int, state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generated, s.state
}

// subscribe returns a channel that receives a signal on each change of the
// progress.
func (s *stream) subscribe() chan struct{} {
	wake := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, wake)
	return wake
}

func (s *stream) unsubscribe(wake chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = slices.DeleteFunc(s.subscribers, func(c chan struct{}) bool { return c == wake })
}

// start moves a queued stream to running and reports whether it was queued.
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

// generate generates the tokens that are due by now, up to the limit in all; 0
// means no limit. It returns their number and whether the stream is still
// running.
func (s *stream) generate(now, interval time.Duration, limit int) (added int, stillRunning bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != running {
		return 0, false
	}
	for s.nextAt <= now && s.generated < s.completion.totalTokens {
		s.nextAt += interval
		if limit > 0 && s.generated >= limit {
			continue
		}
		s.generated++
		added++
	}
	if s.generated == s.completion.totalTokens {
		s.state = finished
	}
	if added > 0 || s.state == finished {
		s.notify()
	}
	return added, s.state == running
}

// cancel cancels the stream if it has not ended and returns its previous state.
func (s *stream) cancel() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.state
	if previous == queued || previous == running {
		s.state = cancelled
		s.notify()
	}
	return previous
}

// notify signals the subscribers. The caller must hold s.mu.
func (s *stream) notify() {
	for _, c := range s.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// usage returns the usage of the stream so far. It is zero for a stream that is
// queued, or was cancelled before its first token.
func (s *stream) usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == queued || s.generated == 0 && s.state == cancelled {
		return Usage{}
	}
	return Usage{PromptTokens: int64(s.promptTokens), CompletionTokens: int64(s.generated)}
}
