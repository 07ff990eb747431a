package processtest

import (
	"testing"
	"time"
)

const (
	// WaitTimeout is the longest wait for an expected condition.
	WaitTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// Eventually polls until the condition holds. It fails the test with the
// description after WaitTimeout.
func Eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(WaitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", WaitTimeout, description)
		}
		time.Sleep(pollInterval)
	}
}
