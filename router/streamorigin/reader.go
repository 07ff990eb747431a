package streamorigin

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/streamorigin"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/wait"
)

const (
	// readGap is the time between two reads of all rows.
	readGap = 250 * time.Millisecond
	// readTimeout bounds one read.
	readTimeout = 500 * time.Millisecond
	// maxWaiting bounds the lookups that wait for one read.
	maxWaiting = 1024
	// pageRows is the number of rows that are read in one call.
	pageRows = 500
)

// errTooManyLookups means that maxWaiting lookups wait already.
var errTooManyLookups = errors.New("too many lookups wait for the rows")

// result is what a read found.
type result struct {
	origins *streamorigin.Log
	err     error
}

// reader reads the rows of all gateways. All lookups that wait share one read, so that
// the number of calls doesn't grow with theirs.
type reader struct {
	tables platformclient.TableStore
	log    *zap.Logger
	// waiting has a channel for each lookup that waits for the next read.
	waiting chan chan result
}

func newReader(tables platformclient.TableStore, log *zap.Logger) *reader {
	return &reader{tables: tables, log: log, waiting: make(chan chan result, maxWaiting)}
}

// read returns what the next read finds.
func (r *reader) read(ctx context.Context) (*streamorigin.Log, error) {
	reply := make(chan result, 1)
	select {
	case r.waiting <- reply:
	default:
		return nil, errTooManyLookups
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case found := <-reply:
		return found.origins, found.err
	}
}

// run reads whenever lookups wait, until ctx ends.
func (r *reader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-r.waiting:
			replies := append([]chan result{first}, r.allWaiting()...)
			found := r.readAll(ctx)
			for _, reply := range replies {
				reply <- found
			}
		}
		wait.For(ctx, readGap)
	}
}

// allWaiting returns the channels of all lookups that wait now.
func (r *reader) allWaiting() []chan result {
	var replies []chan result
	for {
		select {
		case reply := <-r.waiting:
			replies = append(replies, reply)
		default:
			return replies
		}
	}
}

// readAll reads the rows of all partitions.
func (r *reader) readAll(ctx context.Context) result {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	origins := streamorigin.NewUnboundedLog()
	calls := pool.New().WithErrors()
	for partition := range partitions {
		calls.Go(func() error { return r.readPartition(ctx, table+"/"+strconv.Itoa(partition)+"/", origins) })
	}
	return result{origins: origins, err: calls.Wait()}
}

// readPartition adds the origins of a partition's rows.
func (r *reader) readPartition(ctx context.Context, prefix string, origins *streamorigin.Log) error {
	after := ""
	for {
		rows, more, err := r.tables.Scan(ctx, prefix, after, pageRows)
		if err != nil {
			return err
		}
		for _, row := range rows {
			err := addRow(origins, row.Value)
			if err != nil {
				r.log.Warn("streams: ignoring an invalid row.", zap.String("row", row.Key), zap.Error(err))
			}
		}
		if !more || len(rows) == 0 {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// addRow adds the origins of a row's value.
func addRow(origins *streamorigin.Log, value []byte) error {
	var message pb.StreamOrigins
	err := proto.Unmarshal(value, &message)
	if err != nil {
		return err
	}
	for _, s := range message.Streams {
		origins.Add(streamorigin.Stream(s.Stream), streamorigin.Origin{Version: s.Version, UntilMs: s.UntilMs})
	}
	return nil
}

// sortStreams sorts the streams, so that equal origins have equal rows.
func sortStreams(streams []*pb.StreamOrigin) {
	slices.SortFunc(streams, func(a, b *pb.StreamOrigin) int { return cmp.Compare(a.Stream, b.Stream) })
}
