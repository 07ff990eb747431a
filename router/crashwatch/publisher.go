package crashwatch

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/wait"
)

const (
	// maxCrashDelay bounds the random delay before a crash is reported, in which
	// more of the same crash is seen, and maxAnswerDelay that before answers are: in
	// it others report theirs, which often makes this report needless.
	maxCrashDelay  = 100 * time.Millisecond
	maxAnswerDelay = time.Second
	// minRetryDelay and maxRetryDelay bound the random delay after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = time.Second
)

// publisher keeps the row with this gateway's report up to date.
type publisher struct {
	watcher *Watcher
	// urgent and later wake run.
	urgent, later chan struct{}

	mu sync.Mutex
	// stored is the row's value as far as known, and version its version; known is
	// false until the row has been read, and after it was found to differ.
	stored  []byte
	version uint64
	known   bool
}

func newPublisher(w *Watcher) *publisher {
	return &publisher{watcher: w, urgent: make(chan struct{}, 1), later: make(chan struct{}, 1)}
}

// wake makes run write the row soon. It never blocks.
func (p *publisher) wake() { notify(p.urgent) }

// wakeLater makes run write the row after a longer delay. It never blocks.
func (p *publisher) wakeLater() { notify(p.later) }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run writes the row whenever it is woken, until ctx ends.
func (p *publisher) run(ctx context.Context) {
	for p.awaitNews(ctx) {
		p.publishUntilStored(ctx)
	}
}

// publishUntilStored writes the row, again after each failure, until ctx ends. It
// logs the first failure and the success after it.
func (p *publisher) publishUntilStored(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		err := p.publish(ctx)
		if err == nil {
			break
		}
		if !failed {
			p.watcher.Log.Warn("crash: can't store this gateway's report; trying again.", zap.Error(err))
		}
		failed = true
		wait.For(ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
	}
	if failed && ctx.Err() == nil {
		p.watcher.Log.Info("crash: stored this gateway's report after a failure.")
	}
}

// awaitNews waits until the row is to be written. It reports false if ctx ended.
func (p *publisher) awaitNews(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.urgent:
		return wait.For(ctx, rand.N(maxCrashDelay))
	case <-p.later:
		return p.waitUnlessUrgent(ctx, rand.N(maxAnswerDelay))
	}
}

// waitUnlessUrgent waits for d, or until there is an urgent report. It reports
// false if ctx ended.
func (p *publisher) waitUnlessUrgent(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-p.urgent:
	}
	return true
}

// listed takes this gateway's row from a list of the table, nil if there is none.
// It differs from what was written if the store lost the row.
func (p *publisher) listed(value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !bytes.Equal(p.stored, value) {
		p.stored, p.known = value, false
	}
}

// hasNews reports whether the row has to be written.
func (p *publisher) hasNews() bool {
	value, err := p.compose()
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !bytes.Equal(value, p.stored)
}

// compose returns the row that should be stored, empty if there is nothing to
// report.
func (p *publisher) compose() ([]byte, error) {
	nowMs, known := p.watcher.platformTime(p.watcher.Now())
	if !known {
		return nil, nil
	}
	return encodeReport(p.watcher.table.Report(nowMs))
}

// publish writes the row if it has to change.
func (p *publisher) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := p.readOnce(ctx)
	if err != nil || !p.hasNews() {
		return err
	}
	value, err := p.compose()
	if err != nil {
		return err
	}
	p.mu.Lock()
	version := p.version
	p.mu.Unlock()
	resp, err := p.watcher.Tables.Commit(ctx, &pb.CommitRequest{
		Conditions: []*pb.Condition{{Key: p.rowKey(), Version: version}},
		Writes:     []*pb.Write{{Key: p.rowKey(), Value: value}},
	})
	if err != nil {
		return err
	}
	if resp.Committed {
		p.take(value, resp.Version)
		return nil
	}
	p.takeRow(resp.Conflicts)
	return trace.CompareFailed("the row was written by an earlier run or call")
}

// readOnce reads the row unless it is known.
func (p *publisher) readOnce(ctx context.Context) error {
	p.mu.Lock()
	known := p.known
	p.mu.Unlock()
	if known {
		return nil
	}
	rows, err := p.watcher.Tables.Read(ctx, p.rowKey())
	if err != nil {
		return err
	}
	p.takeRow(rows)
	return nil
}

// takeRow takes the current row, if there is one.
func (p *publisher) takeRow(rows []*pb.Row) {
	if len(rows) == 0 {
		p.take(nil, 0)
		return
	}
	p.take(rows[0].Value, rows[0].Version)
}

// take takes the row's current value. What an earlier run reported stays part of
// this run's reports; a value that can't be decoded is overwritten.
func (p *publisher) take(value []byte, version uint64) {
	report, err := decodeReport(value)
	if err != nil {
		p.watcher.Log.Warn("crash: this gateway's stored report is invalid.", zap.Error(err))
	}
	p.watcher.table.SetReport(p.watcher.Gateway, report)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stored, p.version, p.known = value, version, true
}

func (p *publisher) rowKey() string { return Table + "//" + p.watcher.Gateway }
