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
	// readyTimeout bounds the wait until all routers have the configuration in
	// force.
	readyTimeout = 20 * time.Second
	// readyPollInterval is the time between two checks of a router's status.
	readyPollInterval = 20 * time.Millisecond
	// region is the region of the demo's data centres.
	region = "ro-nord"
)

// routers is the demo's fleet of routers, all in this process.
type routers struct {
	nodes []*node.Node
	vms   []*pb.Vm
}

// startRouters starts a router in each data centre.
func startRouters(platformAddress string, log *zap.Logger) (*routers, error) {
	fleet := &routers{}
	for _, dataCentre := range dataCentres {
		s := fleet.settings(dataCentre, platformAddress)
		faults := settings.Validate(s)
		if len(faults) > 0 {
			return fleet, trace.Wrap(faults)
		}
		n, err := node.Start(s, log)
		if err != nil {
			return fleet, trace.Wrap(err)
		}
		fleet.nodes = append(fleet.nodes, n)
		fleet.vms = append(fleet.vms, &pb.Vm{
			Name:       s.Name,
			Instance:   s.VmInstance,
			DataCentre: dataCentre,
			Role:       pb.VmRole_VM_ROLE_ENTRY,
			State:      pb.VmState_VM_STATE_LIVE,
			Address:    n.PeerAddr(),
		})
	}
	return fleet, nil
}

// settings returns the settings of a router, as a settings file would give them.
// The routers that were started before are its peers.
func (r *routers) settings(dataCentre, platformAddress string) *pb.RouterSettings {
	s := &pb.RouterSettings{
		Name:       "router-" + dataCentre,
		DataCentre: dataCentre,
		Region:     region,
		Doors:      &pb.Doors{Caller: loopbackAddress, Operator: loopbackAddress, Peer: loopbackAddress},
		Platform:   &pb.Platform{Address: platformAddress},
	}
	for _, n := range r.nodes {
		s.PeerAddresses = append(s.PeerAddresses, n.PeerAddr())
	}
	settings.ApplyDefaults(s)
	return s
}

// waitForVersion waits until each router is ready and has this version of the
// configuration, or a newer one, in force.
func (r *routers) waitForVersion(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range r.nodes {
		for {
			s := n.Status()
			if s.Ready && s.ConfigVersion >= version {
				break
			}
			if !wait.For(ctx, readyPollInterval) {
				return trace.LimitExceeded("router %s is not ready: %s", s.Name, s.Reason)
			}
		}
	}
	return nil
}

// callerAddresses returns the addresses of the caller APIs.
func (r *routers) callerAddresses() []string {
	return iter.Map(r.nodes, func(n **node.Node) string { return (*n).CallerAddr() })
}

// operatorAddresses returns the addresses of the operator APIs.
func (r *routers) operatorAddresses() []string {
	return iter.Map(r.nodes, func(n **node.Node) string { return (*n).OperatorAddr() })
}

// stop gracefully stops all routers concurrently.
func (r *routers) stop(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	errs := iter.Map(r.nodes, func(n **node.Node) error { return (*n).Stop(ctx) })
	err := errors.Join(errs...)
	if err != nil {
		return fmt.Errorf("stopping the routers: %w", err)
	}
	return nil
}
