package placement

import (
	"time"

	"cuminrock.example/fleet/breaker"
)

const (
	// minSuspectTime and maxSuspectTime bound the time for which a suspect gets
	// no requests.
	minSuspectTime = 500 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// failuresToSuspect is the number of consecutive failures that make a
	// target suspect. One that can't be reached is suspect at once.
	failuresToSuspect = 2
)

// newHealth returns the breaker of a target or a data centre; a suspect is one
// whose breaker is open.
func newHealth() breaker.Breaker { return breaker.New(minSuspectTime, maxSuspectTime) }
