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
	// readGap is the time between two reads of the same rows. It doubles with each failed
	// read, up to maxReadGap.
	readGap    = 250 * time.Millisecond
	maxReadGap = time.Second
	// readTimeout bounds one read. A store that is only slow still answers in this time.
	readTimeout = 2 * time.Second
	// maxWaiting bounds the lookups that wait for one read.
	maxWaiting = 1024
	// pageRows is the number of rows that are read in one call.
	pageRows = 500
)

// errTooManyLookups means that maxWaiting lookups wait already.
var errTooManyLookups = errors.New("too many lookups wait for the rows")

// result is what a read found.
type result[T any] struct {
	found T
	err   error
}

// reader reads rows of the store. All lookups that wait share one read, so that the number
// of calls doesn't grow with theirs.
type reader[T any] struct {
	// fetch reads the rows.
	fetch func(ctx context.Context) (T, error)
	// waiting has a channel for each lookup that waits for the next read.
	waiting chan chan result[T]
}

func newReader[T any](fetch func(ctx context.Context) (T, error)) *reader[T] {
	return &reader[T]{fetch: fetch, waiting: make(chan chan result[T], maxWaiting)}
}

// read returns what the next read finds, which begins after the call.
func (r *reader[T]) read(ctx context.Context) (T, error) {
	reply := make(chan result[T], 1)
	var none T
	select {
	case r.waiting <- reply:
	default:
		return none, errTooManyLookups
	}
	select {
	case <-ctx.Done():
		return none, ctx.Err()
	case got := <-reply:
		return got.found, got.err
	}
}

// run reads whenever lookups wait, until ctx ends.
func (r *reader[T]) run(ctx context.Context) {
	gap := readGap
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-r.waiting:
			replies := append([]chan result[T]{first}, r.allWaiting()...)
			got := r.readOnce(ctx)
			for _, reply := range replies {
				reply <- got
			}
			gap = min(2*gap, maxReadGap)
			if got.err == nil {
				gap = readGap
			}
		}
		wait.For(ctx, gap)
	}
}

func (r *reader[T]) readOnce(ctx context.Context) result[T] {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	found, err := r.fetch(ctx)
	return result[T]{found: found, err: err}
}

// allWaiting returns the channels of all lookups that wait now.
func (r *reader[T]) allWaiting() []chan result[T] {
	var replies []chan result[T]
	for {
		select {
		case reply := <-r.waiting:
			replies = append(replies, reply)
		default:
			return replies
		}
	}
}

// originRows reads the rows of all gateways.
type originRows struct {
	tables platformclient.TableStore
	log    *zap.Logger
}

// read reads the rows of all partitions.
func (r originRows) read(ctx context.Context) (*streamorigin.Log, error) {
	origins := streamorigin.NewUnboundedLog()
	calls := pool.New().WithErrors()
	for partition := range partitions {
		calls.Go(func() error { return r.readPartition(ctx, table+"/"+strconv.Itoa(partition)+"/", origins) })
	}
	return origins, calls.Wait()
}

// readPartition adds the origins of a partition's rows.
func (r originRows) readPartition(ctx context.Context, prefix string, origins *streamorigin.Log) error {
	return scan(ctx, r.tables, prefix, func(row *pb.Row) {
		streams, err := decodeOrigins(row.Value)
		if err != nil {
			r.log.Warn("streams: ignoring an invalid row.", zap.String("row", row.Key), zap.Error(err))
		}
		for s, o := range streams {
			origins.Add(s, o)
		}
	})
}

// scan passes on all rows whose keys have a prefix.
func scan(ctx context.Context, tables platformclient.TableStore, prefix string, take func(*pb.Row)) error {
	after := ""
	for {
		rows, more, err := tables.Scan(ctx, prefix, after, pageRows)
		if err != nil {
			return err
		}
		for _, row := range rows {
			take(row)
		}
		if !more || len(rows) == 0 {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

// decodeOrigins returns the origins of a row's value.
func decodeOrigins(value []byte) (map[streamorigin.Stream]streamorigin.Origin, error) {
	var message pb.StreamOrigins
	err := proto.Unmarshal(value, &message)
	if err != nil {
		return nil, err
	}
	origins := make(map[streamorigin.Stream]streamorigin.Origin, len(message.Streams))
	for _, s := range message.Streams {
		origins[streamorigin.Stream(s.Stream)] = streamorigin.Origin{Version: s.Version, UntilMs: s.UntilMs}
	}
	return origins, nil
}

// sortStreams sorts the streams, so that equal origins have equal rows.
func sortStreams(streams []*pb.StreamOrigin) {
	slices.SortFunc(streams, func(a, b *pb.StreamOrigin) int { return cmp.Compare(a.Stream, b.Stream) })
}
