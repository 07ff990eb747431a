package platform

import (
	"context"
	"sync"
	"time"
)

// Limits are the maximum rates of the platform. Calls beyond them are delayed;
// 0 means no limit.
type Limits struct {
	// ReadsPerSecond limits the calls of Read and Scan.
	ReadsPerSecond float64
	// WritesPerSecond limits the transactions.
	WritesPerSecond float64
	// RowsPerSecond limits the rows written.
	RowsPerSecond float64
}

// rateLimiters holds the three rate limiters, which all listeners share.
type rateLimiters struct {
	reads, writes, rows rateLimiter
}

func newRateLimiters(l Limits) *rateLimiters {
	return &rateLimiters{reads: rateLimiter{rate: l.ReadsPerSecond}, writes: rateLimiter{rate: l.WritesPerSecond}, rows: rateLimiter{rate: l.RowsPerSecond}}
}

// read waits until the rate limit permits one read.
func (l *rateLimiters) read(ctx context.Context) error {
	return sleep(ctx, l.reads.reserve(time.Now(), 1))
}

// write waits until the rate limits permit one transaction of that many rows.
func (l *rateLimiters) write(ctx context.Context, rows int) error {
	now := time.Now()
	return sleep(ctx, max(l.writes.reserve(now, 1), l.rows.reserve(now, rows)))
}

// rateLimiter spaces units of work over time at a fixed rate, without bursts:
// idle time is not saved up.
type rateLimiter struct {
	// rate is in units per second; 0 means no limit.
	rate float64

	mu sync.Mutex
	// availableAt is when all work reserved so far will be done.
	availableAt time.Time
}

// reserve reserves units of work and returns how long to wait before starting
// them.
func (l *rateLimiter) reserve(now time.Time, units int) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.availableAt.Before(now) {
		l.availableAt = now
	}
	wait := l.availableAt.Sub(now)
	l.availableAt = l.availableAt.Add(time.Duration(float64(units) / l.rate * float64(time.Second)))
	return wait
}
