package streamorigin

import (
	"maps"
	"time"
)

const (
	// versionLease is how long after a version was last recorded as listed streams may
	// begin at it. It is as long as callers that don't name their attempt are refused
	// after a change of versions.
	versionLease = 10 * time.Minute
	// refreshAfter is the age at which a listed version is recorded again. Refreshes that
	// fail for nine times as long have no effect.
	refreshAfter = time.Minute
	// versionRetention is how long a version is kept after its lease has ended. It exceeds
	// the lifetime of streams.
	versionRetention = 24 * time.Hour
)

// VersionRecord is what the store records of the versions of one service's software. A
// stream begins only at a version that is recorded, so that a record which is read after
// a stream has begun has the stream's version. The zero value is no record.
type VersionRecord struct {
	// Exists is false if the store has no record.
	Exists bool
	// CreatedMs is when the record was created; of streams that began before, it knows
	// nothing.
	CreatedMs int64
	// LastMs has when a target of each version was last recorded as listed.
	LastMs map[string]int64
}

// Merge adds what another copy of the record has. A record that the store lost in part, or
// an old copy, takes nothing away.
func (r *VersionRecord) Merge(other VersionRecord) {
	if !other.Exists {
		return
	}
	if !r.Exists {
		*r = VersionRecord{Exists: true, CreatedMs: other.CreatedMs, LastMs: maps.Clone(other.LastMs)}
		return
	}
	r.CreatedMs = min(r.CreatedMs, other.CreatedMs)
	for version, lastMs := range other.LastMs {
		known, found := r.LastMs[version]
		if !found || known < lastMs {
			r.LastMs[version] = lastMs
		}
	}
}

// WithListed returns the record that has to be stored while targets of the versions are
// listed, and whether it differs. Versions that no stream can have any more are left out.
func (r *VersionRecord) WithListed(versions []string, nowMs int64) (VersionRecord, bool) {
	next := VersionRecord{Exists: true, CreatedMs: nowMs, LastMs: make(map[string]int64)}
	if r.Exists {
		next.CreatedMs = r.CreatedMs
	}
	for version, lastMs := range r.LastMs {
		if nowMs < lastMs+(versionLease+versionRetention).Milliseconds() {
			next.LastMs[version] = lastMs
		}
	}
	changed := false
	for _, version := range versions {
		if r.NeedsRefresh(version, nowMs) {
			next.LastMs[version] = nowMs
			changed = true
		}
	}
	return next, changed
}

// NeedsRefresh reports whether a listed version has to be recorded.
func (r *VersionRecord) NeedsRefresh(version string, nowMs int64) bool {
	lastMs, found := r.LastMs[version]
	return !found || nowMs >= lastMs+refreshAfter.Milliseconds()
}

// MayBegin reports whether streams may begin at a version.
func (r *VersionRecord) MayBegin(version string, nowMs int64) bool {
	lastMs, found := r.LastMs[version]
	return found && nowMs < lastMs+versionLease.Milliseconds()
}

// SoleVersion returns the only version at which a stream that lasts for at most a lifetime
// can have begun; false if there are several, or the only one is unknown. A stream that is
// older than the record isn't considered; see Covers.
func (r *VersionRecord) SoleVersion(lifetime time.Duration, nowMs int64) (string, bool) {
	sole, found := "", false
	for version, lastMs := range r.LastMs {
		if nowMs > lastMs+(versionLease+lifetime).Milliseconds() {
			continue
		}
		if found {
			return "", false
		}
		sole, found = version, true
	}
	return sole, sole != ""
}

// Covers reports whether all streams that last for at most a lifetime, and can still be
// taken up, began after the record was created.
func (r *VersionRecord) Covers(lifetime time.Duration, nowMs int64) bool {
	return r.Exists && nowMs >= r.CreatedMs+lifetime.Milliseconds()
}
