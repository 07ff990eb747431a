// Package crashwatch finds out, together with the other gateways, which prompt
// parts crash targets, and refuses prompts that hold them.
//
// When the connection of an answer is lost, the gateway checks whether the target
// still accepts connections. If not, its process has ended, which is recorded with
// the parts of the prompt unless the answer had been running for a while. The
// gateways exchange what they saw through rows of the platform's store, and package
// quarantine decides. While the store is unavailable, each gateway decides from
// what it knows, and reports the rest afterwards.
package crashwatch

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/quarantine"
	"cuminrock.example/router/platformclient"
)

const (
	// maxPendingChecks bounds the lost answers whose targets are still to be
	// checked; further ones aren't checked.
	maxPendingChecks = 256
	// checkers is the number of targets that are checked concurrently.
	checkers = 8
	// checkTimeout bounds the check of one target.
	checkTimeout = 500 * time.Millisecond
	// maxTraitsPerCrash bounds the traits that are recorded for one answer.
	maxTraitsPerCrash = 32
)

// Options configures a Watcher. All fields are required.
type Options struct {
	// Gateway is this gateway's name.
	Gateway string
	Tables  platformclient.TableStore
	Clock   platformclient.Clock
	// ConnectionRefused reports whether a connection to a target's address is
	// refused, that is, no process listens there.
	ConnectionRefused func(ctx context.Context, address string) bool
	Metrics           *Metrics
	Log               *zap.Logger
	Now               func() time.Time
}

// Watcher refuses prompts and records how answers end. It is safe for concurrent
// use.
type Watcher struct {
	Options
	table     *quarantine.Table
	lost      chan lostAnswer
	publisher *publisher

	mu       sync.Mutex
	refusals []quarantine.Refusal
}

// lostAnswer is an answer that ended with its connection.
type lostAnswer struct {
	target placement.Target
	traits []quarantine.Trait
	// atMs is when the connection was lost.
	atMs int64
	// beganMs is set if the answer is complete unless its target crashed.
	beganMs int64
}

// New returns a watcher that knows of no crashes.
func New(opts Options) *Watcher {
	w := &Watcher{Options: opts, table: quarantine.New(opts.Gateway), lost: make(chan lostAnswer, maxPendingChecks)}
	w.publisher = newPublisher(w)
	return w
}

// Run checks targets and publishes reports until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	var running conc.WaitGroup
	for range checkers {
		running.Go(func() { w.checkLost(ctx) })
	}
	running.Go(func() { w.publisher.run(ctx) })
	running.Wait()
}

// Refusal returns the error of a request whose prompt holds the parts, or nil if it
// may be sent.
func (w *Watcher) Refusal(traits []quarantine.Trait) *errkind.Error {
	nowMs, known := w.platformTime(w.Now())
	if !known {
		return nil
	}
	left, refused := w.table.Refuses(traits, nowMs)
	if !refused {
		return nil
	}
	return errkind.New(errkind.PromptRefused, "requests with a part of this prompt crash targets").WithRetryAfter(left)
}

// Answered records that an answer to a prompt with the parts, which began at the
// given time, was complete or has outlived quarantine.Probation.
func (w *Watcher) Answered(traits []quarantine.Trait, began time.Time) {
	beganMs, known := w.platformTime(began)
	if known && w.table.RecordAnswer(traits, beganMs) {
		w.refresh()
		w.publisher.wakeLater()
	}
}

// ConnectionLost records that a target's connection was lost before an answer to a
// prompt with the parts was complete or had outlived quarantine.Probation. It
// returns at once; the target is checked later.
func (w *Watcher) ConnectionLost(target placement.Target, traits []quarantine.Trait) {
	w.enqueue(lostAnswer{target: target, traits: traits})
}

// AnsweredUnlessCrashed records that an answer ended with its connection, which
// is how a target ends an answer without a length, and how one ends that crashed.
func (w *Watcher) AnsweredUnlessCrashed(target placement.Target, traits []quarantine.Trait, began time.Time) {
	beganMs, known := w.platformTime(began)
	if known {
		w.enqueue(lostAnswer{target: target, traits: traits, beganMs: beganMs})
	}
}

// platformTime returns the time of the platform's clock at a local time.
func (w *Watcher) platformTime(at time.Time) (int64, bool) {
	return platformclient.TimeAt(w.Clock, at, w.Now())
}

func (w *Watcher) enqueue(l lostAnswer) {
	nowMs, known := w.platformTime(w.Now())
	if !known || len(l.traits) == 0 {
		return
	}
	l.atMs = nowMs
	l.traits = l.traits[:min(len(l.traits), maxTraitsPerCrash)]
	select {
	case w.lost <- l:
	default:
		w.Metrics.unchecked.Inc()
	}
}

// checkLost checks the targets of lost answers until ctx ends.
func (w *Watcher) checkLost(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-w.lost:
			w.check(ctx, l)
		}
	}
}

func (w *Watcher) check(ctx context.Context, l lostAnswer) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if w.ConnectionRefused(ctx, l.target.Address) {
		w.recordCrash(l)
		return
	}
	if l.beganMs > 0 && w.table.RecordAnswer(l.traits, l.beganMs) {
		w.refresh()
		w.publisher.wakeLater()
	}
}

func (w *Watcher) recordCrash(l lostAnswer) {
	w.Metrics.crashes.Inc()
	process := l.target.Process()
	w.table.RecordCrash(quarantine.Crash{Process: process, AtMs: l.atMs, Traits: l.traits})
	w.Log.Info("crash: a target ended under a prompt.", zap.String("target", l.target.ID), zap.Int64("at_ms", l.atMs), zap.Int("parts", len(l.traits)))
	w.refresh()
	w.publisher.wake()
}

// refresh decides anew which parts are refused, and logs what has changed.
func (w *Watcher) refresh() {
	nowMs, known := w.platformTime(w.Now())
	if !known {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	before := w.refusals
	w.refusals = w.table.Update(nowMs)
	parts := 0
	for _, r := range w.refusals {
		parts += len(r.Traits)
		if !contains(before, r) {
			w.Log.Warn("crash: refusing prompts that crash targets.", zap.Uint64s("part_hashes", hashes(r.Traits)),
				zap.Int("crashes", r.Crashes), zap.Int64("last_ms", r.LastMs), zap.Int64("until_ms", r.UntilMs))
		}
	}
	for _, r := range before {
		if !contains(w.refusals, r) {
			w.Log.Info("crash: no longer refusing prompts as before.", zap.Uint64s("part_hashes", hashes(r.Traits)))
		}
	}
	w.Metrics.quarantined.Set(float64(parts))
}
