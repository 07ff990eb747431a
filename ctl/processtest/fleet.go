package processtest

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/sheet"
	"cuminrock.example/router/configlog"
	"cuminrock.example/router/ledger"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/standin/target"
)

// Options configures a fleet.
type Options struct {
	// Binaries are the programs under test.
	Binaries Binaries
	// Seed is the seed of the stand-ins; it is logged, for repeating a failure.
	Seed uint64
	// Centres are the names of the data centres; two by default.
	Centres []string
	// RoutersPerCentre and EnginesPerCentre default to 1.
	RoutersPerCentre, EnginesPerCentre int
	// Services is the number of plain services; 1 by default.
	Services int
	// TokensPerSecond is the token rate of one stream; 100 by default.
	TokensPerSecond int
	// ServiceTime is the duration of a call to a plain service.
	ServiceTime time.Duration
	// PrepaidTokens is the first top-up of the budget; 1,000,000 by default.
	PrepaidTokens int64
	// Settings modifies the settings of each router; may be nil.
	Settings func(s *pb.RouterSettings)
}

func (o Options) withDefaults() Options {
	if len(o.Centres) == 0 {
		o.Centres = []string{"cluj-a", "cluj-b"}
	}
	setDefault(&o.RoutersPerCentre, 1)
	setDefault(&o.EnginesPerCentre, 1)
	setDefault(&o.Services, 1)
	setDefault(&o.TokensPerSecond, 100)
	if o.PrepaidTokens == 0 {
		o.PrepaidTokens = 1_000_000
	}
	return o
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

// Fleet is a running deployment.
type Fleet struct {
	t    testing.TB
	opts Options

	Platform *Platform
	Engines  []*Target
	Services []*Target
	Routers  []*Router
	Sheet    Sheet

	// client reads and writes the platform's rows for the test.
	client *platformclient.Client
	vms    []*pb.Vm
}

// Start starts a fleet and waits until every router is ready and lists all
// others as members. The fleet is stopped at the end of the test.
func Start(t testing.TB, opts Options) *Fleet {
	t.Helper()
	t.Logf("seed %d", opts.Seed)
	f := &Fleet{t: t, opts: opts.withDefaults()}
	f.startPlatform()
	f.startTargets()
	f.prepareRouters()
	f.Platform.SetVMs(f.vms)
	f.Sheet.TopUps = []TopUp{{ID: "first", Tokens: f.opts.PrepaidTokens}}
	f.ApplySheet()
	for _, r := range f.Routers {
		r.Start(t)
	}
	f.WaitConverged()
	return f
}

func (f *Fleet) startPlatform() {
	listen := make([]string, len(f.opts.Centres)+1)
	for i := range listen {
		listen[i] = "127.0.0.1:0"
	}
	p := &Platform{endpoints: make(map[string]string)}
	p.standIn = startStandIn(f.t, f.opts.Binaries, "platform", "platform",
		"--listen", strings.Join(listen, ","), "--seed", fmt.Sprint(f.opts.Seed))
	for i, centre := range f.opts.Centres {
		p.endpoints[centre] = p.ready.Addresses[i]
	}
	p.observerAddress = p.ready.Addresses[len(f.opts.Centres)]
	f.Platform = p
	client, err := platformclient.Dial(p.observerAddress, WaitTimeout)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = client.Close() })
	f.client = client
}

func (f *Fleet) startTargets() {
	seed := fmt.Sprint(f.opts.Seed)
	for _, centre := range f.opts.Centres {
		for i := range f.opts.EnginesPerCentre {
			g := &Target{Name: fmt.Sprintf("engine-%s-%d", centre, i+1), Service: ModelService, Provider: OldProvider, Centre: centre}
			g.standIn = startStandIn(f.t, f.opts.Binaries, g.Name, "engine", "--seed", seed, "--rate", fmt.Sprint(f.opts.TokensPerSecond))
			f.Engines = append(f.Engines, g)
		}
	}
	for i := range f.opts.Services {
		g := &Target{Name: fmt.Sprintf("service-%d", i+1), Service: PlainService, Provider: OldProvider, Centre: f.opts.Centres[0]}
		g.standIn = startStandIn(f.t, f.opts.Binaries, g.Name, "service", "--seed", seed, "--service-time", f.opts.ServiceTime.String())
		f.Services = append(f.Services, g)
	}
	f.Sheet.Targets = append(append(f.Sheet.Targets, f.Engines...), f.Services...)
	for _, g := range f.Sheet.Targets {
		f.vms = append(f.vms, &pb.Vm{
			Name: g.Name, Instance: g.Name, DataCentre: g.Centre, Address: g.ready.Address,
			Role: pb.VmRole_VM_ROLE_TARGET, State: pb.VmState_VM_STATE_LIVE,
		})
	}
}

