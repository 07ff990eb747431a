// Package streamorigin tells the gateways of a deployment at which version of their
// service's software streams began, so that a stream which its caller takes up at another
// gateway goes on at that version.
//
// Each gateway keeps the origins of its streams in a row of the platform's store, which it
// writes at most every few hundred milliseconds, whatever the number of streams. An origin
// is recorded when the request is sent to a target, so that it is usually stored before the
// first event arrives. The rows outlive the gateways. A gateway that doesn't know a stream
// reads all rows, one read for all that wait; it doesn't guess.
//
// For callers that don't name their stream, one row per service records which versions its
// targets had. A stream begins only at a recorded version.
package streamorigin

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/streamorigin"
	"cuminrock.example/router/ownrow"
	"cuminrock.example/router/platformclient"
)

const (
	// table has the rows of all gateways, in partitions partitions, as one takes only
	// some of a large deployment's writes.
	table      = "streams"
	partitions = 8
	// The random delay before the row is written after streams were sent is at most
	// delayPerGateway for each gateway of the deployment, within minWriteDelay and
	// maxWriteDelay, since the store's rates are shared by all. brokenDelay bounds it after
	// a stream broke off, which its caller may take up now. Between two writes is writeGap.
	delayPerGateway = 2 * time.Millisecond
	minWriteDelay   = 50 * time.Millisecond
	maxWriteDelay   = 600 * time.Millisecond
	brokenDelay     = 20 * time.Millisecond
	writeGap        = 400 * time.Millisecond
	// correctTimeout bounds how long a first event is held while the row names another
	// version for its stream.
	correctTimeout = time.Second
	// lookupTimeout bounds the search for the origin of a stream, whose reads are repeated
	// while they fail.
	lookupTimeout = 5 * time.Second
	// maxPending bounds the origins that wait for the platform's time.
	maxPending = 2000
	// takeUpMargin is how long after its deadline a stream may still be taken up.
	takeUpMargin = 5 * time.Second
	// reads is the number of successful reads after which a stream counts as unknown: its
	// gateway may be about to write its row at the first ones.
	reads = 3
)

// Options configures a Registry. All fields are required.
type Options struct {
	// Gateway is this gateway's name.
	Gateway string
	Tables  platformclient.TableStore
	Clock   platformclient.Clock
	// Gateways returns the number of gateways of the deployment, as far as known.
	Gateways func() int
	Log      *zap.Logger
	Now      func() time.Time
}

// pendingOrigin is an origin that was recorded before the platform's time was known.
type pendingOrigin struct {
	stream  streamorigin.Stream
	version string
	until   time.Time
	begun   bool
}

// Registry knows where streams began. It is safe for concurrent use.
type Registry struct {
	Options
	origins  *streamorigin.Log
	row      *ownrow.Row
	reader   *reader[*streamorigin.Log]
	versions *versions

	mu      sync.Mutex
	pending []pendingOrigin
	// stored is closed and replaced when the row has been read or written.
	stored chan struct{}
}

// New returns a registry that knows of no streams.
func New(opts Options) *Registry {
	r := &Registry{Options: opts, origins: streamorigin.NewLog(), stored: make(chan struct{})}
	partition := strconv.FormatUint(xxhash.Sum64String(opts.Gateway)%partitions, 10)
	r.row = ownrow.New(ownrow.Options{
		Tables: opts.Tables, Key: table + "/" + partition + "/" + opts.Gateway, Content: (*rowContent)(r),
		UrgentDelay: brokenDelay, LaterDelay: r.spread, Gap: writeGap, Subject: "streams", Log: opts.Log,
	})
	r.reader = newReader(originRows{tables: opts.Tables, log: opts.Log}.read)
	r.versions = newVersions(r)
	return r
}

// spread returns the bound of random delays before writes that all gateways make.
func (r *Registry) spread() time.Duration {
	return min(max(time.Duration(r.Gateways())*delayPerGateway, minWriteDelay), maxWriteDelay)
}

// Run writes this gateway's row, records the versions of the listed targets, and reads what
// others wrote, until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	var running conc.WaitGroup
	running.Go(func() { r.row.Run(ctx) })
	running.Go(func() { r.reader.run(ctx) })
	running.Go(func() { r.versions.run(ctx) })
	running.Go(func() { r.versions.reader.run(ctx) })
	running.Wait()
}

// SetListed replaces the versions of the listed targets, by service.
func (r *Registry) SetListed(versions map[string][]string) { r.versions.setListed(versions) }

// MayBegin reports whether streams may begin at a version of a service: only if the store
// has recorded it.
func (r *Registry) MayBegin(service, version string) bool {
	return r.versions.mayBegin(service, version)
}

// AwaitVersion waits for a short time until streams may begin at another listed version of
// the service. It reports false if there is none.
func (r *Registry) AwaitVersion(ctx context.Context, service string) bool {
	return r.versions.await(ctx, service)
}

// Covers reports whether the record of the service's versions is known to cover all streams
// of a lifetime that can still be taken up.
func (r *Registry) Covers(service string, lifetime time.Duration) bool {
	return r.versions.covers(service, lifetime+takeUpMargin)
}

