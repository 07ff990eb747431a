// Package streamorigin records at which version of a service's software streams began.
// What two versions write doesn't fit together, so that a stream may go on only at the
// version that began it.
//
// A stream is named by the caller's attempt that brought its first event. An origin
// counts until the stream can't be taken up any more. Of a stream that two versions are
// said to have begun, nothing is known.
//
// The package reads no clock: times are those of the platform's clock, which all gateways
// share, in milliseconds.
package streamorigin

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxOrigins bounds the origins in a bounded Log, so that they fit into a row of 64 KiB.
const maxOrigins = 2000

// Stream identifies a stream.
type Stream uint64

// StreamOf returns the stream that an attempt of a workspace's caller began.
func StreamOf(workspace, attempt string) Stream {
	h := xxhash.New()
	// Writing to a hash never fails; no workspace's name has a zero byte.
	_, _ = h.WriteString(workspace + "\x00" + attempt)
	return Stream(h.Sum64())
}

// Origin is where a stream began.
type Origin struct {
	// Version is empty if two versions are said to have begun the stream.
	Version string
	// UntilMs is when the origin stops to count.
	UntilMs int64
}

// entry is an origin in a Log.
type entry struct {
	Origin
	// expected is set while the stream's first event hasn't arrived: another target may
	// still begin it.
	expected bool
	// published are the versions with which the stream may be stored. A write that got no
	// response may have been executed or not, so that there may be several.
	published []string
}

// Log holds origins. It is safe for concurrent use.
type Log struct {
	bounded bool

	mu      sync.Mutex
	origins map[Stream]*entry
}

// NewLog returns an empty log that is bounded.
func NewLog() *Log { return &Log{bounded: true, origins: make(map[Stream]*entry)} }

// NewUnboundedLog returns an empty log for the origins of many bounded ones.
func NewUnboundedLog() *Log { return &Log{origins: make(map[Stream]*entry)} }

// Expect adds the origin that a stream will have if the target that it is sent to begins
// it. It is recorded ahead of the first event, so that it is stored by then.
func (l *Log) Expect(s Stream, o Origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.origins[s]
	switch {
	case !found:
		l.insert(s, &entry{Origin: o, expected: true})
	case known.expected:
		known.Origin = o
	default:
		known.Origin = known.merge(o)
	}
}

// Add adds the origin of a stream that has begun. Of too many, the one that counts for the
// shortest time is dropped.
func (l *Log) Add(s Stream, o Origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.origins[s]
	switch {
	case !found:
		l.insert(s, &entry{Origin: o})
	case known.expected:
		known.Origin, known.expected = o, false
	default:
		known.Origin = known.merge(o)
	}
}

// insert adds an entry. The lock is held.
func (l *Log) insert(s Stream, e *entry) {
	l.origins[s] = e
	if l.bounded && len(l.origins) > maxOrigins {
		l.dropFirst()
	}
}

// merge returns what two records of one stream tell together.
func (o Origin) merge(other Origin) Origin {
	if o.Version != other.Version {
		o.Version = ""
	}
	o.UntilMs = max(o.UntilMs, other.UntilMs)
	return o
}

// dropFirst drops the origin that counts for the shortest time.
func (l *Log) dropFirst() {
	var first Stream
	var firstMs int64
	for s, o := range l.origins {
		if firstMs == 0 || o.UntilMs < firstMs {
			first, firstMs = s, o.UntilMs
		}
	}
	delete(l.origins, first)
}

// Version returns the version that began a stream; false if that isn't known.
func (l *Log) Version(s Stream, nowMs int64) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, found := l.origins[s]
	if !found || o.expected || o.UntilMs <= nowMs || o.Version == "" {
		return "", false
	}
	return o.Version, true
}

// Publish returns the origins that count, which the caller is about to store, and forgets
// the others.
func (l *Log) Publish(nowMs int64) map[Stream]Origin {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.origins, func(_ Stream, o *entry) bool { return o.UntilMs <= nowMs })
	origins := make(map[Stream]Origin, len(l.origins))
	for s, o := range l.origins {
		origins[s] = o.Origin
		if !slices.Contains(o.published, o.Version) {
			o.published = append(o.published, o.Version)
		}
	}
	return origins
}

// Misleads reports whether another version of a stream may be stored than the one that
// the log has, so that a gateway which reads it would go on at the wrong one.
func (l *Log) Misleads(s Stream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, found := l.origins[s]
	return found && slices.ContainsFunc(o.published, func(version string) bool { return version != "" && version != o.Version })
}

// Stored takes an origin from this log's row in the store. That of a stream which this log
// has published is its own; any other is an earlier run's, which may still be taken up.
func (l *Log) Stored(s Stream, o Origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.origins[s]
	switch {
	case !found:
		l.insert(s, &entry{Origin: o, published: []string{o.Version}})
	case len(known.published) > 0:
		known.published = []string{o.Version}
	default:
		known.Origin, known.expected = known.merge(o), false
		known.published = []string{o.Version}
	}
}