func (f *Fleet) prepareRouters() {
	for _, centre := range f.opts.Centres {
		for i := range f.opts.RoutersPerCentre {
			r := newRouter(f.t, f.opts.Binaries.Router, f.routerSettings(fmt.Sprintf("%s-%d", centre, i+1), centre))
			f.Routers = append(f.Routers, r)
			f.vms = append(f.vms, &pb.Vm{
				Name: r.Name, Instance: r.Name, DataCentre: centre, Address: r.PeerProxy.Addr(),
				Role: pb.VmRole_VM_ROLE_ENTRY, State: pb.VmState_VM_STATE_LIVE,
			})
		}
	}
}

func (f *Fleet) routerSettings(name, centre string) *pb.RouterSettings {
	s := &pb.RouterSettings{
		Name:       name,
		DataCentre: centre,
		Region:     "ro-nord",
		Platform: &pb.Platform{
			Address:     f.Platform.endpoints[centre],
			CallTimeout: durationpb.New(500 * time.Millisecond),
		},
		Budget:       &pb.BudgetPolicy{SettleInterval: durationpb.New(200 * time.Millisecond)},
		CallerLimits: &pb.CallerLimits{ParkGrace: durationpb.New(2 * time.Second)},
		Routing:      &pb.RoutingPolicy{},
	}
	if f.opts.Settings != nil {
		f.opts.Settings(s)
	}
	return s
}

// borderRoutersPerCentre is the number of routers of a data centre that
// exchange heartbeats with other data centres.
const borderRoutersPerCentre = 3

// WaitConverged waits until every router is ready and lists all others as
// members. In a data centre with more than borderRoutersPerCentre routers,
// the members of the own data centre suffice.
func (f *Fleet) WaitConverged() {
	f.t.Helper()
	others := len(f.Routers) - 1
	if f.opts.RoutersPerCentre > borderRoutersPerCentre {
		others = f.opts.RoutersPerCentre - 1
	}
	for _, r := range f.Routers {
		Eventually(f.t, r.Name+" is ready and lists the other routers as members", func() bool {
			s, ok := r.Status()
			return ok && s.Ready && len(s.Members) >= others
		})
	}
}

// SetEngineFaults replaces the faults injected at every engine.
func (f *Fleet) SetEngineFaults(faults target.Faults) {
	f.t.Helper()
	for _, g := range f.Engines {
		g.SetFaults(faults)
	}
}

// SetVMState changes the state of one VM in the VM list.
func (f *Fleet) SetVMState(name string, state pb.VmState) {
	f.t.Helper()
	for _, vm := range f.vms {
		if vm.Name == name {
			vm.State = state
		}
	}
	f.Platform.SetVMs(f.vms)
}

// ApplySheet applies the fleet's sheet as the sheet-apply command does, through
// the test's own platform client, and returns the latest configuration version.
func (f *Fleet) ApplySheet() uint64 {
	f.t.Helper()
	version, err := f.applySheet(context.Background())
	if err != nil {
		f.t.Fatalf("apply sheet: %v", err)
	}
	return version
}

func (f *Fleet) applySheet(ctx context.Context) (uint64, error) {
	parsed, err := sheet.Parse(f.Sheet.CSV())
	if err != nil {
		return 0, err
	}
	view, err := configlog.Load(ctx, f.client)
	if err != nil {
		return 0, err
	}
	plan, err := sheet.NewPlan(view, parsed, nil)
	if err != nil {
		return 0, err
	}
	version := plan.BaseVersion
	if plan.Change != nil {
		version, err = configlog.Append(ctx, f.client, "process test", plan.Change)
		if err != nil {
			return 0, err
		}
	}
	for _, u := range plan.TopUps {
		if _, err := ledger.TopUp(ctx, f.client, u.ID, u.Budget, u.Tokens); err != nil {
			return 0, err
		}
	}
	return version, nil
}