// SoleVersion returns the only version of a service's targets at which a recorded stream of
// a lifetime can have begun; empty if there are several or that can't be found out. Covers
// is false if streams may have begun before the record was created.
func (r *Registry) SoleVersion(ctx context.Context, service string, lifetime time.Duration) (version string, covers bool) {
	version, covers, err := r.versions.sole(ctx, service, lifetime+takeUpMargin)
	if err != nil {
		r.Log.Info("versions: can't read which versions a service had.", zap.String("service", service), zap.Error(err))
	}
	return version, covers
}

// Expect records that a stream, which must end by a deadline, is about to be sent to a
// target of a version.
func (r *Registry) Expect(s streamorigin.Stream, version string, deadline time.Time) {
	r.record(pendingOrigin{stream: s, version: version, until: deadline.Add(takeUpMargin)})
	r.row.WakeLater()
}

// Began records that a stream, which must end by a deadline, has begun or gone on at a
// version; an empty one is unknown. If the row may name another version, it waits until
// that is corrected, and reports false if that fails: the first event must not be passed
// on then.
func (r *Registry) Began(ctx context.Context, s streamorigin.Stream, version string, deadline time.Time) bool {
	r.record(pendingOrigin{stream: s, version: version, until: deadline.Add(takeUpMargin), begun: true})
	if !r.origins.Misleads(s) {
		r.row.WakeLater()
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, correctTimeout)
	defer cancel()
	for {
		r.mu.Lock()
		stored := r.stored
		r.mu.Unlock()
		if !r.origins.Misleads(s) {
			return true
		}
		r.row.Wake()
		select {
		case <-ctx.Done():
			r.Log.Warn("streams: can't correct the stored version of a stream that another target began.", zap.String("version", version))
			return false
		case <-stored:
		}
	}
}

// BrokeOff records that a stream broke off, so that its caller may take it up elsewhere.
func (r *Registry) BrokeOff() { r.row.Wake() }

// Version returns the version that began a stream; false if that can't be found out.
func (r *Registry) Version(ctx context.Context, s streamorigin.Stream) (string, bool) {
	nowMs, timeKnown := r.platformTime()
	if timeKnown {
		version, known := r.origins.Version(s, nowMs)
		if known {
			return version, true
		}
	}
	for range reads {
		found, err := retryUntil(ctx, r, r.reader)
		if err != nil {
			r.Log.Info("streams: can't read where a stream began.", zap.Error(err))
			return "", false
		}
		// The read has shown the platform's time.
		nowMs, _ = r.platformTime()
		version, known := found.Version(s, nowMs)
		if known {
			return version, true
		}
	}
	return "", false
}

// retryUntil reads until a read succeeds, for at most lookupTimeout. A store that is slow or
// away says nothing about a stream.
func retryUntil[T any](ctx context.Context, r *Registry, rd *reader[T]) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	for {
		found, err := rd.read(ctx)
		if err == nil || ctx.Err() != nil || errors.Is(err, errTooManyLookups) {
			return found, err
		}
		r.Log.Debug("streams: a read failed; trying again.", zap.Error(err))
	}
}

// record adds an origin, now or once the platform's time is known.
func (r *Registry) record(p pendingOrigin) {
	r.mu.Lock()
	if len(r.pending) < maxPending {
		r.pending = append(r.pending, p)
	}
	r.mu.Unlock()
	r.platformTime()
}

// platformTime returns the time of the platform's clock. Once it is known, the pending
// origins are added.
func (r *Registry) platformTime() (int64, bool) {
	now := r.Now()
	nowMs, known := platformclient.TimeAt(r.Clock, now, now)
	if known {
		r.addPending(now, nowMs)
	}
	return nowMs, known
}

func (r *Registry) addPending(now time.Time, nowMs int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pending {
		o := streamorigin.Origin{Version: p.version, UntilMs: nowMs + p.until.Sub(now).Milliseconds()}
		if p.begun {
			r.origins.Add(p.stream, o)
		} else {
			r.origins.Expect(p.stream, o)
		}
	}
	r.pending = nil
}

// rowContent is the registry as the content of its row.
type rowContent Registry

// Compose implements ownrow.Content.
func (c *rowContent) Compose() ([]byte, error) {
	nowMs, known := (*Registry)(c).platformTime()
	if !known {
		return nil, nil
	}
	message := &pb.StreamOrigins{}
	for s, o := range c.origins.Publish(nowMs) {
		message.Streams = append(message.Streams, &pb.StreamOrigin{Stream: uint64(s), Version: o.Version, UntilMs: o.UntilMs})
	}
	sortStreams(message.Streams)
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

// Take implements ownrow.Content. The streams of an earlier run may still be taken up.
func (c *rowContent) Take(value []byte) {
	streams, err := decodeOrigins(value)
	if err != nil {
		c.Log.Warn("streams: this gateway's stored row is invalid.", zap.Error(err))
	}
	for s, o := range streams {
		c.origins.Stored(s, o)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.stored)
	c.stored = make(chan struct{})
}
