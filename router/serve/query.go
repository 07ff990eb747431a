package serve

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// maxConcurrentQueries is how many routers are queried at the same time.
const maxConcurrentQueries = 32

// queryPeers queries the other routers, those of the own data centre first,
// until query reports true for one or the timeout ends. It returns that result.
func queryPeers[T any](ctx context.Context, peers Peers, timeout time.Duration, query func(context.Context, *pb.Member) (T, bool)) (T, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan T, 1)
	workers := pool.New().WithMaxGoroutines(maxConcurrentQueries)
	for _, m := range peers.Members() {
		if ctx.Err() != nil {
			break
		}
		workers.Go(func() {
			result, ok := query(ctx, m)
			if !ok {
				return
			}
			select {
			case results <- result:
			default:
			}
			cancel()
		})
	}
	workers.Wait()
	select {
	case result := <-results:
		return result, true
	default:
		var zero T
		return zero, false
	}
}
