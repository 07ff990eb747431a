package platform

import (
	"context"
	"sync"
	"time"
)

// Limits are the rates that the platform can carry. Calls beyond them wait
// their turn; 0 is no limit.
type Limits struct {
	// ReadsPerSecond is calls of Read and Scan.
	ReadsPerSecond float64
	// WritesPerSecond is transactions.
	WritesPerSecond float64
	// RowsPerSecond is rows written.
	RowsPerSecond float64
}

// pacers hold the three limits, shared by all doors.
type pacers struct {
	reads, writes, rows pacer
}

func newPacers(l Limits) *pacers {
	return &pacers{reads: pacer{rate: l.ReadsPerSecond}, writes: pacer{rate: l.WritesPerSecond}, rows: pacer{rate: l.RowsPerSecond}}
}

// read waits for the turn of one read.
func (p *pacers) read(ctx context.Context) error {
	return sleep(ctx, p.reads.reserve(time.Now(), 1))
}

// write waits for the turn of one transaction.
func (p *pacers) write(ctx context.Context, rows int) error {
	now := time.Now()
	return sleep(ctx, max(p.writes.reserve(now, 1), p.rows.reserve(now, rows)))
}

// pacer spreads units of work over time at a rate.
type pacer struct {
	// rate is units a second; 0 is no limit.
	rate float64

	mu sync.Mutex
	// free is when the work taken so far will be done.
	free time.Time
}

// reserve takes units of work and returns how long their turn is away.
func (p *pacer) reserve(now time.Time, units int) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free.Before(now) {
		p.free = now
	}
	wait := p.free.Sub(now)
	p.free = p.free.Add(time.Duration(float64(units) / p.rate * float64(time.Second)))
	return wait
}
