// Package crashwatch finds out, together with the other gateways, which requests and
// which parts of prompts crash targets, and refuses them.
//
// When the connection of an answer is lost, the gateway checks whether the target
// still accepts connections. If not, its process has ended, which is recorded with
// the traits of the request unless the answer had been running for a while. The
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
	"cuminrock.example/router/ownrow"
	"cuminrock.example/router/platformclient"
)

const (
	// maxPendingChecks bounds the lost answers whose targets are still to be
	// checked; further ones aren't checked.
	maxPendingChecks = 256
	// checkers is the number of targets that are checked concurrently.
	checkers = 8
	// checkTimeout bounds the check of one target, for which other targets and gateways
	// may have to be asked.
	checkTimeout = 1500 * time.Millisecond
	// maxTraitsPerCrash bounds the traits that are recorded for one answer.
	maxTraitsPerCrash = 32
)

// Options configures a Watcher. All fields but Ended are required.
type Options struct {
	// Gateway is this gateway's name.
	Gateway string
	Tables  platformclient.TableStore
	Clock   platformclient.Clock
	// TargetEnded reports whether the process at a target's address has ended: nothing
	// listens there, and this gateway isn't just cut off.
	TargetEnded func(ctx context.Context, address string) bool
	// Ended is told of targets whose processes have ended; nil for nobody.
	Ended   func(placement.Target)
	Metrics *Metrics
	Log     *zap.Logger
	Now     func() time.Time
}

// Watcher refuses requests and records how answers end. It is safe for concurrent
// use.
type Watcher struct {
	Options
	table     *quarantine.Table
	lost      chan lostAnswer
	publisher *ownrow.Row

	mu       sync.Mutex
	refusals []quarantine.Refusal
}

// lostAnswer is an answer that ended with its connection.
type lostAnswer struct {
	quarantine.Exchange
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
	running.Go(func() { w.publisher.Run(ctx) })
	running.Wait()
}

// Refusal returns the error of a request with the traits, or nil if it may be sent.
func (w *Watcher) Refusal(traits []quarantine.Trait) *errkind.Error {
	nowMs, known := w.platformTime(w.Now())
	if !known {
		return nil
	}
	refusal := w.table.Refuses(traits, nowMs)
	if refusal == nil {
		return nil
	}
	left := time.Duration(refusal.UntilMs-nowMs) * time.Millisecond
	if refusal.Kind() == quarantine.WholeRequest {
		return errkind.New(errkind.RequestRefused, "earlier attempts at this request crashed targets").WithRetryAfter(left)
	}
	return errkind.New(errkind.PromptRefused, "requests with a part of this prompt crash targets").WithRetryAfter(left)
}

// Answered records that an answer to a request with the traits, which began at the
// given time, was complete or has outlived quarantine.Probation.
func (w *Watcher) Answered(traits []quarantine.Trait, began time.Time) {
	beganMs, known := w.platformTime(began)
	if known {
		w.recordAnswer(traits, beganMs)
	}
}

// recordAnswer records an answer, and reports it to the other gateways if it matters.
func (w *Watcher) recordAnswer(traits []quarantine.Trait, beganMs int64) {
	switch w.table.RecordAnswer(traits, beganMs) {
	case quarantine.ClearsRefusal:
		w.refresh()
		w.publisher.Wake()
	case quarantine.ClearsEvidence:
		w.refresh()
		w.publisher.WakeLater()
	}
}

// ConnectionLost records that a target's connection was lost before the answer was
// complete or had outlived quarantine.Probation. It returns at once; the target is
// checked later.
func (w *Watcher) ConnectionLost(e quarantine.Exchange) {
	w.enqueue(lostAnswer{Exchange: e})
}

// AnsweredUnlessCrashed records that an answer, which began at the given time, ended
// with its connection, which is how a target ends an answer without a length, and how
// one ends that crashed.
func (w *Watcher) AnsweredUnlessCrashed(e quarantine.Exchange, began time.Time) {
	beganMs, known := w.platformTime(began)
	if known {
		w.enqueue(lostAnswer{Exchange: e, beganMs: beganMs})
	}
}

// platformTime returns the time of the platform's clock at a local time.
func (w *Watcher) platformTime(at time.Time) (int64, bool) {
	return platformclient.TimeAt(w.Clock, at, w.Now())
}

func (w *Watcher) enqueue(l lostAnswer) {
	nowMs, known := w.platformTime(w.Now())
	if !known {
		return
	}
	l.atMs = nowMs
	l.Traits = l.Traits[:min(len(l.Traits), maxTraitsPerCrash)]
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
	if w.TargetEnded(ctx, l.Target.Address) {
		w.recordCrash(l)
		return
	}
	if l.beganMs > 0 {
		w.recordAnswer(l.Traits, l.beganMs)
	}
}

func (w *Watcher) recordCrash(l lostAnswer) {
	w.Metrics.crashes.Inc()
	if w.Ended != nil {
		w.Ended(l.Target)
	}
	crash := quarantine.Crash{Process: l.Target.Process(), AtMs: l.atMs, SentMs: make(map[quarantine.Trait]int64)}
	// Without the time, the attempt counts as one that was sent long ago.
	sentMs, _ := w.platformTime(l.SentAt)
	for _, trait := range l.Traits {
		crash.SentMs[trait] = sentMs
	}
	w.table.RecordCrash(crash)
	w.Log.Info("crash: a target ended under a request.", zap.String("target", l.Target.ID), zap.Int64("at_ms", l.atMs),
		zap.Int64("sent_ms", sentMs), fingerprintField(l.Traits),
		zap.Int("parts", len(hashes(l.Traits, quarantine.PromptPart))))
	w.refresh()
	w.publisher.Wake()
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
	for _, r := range w.refusals {
		if !contains(before, r) {
			w.Log.Warn("crash: refusing requests that crash targets.", hashField(r.Traits), zap.Int("crashes", r.Crashes),
				zap.Int64("last_ms", r.LastMs), zap.Int64("from_ms", r.FromMs), zap.Int64("until_ms", r.UntilMs), zap.Int64("trials_from_ms", r.TrialsFromMs))
		}
	}
	for _, r := range before {
		if !contains(w.refusals, r) {
			w.Log.Info("crash: no longer refusing requests as before.", hashField(r.Traits))
		}
	}
	w.Metrics.count(w.refusals)
}
