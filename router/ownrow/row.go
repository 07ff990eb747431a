// Package ownrow keeps up to date a row of the platform's store that one gateway writes
// and others read.
//
// A write has the row's last known version as its condition, so that one that arrives
// late changes nothing. What an earlier run of the gateway stored is read before the
// first write, and is given to the content, which decides what of it is kept.
package ownrow

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/wait"
)

const (
	// minRetryDelay and maxRetryDelay bound the random delay after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = time.Second
)

// Content is what the row holds. It is safe for concurrent use.
type Content interface {
	// Compose returns the value that should be stored; empty if there is nothing to
	// store and no row yet.
	Compose() ([]byte, error)
	// Take takes the value that is stored, which may be an earlier run's. It handles
	// values that can't be decoded; they are overwritten.
	Take(value []byte)
}

// Options configures a Row. All fields are required.
type Options struct {
	Tables platformclient.TableStore
	// Key is the row's key.
	Key     string
	Content Content
	// UrgentDelay and LaterDelay bound the random delays before the row is written
	// after Wake and after WakeLater.
	UrgentDelay time.Duration
	LaterDelay  func() time.Duration
	// Gap is the least time between two writes.
	Gap time.Duration
	// Subject begins the log lines.
	Subject string
	Log     *zap.Logger
}

// Row keeps one row up to date.
type Row struct {
	Options
	// urgent and later wake Run.
	urgent, later chan struct{}

	mu sync.Mutex
	// stored is the row's value as far as known, and version its version; known is
	// false until the row has been read, and after it was found to differ.
	stored  []byte
	version uint64
	known   bool
}

// New returns a row that isn't known yet.
func New(opts Options) *Row {
	return &Row{Options: opts, urgent: make(chan struct{}, 1), later: make(chan struct{}, 1)}
}

// Wake makes Run write the row soon. It never blocks.
func (r *Row) Wake() { notify(r.urgent) }

// WakeLater makes Run write the row after a longer delay. It never blocks.
func (r *Row) WakeLater() { notify(r.later) }

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run writes the row whenever it is woken, until ctx ends.
func (r *Row) Run(ctx context.Context) {
	for r.awaitNews(ctx) {
		r.writeUntilStored(ctx)
		wait.For(ctx, r.Gap)
	}
}

// writeUntilStored writes the row, again after each failure, until ctx ends. It
// logs the first failure and the success after it.
func (r *Row) writeUntilStored(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		err := r.write(ctx)
		if err == nil {
			break
		}
		if !failed {
			r.Log.Warn(r.Subject+": can't store this gateway's row; trying again.", zap.Error(err))
		}
		failed = true
		wait.For(ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
	}
	if failed && ctx.Err() == nil {
		r.Log.Info(r.Subject + ": stored this gateway's row after a failure.")
	}
}

// awaitNews waits until the row is to be written. It reports false if ctx ended.
func (r *Row) awaitNews(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.urgent:
		return wait.For(ctx, rand.N(r.UrgentDelay))
	case <-r.later:
		return r.waitUnlessUrgent(ctx, rand.N(r.LaterDelay()))
	}
}

// waitUnlessUrgent waits for d, or until there is an urgent report. It reports
// false if ctx ended.
func (r *Row) waitUnlessUrgent(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-r.urgent:
	}
	return true
}

// Listed takes the row from a list of the table, nil if there is none.
// It differs from what was written if the store lost the row.
func (r *Row) Listed(value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !bytes.Equal(r.stored, value) {
		r.stored, r.known = value, false
	}
}

// HasNews reports whether the row has to be written.
func (r *Row) HasNews() bool {
	value, err := r.Content.Compose()
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !bytes.Equal(value, r.stored)
}

// write writes the row if it has to change.
func (r *Row) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.readOnce(ctx)
	if err != nil || !r.HasNews() {
		return err
	}
	value, err := r.Content.Compose()
	if err != nil {
		return err
	}
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	resp, err := r.Tables.Commit(ctx, &pb.CommitRequest{
		Conditions: []*pb.Condition{{Key: r.Key, Version: version}},
		Writes:     []*pb.Write{{Key: r.Key, Value: value}},
	})
	if err != nil {
		return err
	}
	if resp.Committed {
		r.take(value, resp.Version)
		return nil
	}
	r.takeRow(resp.Conflicts)
	return trace.CompareFailed("the row was written by an earlier run or call")
}

// readOnce reads the row unless it is known.
func (r *Row) readOnce(ctx context.Context) error {
	r.mu.Lock()
	known := r.known
	r.mu.Unlock()
	if known {
		return nil
	}
	rows, err := r.Tables.Read(ctx, r.Key)
	if err != nil {
		return err
	}
	r.takeRow(rows)
	return nil
}

// takeRow takes the current row, if there is one.
func (r *Row) takeRow(rows []*pb.Row) {
	if len(rows) == 0 {
		r.take(nil, 0)
		return
	}
	r.take(rows[0].Value, rows[0].Version)
}

// take takes the row's current value.
func (r *Row) take(value []byte, version uint64) {
	r.Content.Take(value)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored, r.version, r.known = value, version, true
}
