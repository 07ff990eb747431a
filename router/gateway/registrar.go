package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/home"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/wait"
)

const (
	// maxRegisterDelay bounds the random delay before the row is written, since
	// all gateways of a deployment start together and write to one partition.
	maxRegisterDelay = 2 * time.Second
	// registerTimeout bounds the write of the row.
	registerTimeout = time.Second
)

// registrar keeps the row with which a gateway registers itself. It writes the row
// when it is found missing or outdated.
type registrar struct {
	tables platformclient.TableStore
	self   home.Gateway
	log    *zap.Logger
	wakeup chan struct{}

	mu sync.Mutex
	// stopped is set once the row is to be deleted.
	stopped bool
}

func newRegistrar(tables platformclient.TableStore, self home.Gateway, log *zap.Logger) *registrar {
	return &registrar{tables: tables, self: self, log: log, wakeup: make(chan struct{}, 1)}
}

// wake makes run write the row. It never blocks.
func (r *registrar) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// run writes the row whenever it is woken, until ctx ends.
func (r *registrar) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wakeup:
		}
		for wait.For(ctx, rand.N(maxRegisterDelay)) {
			err := r.register(ctx)
			if err == nil {
				break
			}
			r.log.Warn("gateways: can't register this gateway.", zap.Error(err))
		}
	}
}

func (r *registrar) register(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return nil
	}
	value, err := proto.Marshal(&pb.GatewayEntry{DataCentre: r.self.DataCentre, PeerAddress: r.self.PeerAddress})
	if err != nil {
		return err
	}
	return r.write(ctx, &pb.Write{Key: r.rowKey(), Value: value})
}

// deregister deletes the row, once, so that others stop asking this gateway.
func (r *registrar) deregister(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	err := r.write(ctx, &pb.Write{Key: r.rowKey(), Delete: true})
	if err != nil {
		r.log.Warn("gateways: can't deregister this gateway.", zap.Error(err))
	}
}

func (r *registrar) rowKey() string { return gatewaysTable + "//" + r.self.Name }

func (r *registrar) write(ctx context.Context, w *pb.Write) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := r.tables.Commit(ctx, &pb.CommitRequest{Writes: []*pb.Write{w}})
	return err
}
