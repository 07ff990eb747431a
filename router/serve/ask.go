package serve

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// askWorkers is how many routers are asked at the same time.
const askWorkers = 32

// askMembers asks the other routers, own data centre first, until one says
// yes or the timeout ends, and returns that answer.
func askMembers[T any](ctx context.Context, peers Peers, timeout time.Duration, ask func(context.Context, *pb.Member) (T, bool)) (T, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan T, 1)
	workers := pool.New().WithMaxGoroutines(askWorkers)
	for _, m := range peers.Members() {
		if ctx.Err() != nil {
			break
		}
		workers.Go(func() {
			answer, yes := ask(ctx, m)
			if !yes {
				return
			}
			select {
			case answers <- answer:
			default:
			}
			cancel()
		})
	}
	workers.Wait()
	select {
	case answer := <-answers:
		return answer, true
	default:
		var none T
		return none, false
	}
}
