package processtest

import (
	"testing"
	"time"
)

const (
	// WaitTimeout is the longest wait for something that must come.
	WaitTimeout = 30 * time.Second
	// pollInterval is the time between two looks.
	pollInterval = 20 * time.Millisecond
)

// Eventually polls until the condition holds and fails the test after
// WaitCap.
func Eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(WaitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("waited %v for: %s", WaitTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}
