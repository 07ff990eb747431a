// Package targetlimit keeps the requests that all gateways together send to a target
// within the limits that the target names, and within what a cold target takes.
//
// For each target one gateway issues permits: the first in the ranking of its data
// centre's gateways by a hash of the target's id (package home). The others ask it
// before each request to a target that they know to have a limit, and each call
// exchanges what both heard last of the limit. A gateway that gets no response asks
// the next one, which issues fewer permits as long as it isn't the first in its own
// ranking; without any response, nothing is sent. The issuer of permits for a brittle
// target is told when their requests end. Permits for cold targets come from the first
// three gateways in the ranking only.
package targetlimit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/home"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/fleet/targetlimit"
	"cuminrock.example/router/platformclient"
)

const (
	// maxIssuersTried bounds the gateways that are asked for one permit.
	maxIssuersTried = 2
	// callTimeout bounds one call. A small VM may run nothing for a tenth of a
	// second.
	callTimeout = 150 * time.Millisecond
	// unreachableRetryAfter is when to ask again if no gateway responded.
	unreachableRetryAfter = 500 * time.Millisecond
	// maxColdPermitAge is the longest time that a call for a permit for a cold target may
	// have taken: a request that is sent later could arrive together with those of later
	// permits.
	maxColdPermitAge = 250 * time.Millisecond
	// maxPendingNews bounds the changed limits that the issuer is still to be told.
	// Calls for permits tell them, too.
	maxPendingNews = 64
	// maxPendingReleases bounds the ended requests of which issuers are still to be told;
	// their permits expire otherwise. maxReleases bounds those of one call.
	maxPendingReleases = 1024
	maxReleases        = 64
	// releaseTimeout bounds one call.
	releaseTimeout = 300 * time.Millisecond
)

// Peers calls other gateways.
type Peers interface {
	Acquire(ctx context.Context, address string, req *pb.AcquirePermitRequest) (*pb.AcquirePermitResponse, error)
	Release(ctx context.Context, address string, req *pb.ReleasePermitsRequest) error
}

// Options configures a Limiter. All fields but Cold are required.
type Options struct {
	Homes *home.Table
	// Alone is set if there are no other gateways that could issue permits.
	Alone bool
	// Cold returns what the configuration says of the cold targets of a service; nil means
	// that no service has any.
	Cold    func(service string) targetlimit.ColdRule
	Peers   Peers
	Clock   platformclient.Clock
	Metrics *Metrics
	Log     *zap.Logger
	Now     func() time.Time
}

// Limiter asks for permits, and issues those of this gateway. It is safe for
// concurrent use.
type Limiter struct {
	Options
	book     *targetlimit.Book
	issuer   *targetlimit.Issuer
	rooms    *targetlimit.Rooms
	reports  *reports
	cold     *targetlimit.ColdBook
	colds    *targetlimit.ColdIssuer
	ranking  *targetlimit.Ranking
	news     chan placement.Target
	releases chan release
}

// release is a request that has ended, and the address of the gateway that issued its
// permit.
type release struct {
	address string
	outcome *pb.PermitOutcome
}

// New returns a limiter that knows of no limits.
func New(opts Options) *Limiter {
	if opts.Cold == nil {
		opts.Cold = func(string) targetlimit.ColdRule { return targetlimit.ColdRule{} }
	}
	return &Limiter{
		cold: targetlimit.NewColdBook(), colds: targetlimit.NewColdIssuer(), ranking: targetlimit.NewRanking(opts.Homes.Self().Name),
		Options: opts, book: targetlimit.NewBook(), issuer: targetlimit.NewIssuer(), rooms: targetlimit.NewRooms(rand.Uint64() / 2), reports: newReports(),
		news: make(chan placement.Target, maxPendingNews), releases: make(chan release, maxPendingReleases),
	}
}

