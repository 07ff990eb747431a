package streamorigin

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/streamorigin"
	"cuminrock.example/router/wait"
)

const (
	// versionsPrefix is the prefix of the rows of all services, one row each. They are in
	// one partition, so that they can be read in one call and written in one transaction.
	versionsPrefix = "versions//"
	// checkInterval is the least time between two checks whether the rows need a refresh.
	// A random part, which grows with the number of gateways by checkPerGateway, is added,
	// so that one gateway's refresh saves the others theirs. maxCheckSpread keeps the whole
	// below the time for which a recorded version is valid.
	checkInterval   = time.Minute
	checkPerGateway = 2 * time.Second
	maxCheckSpread  = 4 * time.Minute
	// awaitTimeout bounds how long a new stream waits until the versions of the targets
	// are recorded.
	awaitTimeout = time.Second
	// minRecordDelay and maxRecordDelay bound the random delay after a failed call.
	minRecordDelay = 100 * time.Millisecond
	maxRecordDelay = 400 * time.Millisecond
)

// versions keeps the store's records of services' versions up to date and knows what they
// hold. Gateways read the rows when they need them rather than follow them, since the rows
// change only with a change of versions and once a minute.
type versions struct {
	registry *Registry
	wakeup   chan struct{}
	reader   *reader[map[string]storedRecord]
	// hasRead is set once this run has read the rows.
	hasRead atomic.Bool

	mu sync.Mutex
	// listed has the versions of the listed targets by service.
	listed map[string][]string
	// records has by service what this run has read.
	records map[string]*streamorigin.VersionRecord
	// changed is closed and replaced when records or listed change.
	changed chan struct{}
}

func newVersions(r *Registry) *versions {
	v := &versions{registry: r, wakeup: make(chan struct{}, 1), records: make(map[string]*streamorigin.VersionRecord), changed: make(chan struct{})}
	v.reader = newReader(v.readRows)
	return v
}

// setListed replaces the versions of the listed targets by service.
func (v *versions) setListed(listed map[string][]string) {
	v.mu.Lock()
	v.listed = listed
	v.notifyChanged()
	v.mu.Unlock()
	if !v.allRecorded() {
		v.wake()
	}
}

// wake makes run record the listed versions. It never blocks.
func (v *versions) wake() {
	select {
	case v.wakeup <- struct{}{}:
	default:
	}
}

// notifyChanged wakes those that wait for a change. The lock is held.
func (v *versions) notifyChanged() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// run records the listed versions until ctx ends. It reads the rows at once, so that a run
// that has just started knows them if the store goes away after it has listed the targets.
func (v *versions) run(ctx context.Context) {
	// If the read fails, the first listed targets cause another.
	_, _ = v.readNow(ctx)
	for {
		timer := time.NewTimer(checkInterval + rand.N(min(time.Duration(v.registry.Gateways())*checkPerGateway, maxCheckSpread)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-v.wakeup:
		case <-timer.C:
		}
		timer.Stop()
		v.recordUntilStored(ctx)
	}
}

// recordUntilStored records the listed versions, again after each failure, until ctx ends.
// It logs the first failure and the success after it.
func (v *versions) recordUntilStored(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		err := v.record(ctx)
		if err == nil {
			break
		}
		if !failed {
			v.registry.Log.Warn("versions: can't record the versions of the listed targets; trying again.", zap.Error(err))
		}
		failed = true
		wait.For(ctx, minRecordDelay+rand.N(maxRecordDelay-minRecordDelay))
	}
	if failed && ctx.Err() == nil {
		v.registry.Log.Info("versions: recorded the versions of the listed targets after a failure.")
	}
}

// record records the listed versions unless the rows have them. Before it reads and writes,
// it waits for a random time, since all gateways list a new version together. A run that
// hasn't read the rows yet reads them at once first: they usually have the versions.
func (v *versions) record(ctx context.Context) error {
	if !v.hasRead.Load() {
		_, err := v.readNow(ctx)
		if err != nil {
			return err
		}
	}
	if v.nothingToDo() {
		return nil
	}
	wait.For(ctx, rand.N(v.registry.spread()))
	rows, err := v.readNow(ctx)
	if err != nil {
		return err
	}
	next := v.outdated(rows)
	if len(next) == 0 {
		return nil
	}
	return v.write(ctx, rows, next)
}

