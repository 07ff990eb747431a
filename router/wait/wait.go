// Package wait provides a sleep that ends early with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d. It reports false if ctx ended first. If d isn't positive, For
// returns at once and reports whether ctx is still active.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
