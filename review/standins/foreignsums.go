package main

import (
	"fmt"
	"sync"
)

// foreignSums counts answers: successes with a runner's signature and without, and others.
type foreignSums struct {
	mu                       sync.Mutex
	signed, unsigned, failed int
}

func (s *foreignSums) add(a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case a.status < 200 || a.status > 299:
		s.failed++
	case a.signature == "":
		s.unsigned++
	default:
		s.signed++
	}
}

// String returns the sums.
func (s *foreignSums) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d successes with a runner's signature, %d without, %d others", s.signed, s.unsigned, s.failed)
}