// Run tells issuers of changed limits and of ended requests until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	var running conc.WaitGroup
	running.Go(func() { l.tellNews(ctx) })
	for range releasers {
		running.Go(func() { l.tellReleases(ctx) })
	}
	running.Wait()
}

func (l *Limiter) tellNews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case target := <-l.news:
			l.ask(ctx, target, true, 0)
		}
	}
}

// Answered records what a target says in an answer to a request that was sent at a
// time, and the load that it reports there; nil for no report.
func (l *Limiter) Answered(target placement.Target, said placement.Announcement, load *placement.Load, sent time.Time) {
	l.answeredCold(target, said, sent)
	limit := targetlimit.Limit{PerSecond: said.Limit, MaxRefusals: said.MaxRefusals}
	if !limit.Named() && !l.book.LimitOf(target).Named() {
		return
	}
	now := l.Now()
	if load != nil {
		l.reports.add(target.Process(), *load, now)
	}
	nowMs, known := platformclient.TimeAt(l.Clock, now, now)
	if !known {
		return
	}
	limit.HeardMs = nowMs
	l.book.LearnService(target.Service, limit)
	if !l.book.LearnAnswer(target.Process(), limit, nowMs-now.Sub(sent).Milliseconds()) {
		return
	}
	l.Log.Info("limit: a target's limits have changed.", zap.String("target", target.ID), zap.Float64("per_second", limit.PerSecond), zap.Int("max_refusals", limit.MaxRefusals))
	select {
	case l.news <- target:
	default:
	}
}

// Acquire asks for a permit to send one request, which ends within a time, to a target.
// Targets without a known limit that aren't cold need none. The permit ends with Release.
func (l *Limiter) Acquire(ctx context.Context, target placement.Target, lifetime time.Duration) targetlimit.Permit {
	coldBound, _ := l.coldBound(target)
	if coldBound > 0 {
		return l.acquireCold(ctx, target, lifetime)
	}
	if !l.book.LimitOf(target).Named() {
		return targetlimit.Permit{Granted: true}
	}
	permit := l.ask(ctx, target, false, lifetime)
	l.Metrics.record(permit)
	return permit
}

// ask asks the issuer of the target's permits, or the next one if it doesn't
// respond. If newsOnly is set, it only tells what this gateway knows.
func (l *Limiter) ask(ctx context.Context, target placement.Target, newsOnly bool, lifetime time.Duration) targetlimit.Permit {
	var tried []string
	for len(tried) < maxIssuersTried && ctx.Err() == nil {
		call := l.pick(target, tried)
		if call == nil {
			break
		}
		tried = append(tried, call.Gateway().Name)
		if call.Gateway().Name == l.Homes.Self().Name {
			call.Succeeded()
			if l.leavesColdToOthers(target) {
				continue
			}
			l.rooms.Learn(target.Process(), l.reports.get(target.Process(), l.Now()), l.Now())
			return l.issue(target, newsOnly, lifetime, 0)
		}
		permit, err := l.askAt(ctx, call, target, newsOnly, lifetime)
		if err == nil {
			return permit
		}
		l.Log.Info("limit: the issuer of permits didn't respond.", zap.String("target", target.ID),
			zap.String("gateway", call.Gateway().Name), zap.Error(err))
	}
	return targetlimit.Permit{RetryAfter: unreachableRetryAfter}
}

// pick returns a call to the first gateway that issues permits for the target,
// responds and wasn't tried; nil if there is none.
func (l *Limiter) pick(target placement.Target, tried []string) *home.Call {
	for _, dataCentre := range l.dataCentres(target) {
		call := l.Homes.Pick(target.ID, dataCentre, tried, l.Now())
		if call != nil {
			return call
		}
	}
	return nil
}

