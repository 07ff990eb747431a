package sheetcmd

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/sourcegraph/conc/iter"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/ctl/operator"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/wait"
)

const (
	// queryInterval is the time between two queries to the same router.
	queryInterval = 100 * time.Millisecond
	// queryTimeout bounds one query to a router.
	queryTimeout = time.Second
)

// routerResult is the output for one router: whether and when it had the version
// in force.
type routerResult struct {
	// Router is the router's name, or its address if the name isn't known.
	Router  string `json:"router"`
	Address string `json:"address"`
	InForce bool   `json:"in_force"`
	// Version is the last version that the router reported.
	Version uint64 `json:"version"`
	// AfterMS is the time from the acceptance of the version until the router
	// reported it, in milliseconds.
	AfterMS int64 `json:"after_ms"`
	// Error is the error of the last query if the router never reported the
	// version.
	Error string `json:"error,omitempty"`
}

// versionQuery asks a router for its name and the version that it has in force.
type versionQuery func(ctx context.Context, address string) (name string, version uint64, err error)

// waitForRouters waits until each router has the version in force or the limit has
// passed, prints a line for each and reports whether all have it.
func (c *sheetApply) waitForRouters(ctx context.Context, vms platformclient.VMLister, accepted time.Time, result *applyResult) bool {
	ctx, cancel := context.WithTimeout(ctx, c.waitLimit)
	defer cancel()
	addresses, query, err := c.routersToQuery(ctx, vms)
	if err != nil {
		fmt.Fprintln(c.env.Stderr, err)
		return false
	}
	result.Routers = iter.Map(addresses, func(address *string) routerResult {
		return waitForRouter(ctx, *address, result.Version, accepted, query)
	})
	allInForce := len(result.Routers) > 0
	for _, r := range result.Routers {
		allInForce = allInForce && r.InForce
		c.printText("%s\n", r.text(result.Version))
	}
	return allInForce
}

func (r *routerResult) text(version uint64) string {
	if r.InForce {
		return fmt.Sprintf("router %s has version %d in force after %d ms", r.Router, r.Version, r.AfterMS)
	}
	return fmt.Sprintf("router %s doesn't have version %d in force: it shows %d %s", r.Router, version, r.Version, r.Error)
}

// routersToQuery returns the operator APIs given with --routers, or else the peer
// APIs of the live routers in the VM list, and the query for them.
func (c *sheetApply) routersToQuery(ctx context.Context, vms platformclient.VMLister) ([]string, versionQuery, error) {
	if len(c.routers) > 0 {
		return c.routers, c.queryOperatorAPI, nil
	}
	list, err := vms.ListVMs(ctx)
	if err != nil {
		return nil, nil, errkind.Wrap(errkind.PlatformDown, err, "the VM list can't be read")
	}
	var addresses []string
	for _, vm := range list {
		if vm.Role == pb.VmRole_VM_ROLE_ENTRY && vm.State == pb.VmState_VM_STATE_LIVE {
			addresses = append(addresses, vm.Address)
		}
	}
	return addresses, queryPeerAPI, nil
}

func waitForRouter(ctx context.Context, address string, version uint64, accepted time.Time, query versionQuery) routerResult {
	r := routerResult{Router: address, Address: address}
	for {
		name, current, err := queryOnce(ctx, address, query)
		if err != nil {
			r.Error = err.Error()
		} else {
			r.Error = ""
			r.Version = current
			r.Router = name
		}
		if err == nil && current >= version {
			r.InForce = true
			r.AfterMS = time.Since(accepted).Milliseconds()
			return r
		}
		if !wait.For(ctx, queryInterval) {
			return r
		}
	}
}

func queryOnce(ctx context.Context, address string, query versionQuery) (string, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return query(ctx, address)
}

// queryOperatorAPI reads the name and version from the status of the operator API.
func (c *sheetApply) queryOperatorAPI(ctx context.Context, address string) (string, uint64, error) {
	token := c.token
	if token == "" {
		token = os.Getenv(tokenEnvVar)
	}
	status, err := operator.New(address, token, queryTimeout).Status(ctx)
	if err != nil {
		return "", 0, err
	}
	return status.Name, status.ConfigVersion, nil
}

// queryPeerAPI sends a heartbeat without a sender, to which a router responds with
// its own member entry.
func queryPeerAPI(ctx context.Context, address string) (string, uint64, error) {
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return "", 0, err
	}
	defer conn.Close()
	resp, err := pb.NewPeerServiceClient(conn).Heartbeat(ctx, &pb.HeartbeatRequest{})
	if err != nil {
		return "", 0, err
	}
	return resp.GetReceiver().GetName(), resp.GetReceiver().GetConfigVersion(), nil
}
