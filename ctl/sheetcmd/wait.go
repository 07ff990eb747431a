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
	// askInterval is the time between two questions to the same router.
	askInterval = 100 * time.Millisecond
	// askTimeout is the longest wait for one answer of a router.
	askTimeout = time.Second
)

// routerResult tells when one router had the version in force.
type routerResult struct {
	// Router is the name, or the address while the name isn't known.
	Router  string `json:"router"`
	Address string `json:"address"`
	InForce bool   `json:"in_force"`
	// Version is the last one it showed.
	Version uint64 `json:"version"`
	// AfterMS is the time since the version was accepted, in milliseconds.
	AfterMS int64 `json:"after_ms"`
	// Error is the last failure, where it never answered with the version.
	Error string `json:"error,omitempty"`
}

// question asks a router for its name and the version it has in force.
type question func(ctx context.Context, address string) (name string, version uint64, err error)

// waitForRouters names each router once it has the version in force.
func (c *sheetApply) waitForRouters(ctx context.Context, vms platformclient.VMLister, accepted time.Time, result *applyResult) bool {
	ctx, cancel := context.WithTimeout(ctx, c.waitLimit)
	defer cancel()
	addresses, ask, err := c.whomToAsk(ctx, vms)
	if err != nil {
		fmt.Fprintln(c.env.Stderr, err)
		return false
	}
	result.Routers = iter.Map(addresses, func(address *string) routerResult {
		return waitForRouter(ctx, *address, result.Version, accepted, ask)
	})
	all := len(result.Routers) > 0
	for _, r := range result.Routers {
		all = all && r.InForce
		c.say("%s\n", r.text(result.Version))
	}
	return all
}

func (r *routerResult) text(version uint64) string {
	if r.InForce {
		return fmt.Sprintf("router %s has version %d in force after %d ms", r.Router, r.Version, r.AfterMS)
	}
	return fmt.Sprintf("router %s doesn't have version %d in force: it shows %d %s", r.Router, version, r.Version, r.Error)
}

// whomToAsk returns the operator doors that --routers names, else the peer
// doors of the VM list.
func (c *sheetApply) whomToAsk(ctx context.Context, vms platformclient.VMLister) ([]string, question, error) {
	if len(c.routers) > 0 {
		return c.routers, c.askOperatorDoor, nil
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
	return addresses, askPeerDoor, nil
}

func waitForRouter(ctx context.Context, address string, version uint64, accepted time.Time, ask question) routerResult {
	r := routerResult{Router: address, Address: address}
	for {
		name, shown, err := askOnce(ctx, address, ask)
		if err != nil {
			r.Error = err.Error()
		} else {
			r.Error = ""
			r.Version = shown
			r.Router = name
		}
		if err == nil && shown >= version {
			r.InForce = true
			r.AfterMS = time.Since(accepted).Milliseconds()
			return r
		}
		if !wait.For(ctx, askInterval) {
			return r
		}
	}
}

func askOnce(ctx context.Context, address string, ask question) (string, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return ask(ctx, address)
}

// askOperatorDoor asks for a router's status.
func (c *sheetApply) askOperatorDoor(ctx context.Context, address string) (string, uint64, error) {
	token := c.token
	if token == "" {
		token = os.Getenv(tokenVariable)
	}
	status, err := operator.New(address, token, askTimeout).Status(ctx)
	if err != nil {
		return "", 0, err
	}
	return status.Name, status.ConfigVersion, nil
}

// askPeerDoor sends a heartbeat without a sender, which a router answers with
// its own entry.
func askPeerDoor(ctx context.Context, address string) (string, uint64, error) {
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