// dataCentres returns the data centres whose gateways may issue permits for the
// target: its own, and the others for when that has no gateways. All gateways have
// the same order.
func (l *Limiter) dataCentres(target placement.Target) []string {
	list := []string{target.DataCentre}
	for _, dataCentre := range l.Homes.DataCentres() {
		if dataCentre != target.DataCentre {
			list = append(list, dataCentre)
		}
	}
	return list
}

// isFallback reports whether another gateway should issue the target's permits.
func (l *Limiter) isFallback(target placement.Target) bool {
	for _, dataCentre := range l.dataCentres(target) {
		first, found := l.Homes.First(target.ID, dataCentre)
		if found {
			return first.Name != l.Homes.Self().Name
		}
	}
	return false
}

// issue issues a permit here. If coldBound is above 0, the target counts as cold at the
// gateway that asks, and may get so many requests in any second.
func (l *Limiter) issue(target placement.Target, newsOnly bool, lifetime time.Duration, coldBound float64) targetlimit.Permit {
	limit := l.book.LimitOf(target)
	permit := targetlimit.Permit{Granted: true}
	if newsOnly {
		return permit
	}
	if cold := l.issueCold(target, coldBound); !cold.Granted || !limit.Named() {
		return cold
	}
	fallback, now := l.isFallback(target), l.Now()
	if limit.MaxRefusals > 0 {
		permit = l.rooms.Acquire(target.Process(), limit.MaxRefusals, fallback, lifetime, now)
	}
	if !permit.Granted || limit.PerSecond == 0 {
		return permit
	}
	second := l.issuer.Acquire(target.Process(), limit.PerSecond, fallback, now)
	if !second.Granted {
		l.rooms.Release(target.Process(), permit.ID, targetlimit.Outcome{}, now)
		return second
	}
	return permit
}

// askAt asks another gateway.
func (l *Limiter) askAt(ctx context.Context, call *home.Call, target placement.Target, newsOnly bool, lifetime time.Duration) (targetlimit.Permit, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := l.Now()
	load, loadAgeMs := encodeReport(l.reports.get(target.Process(), l.Now()))
	coldBound, _ := l.coldBound(target)
	resp, err := l.Peers.Acquire(callCtx, call.Gateway().PeerAddress, &pb.AcquirePermitRequest{
		TargetId: target.ID, StartTimeMs: target.StartTimeMs, DataCentre: target.DataCentre,
		Limit: encodeLimit(l.book.LimitOf(target)), NewsOnly: newsOnly, Service: target.Service, LifetimeMs: lifetime.Milliseconds(),
		Load: load, LoadAgeMs: loadAgeMs, ColdBound: coldBound, ColdPeriod: l.encodeCold(target.Process()),
	})
	switch {
	case err == nil:
		call.Succeeded()
	case ctx.Err() != nil:
		// The request itself has ended, which says nothing about the gateway.
		call.Release()
		return targetlimit.Permit{}, err
	default:
		call.Failed(l.Now())
		return targetlimit.Permit{}, err
	}
	l.book.Learn(target.Process(), decodeLimit(resp.Limit))
	l.learnCold(target.Process(), resp.ColdPeriod)
	if coldBound > 0 && l.Now().Sub(began) > maxColdPermitAge {
		return targetlimit.Permit{RetryAfter: unreachableRetryAfter}, nil
	}
	return targetlimit.Permit{Granted: resp.Granted, ID: resp.Permit, Issuer: call.Gateway().PeerAddress, RetryAfter: time.Duration(resp.RetryAfterMs) * time.Millisecond}, nil
}

func encodeLimit(l targetlimit.Limit) *pb.TargetLimit {
	return &pb.TargetLimit{PerSecond: l.PerSecond, MaxRefusals: int64(l.MaxRefusals), HeardMs: l.HeardMs}
}

func decodeLimit(l *pb.TargetLimit) targetlimit.Limit {
	return targetlimit.Limit{PerSecond: l.GetPerSecond(), MaxRefusals: int(l.GetMaxRefusals()), HeardMs: l.GetHeardMs()}
}
