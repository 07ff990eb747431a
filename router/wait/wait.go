// Package wait holds the wait for a time or the end of a context.
package wait

import (
	"context"
	"time"
)

// For waits for d, and reports false when ctx ended first. A d that isn't
// above 0 only asks whether ctx is live.
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
