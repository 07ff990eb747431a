package demo

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc/iter"
	"go.uber.org/zap"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/node"
	"cuminrock.example/router/settings"
	"cuminrock.example/router/wait"
)

const (
	// readyTimeout bounds the wait for the configuration at all routers.
	readyTimeout = 20 * time.Second
	// readyPoll is the time between two looks at it.
	readyPoll = 20 * time.Millisecond
	// region of the demo's data centres.
	region = "ro-nord"
)

// routers is the fleet of the demo, all in this process.
type routers struct {
	nodes []*node.Node
	vms   []*pb.Vm
}

// startRouters starts a router in each data centre.
func startRouters(platformAddress string, log *zap.Logger) (*routers, error) {
	r := &routers{}
	for _, dataCentre := range dataCentres {
		s := r.settings(dataCentre, platformAddress)
		faults := settings.Validate(s)
		if len(faults) > 0 {
			return r, trace.Wrap(faults)
		}
		n, err := node.Start(s, log)
		if err != nil {
			return r, trace.Wrap(err)
		}
		r.nodes = append(r.nodes, n)
		r.vms = append(r.vms, &pb.Vm{
			Name:       s.Name,
			Instance:   s.VmInstance,
			DataCentre: dataCentre,
			Role:       pb.VmRole_VM_ROLE_ENTRY,
			State:      pb.VmState_VM_STATE_LIVE,
			Address:    n.PeerAddr(),
		})
	}
	return r, nil
}

// settings returns what a settings file would say, with the routers started
// before as peers.
func (r *routers) settings(dataCentre, platformAddress string) *pb.RouterSettings {
	s := &pb.RouterSettings{
		Name:       "router-" + dataCentre,
		DataCentre: dataCentre,
		Region:     region,
		Doors:      &pb.Doors{Caller: loopback, Operator: loopback, Peer: loopback},
		Platform:   &pb.Platform{Address: platformAddress},
	}
	for _, n := range r.nodes {
		s.PeerAddresses = append(s.PeerAddresses, n.PeerAddr())
	}
	settings.ApplyDefaults(s)
	return s
}

// waitInForce waits until each router is ready with the version.
func (r *routers) waitInForce(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range r.nodes {
		for {
			s := n.Status()
			if s.Ready && s.ConfigVersion >= version {
				break
			}
			if !wait.For(ctx, readyPoll) {
				return trace.LimitExceeded("router %s is not ready: %s", s.Name, s.Reason)
			}
		}
	}
	return nil
}

// callers returns the caller doors.
func (r *routers) callers() []string {
	return iter.Map(r.nodes, func(n **node.Node) string { return (*n).CallerAddr() })
}

// operators returns the operator doors.
func (r *routers) operators() []string {
	return iter.Map(r.nodes, func(n **node.Node) string { return (*n).OperatorAddr() })
}

// stop makes a planned stop of all routers at the same time.
func (r *routers) stop(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	stopped := iter.Map(r.nodes, func(n **node.Node) error { return (*n).Stop(ctx) })
	err := errors.Join(stopped...)
	if err != nil {
		return fmt.Errorf("stopping the routers: %w", err)
	}
	return nil
}
