// Package streamorigin tells the gateways of a deployment at which version of their
// service's software streams began, so that a stream which its caller takes up at another
// gateway goes on at that version.
//
// Each gateway keeps the origins of its streams in a row of the platform's store, which it
// writes at most every few hundred milliseconds, whatever the number of streams. The rows
// outlive the gateways. A gateway that doesn't know a stream reads all rows, one read for
// all that wait; it doesn't guess. A stream whose gateway ended before it wrote its row
// can't be taken up.
package streamorigin

import (
	"context"
	"strconv"
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
	// writeDelay bounds the random delay before the row is written after streams began;
	// brokenDelay that after a stream broke off, which its caller may take up now. Between
	// two writes is writeGap.
	writeDelay  = 600 * time.Millisecond
	brokenDelay = 20 * time.Millisecond
	writeGap    = 250 * time.Millisecond
	// takeUpMargin is how long after its deadline a stream may still be taken up.
	takeUpMargin = 5 * time.Second
	// reads is the number of reads after which a stream counts as unknown: its gateway
	// may be about to write its row at the first ones.
	reads = 3
)

// Options configures a Registry. All fields are required.
type Options struct {
	// Gateway is this gateway's name.
	Gateway string
	Tables  platformclient.TableStore
	Clock   platformclient.Clock
	Log     *zap.Logger
	Now     func() time.Time
}

// Registry knows where streams began. It is safe for concurrent use.
type Registry struct {
	Options
	origins *streamorigin.Log
	row     *ownrow.Row
	reader  *reader
}

// New returns a registry that knows of no streams.
func New(opts Options) *Registry {
	r := &Registry{Options: opts, origins: streamorigin.NewLog()}
	partition := strconv.FormatUint(xxhash.Sum64String(opts.Gateway)%partitions, 10)
	r.row = ownrow.New(ownrow.Options{
		Tables: opts.Tables, Key: table + "/" + partition + "/" + opts.Gateway, Content: (*rowContent)(r),
		UrgentDelay: brokenDelay, LaterDelay: writeDelay, Gap: writeGap, Subject: "streams", Log: opts.Log,
	})
	r.reader = newReader(opts.Tables, opts.Log)
	return r
}

// Run writes this gateway's row and reads those of others until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	var running conc.WaitGroup
	running.Go(func() { r.row.Run(ctx) })
	running.Go(func() { r.reader.run(ctx) })
	running.Wait()
}

// Began records that a stream, which must end by a deadline, has begun or gone on at a
// version.
func (r *Registry) Began(s streamorigin.Stream, version string, deadline time.Time) {
	nowMs, known := r.platformTime()
	if !known {
		return
	}
	left := deadline.Sub(r.Now()) + takeUpMargin
	r.origins.Add(s, streamorigin.Origin{Version: version, UntilMs: nowMs + left.Milliseconds()})
	r.row.WakeLater()
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
		found, err := r.reader.read(ctx)
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

// platformTime returns the time of the platform's clock.
func (r *Registry) platformTime() (int64, bool) {
	return platformclient.TimeAt(r.Clock, r.Now(), r.Now())
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
	for s, o := range c.origins.Origins(nowMs) {
		message.Streams = append(message.Streams, &pb.StreamOrigin{Stream: uint64(s), Version: o.Version, UntilMs: o.UntilMs})
	}
	sortStreams(message.Streams)
	return proto.MarshalOptions{Deterministic: true}.Marshal(message)
}

// Take implements ownrow.Content. The streams of an earlier run may still be taken up.
func (c *rowContent) Take(value []byte) {
	err := addRow(c.origins, value)
	if err != nil {
		c.Log.Warn("streams: this gateway's stored row is invalid.", zap.Error(err))
	}
}