// nothingToDo reports whether all listed versions are recorded and need no refresh.
func (v *versions) nothingToDo() bool {
	nowMs, known := v.registry.platformTime()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !known {
		return len(v.listed) == 0
	}
	for service, listed := range v.listed {
		record := v.records[service]
		if record == nil || slices.ContainsFunc(listed, func(version string) bool { return record.NeedsRefresh(version, nowMs) }) {
			return false
		}
	}
	return true
}

// allRecorded reports whether streams may begin at all listed versions.
func (v *versions) allRecorded() bool {
	v.mu.Lock()
	services := slices.Collect(maps.Keys(v.listed))
	v.mu.Unlock()
	return !slices.ContainsFunc(services, func(service string) bool { return v.unrecorded(service) > 0 })
}

// outdated returns the records that have to be stored, by service. Among them are those of
// which the store has lost a part.
func (v *versions) outdated(rows map[string]storedRecord) map[string]streamorigin.VersionRecord {
	// A read has shown the platform's time.
	nowMs, _ := v.registry.platformTime()
	v.mu.Lock()
	defer v.mu.Unlock()
	outdated := make(map[string]streamorigin.VersionRecord)
	for service, listed := range v.listed {
		row := rows[service]
		known := row.VersionRecord
		if record := v.records[service]; record != nil {
			known.Merge(*record)
		}
		next, changed := known.WithListed(listed, nowMs)
		lost := slices.ContainsFunc(slices.Collect(maps.Keys(next.LastMs)), func(version string) bool {
			_, stored := row.LastMs[version]
			return !stored
		})
		if changed || lost {
			outdated[service] = next
		}
	}
	return outdated
}

// mayBegin reports whether streams may begin at a version of a service.
func (v *versions) mayBegin(service, version string) bool {
	nowMs, known := v.registry.platformTime()
	v.mu.Lock()
	defer v.mu.Unlock()
	record := v.records[service]
	return known && record != nil && record.MayBegin(version, nowMs)
}

// unrecorded returns the number of listed versions at which no stream may begin yet.
func (v *versions) unrecorded(service string) int {
	v.mu.Lock()
	listed := v.listed[service]
	v.mu.Unlock()
	n := 0
	for _, version := range listed {
		if !v.mayBegin(service, version) {
			n++
		}
	}
	return n
}

// await waits until streams may begin at another listed version of the service, for at
// most awaitTimeout. It reports false if there is none.
func (v *versions) await(ctx context.Context, service string) bool {
	before := v.unrecorded(service)
	if before == 0 {
		return false
	}
	v.wake()
	timer := time.NewTimer(awaitTimeout)
	defer timer.Stop()
	for {
		v.mu.Lock()
		changed := v.changed
		v.mu.Unlock()
		if v.unrecorded(service) < before {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return false
		case <-changed:
		}
	}
}

// sole reads the records and returns the only version of a service at which streams of a
// lifetime can have begun, and whether the record covers all of them. The read begins after
// the call, so that it shows the version of each stream that had begun by then.
func (v *versions) sole(ctx context.Context, service string, lifetime time.Duration) (version string, covers bool, err error) {
	_, err = retryUntil(ctx, v.registry, v.reader)
	if err != nil {
		return "", false, err
	}
	nowMs, _ := v.registry.platformTime()
	v.mu.Lock()
	defer v.mu.Unlock()
	record := v.records[service]
	if record == nil {
		return "", false, nil
	}
	version, _ = record.SoleVersion(lifetime, nowMs)
	return version, record.Covers(lifetime, nowMs), nil
}

// covers reports whether the record as last read covers all streams of a lifetime.
func (v *versions) covers(service string, lifetime time.Duration) bool {
	nowMs, known := v.registry.platformTime()
	v.mu.Lock()
	defer v.mu.Unlock()
	record := v.records[service]
	return known && record != nil && record.Covers(lifetime, nowMs)
}
