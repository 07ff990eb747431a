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

// Log holds origins. It is safe for concurrent use.
type Log struct {
	bounded bool

	mu      sync.Mutex
	origins map[Stream]Origin
}

// NewLog returns an empty log that is bounded.
func NewLog() *Log { return &Log{bounded: true, origins: make(map[Stream]Origin)} }

// NewUnboundedLog returns an empty log for the origins of many bounded ones.
func NewUnboundedLog() *Log { return &Log{origins: make(map[Stream]Origin)} }

// Add adds an origin. Of too many, the one that counts for the shortest time is dropped.
func (l *Log) Add(s Stream, o Origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, found := l.origins[s]
	if found {
		o = known.merge(o)
	}
	l.origins[s] = o
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
	if !found || o.UntilMs <= nowMs || o.Version == "" {
		return "", false
	}
	return o.Version, true
}

// Origins returns the origins that count, and forgets the others.
func (l *Log) Origins(nowMs int64) map[Stream]Origin {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.origins, func(_ Stream, o Origin) bool { return o.UntilMs <= nowMs })
	return maps.Clone(l.origins)
}
