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
)

// Options describes a fleet.
type Options struct {
	// Binaries are the programs under test.
	Binaries Binaries
	// Seed of the stand-ins, printed with a failure.
	Seed uint64
	// Centres are the data centres; two without any named.
	Centres []string
	// RoutersPerCentre and EnginesPerCentre are 1 when left out.
	RoutersPerCentre, EnginesPerCentre int
	// Services is how many plain services run; 1 when left out.
	Services int
	// TokensPerSecond is the rate of one stream; 100 when left out.
	TokensPerSecond int
	// ServiceTime is how long a plain call takes.
	ServiceTime time.Duration
	// PrepaidTokens is the budget's first top-up; 1,000,000 when left out.
	PrepaidTokens int64
	// Settings changes the routers' settings; may be nil.
	Settings func(s *pb.RouterSettings)
}

func (o Options) withDefaults() Options {
	if len(o.Centres) == 0 {
		o.Centres = []string{"cluj-a", "cluj-b"}
	}
	orInt(&o.RoutersPerCentre, 1)
	orInt(&o.EnginesPerCentre, 1)
	orInt(&o.Services, 1)
	orInt(&o.TokensPerSecond, 100)
	if o.PrepaidTokens == 0 {
		o.PrepaidTokens = 1_000_000
	}
	return o
}

func orInt(field *int, value int) {
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

	// rows is the test's own way to the platform.
	rows *platformclient.Client
	vms  []*pb.Vm
}

// Start starts a fleet and waits until every router is ready and sees all
// others. It ends with the test.
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
	doors := make([]string, len(f.opts.Centres)+1)
	for i := range doors {
		doors[i] = "127.0.0.1:0"
	}
	p := &Platform{doors: make(map[string]string)}
	p.standIn = startStandIn(f.t, f.opts.Binaries, "platform", "platform",
		"--listen", strings.Join(doors, ","), "--seed", fmt.Sprint(f.opts.Seed))
	for i, centre := range f.opts.Centres {
		p.doors[centre] = p.ready.Addresses[i]
	}
	p.observer = p.ready.Addresses[len(f.opts.Centres)]
	f.Platform = p
	rows, err := platformclient.Dial(p.observer, WaitTimeout)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = rows.Close() })
	f.rows = rows
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
			r := newRouter(f.t, f.opts.Binaries.Router, f.settings(fmt.Sprintf("%s-%d", centre, i+1), centre))
			f.Routers = append(f.Routers, r)
			f.vms = append(f.vms, &pb.Vm{
				Name: r.Name, Instance: r.Name, DataCentre: centre, Address: r.PeerProxy.Addr(),
				Role: pb.VmRole_VM_ROLE_ENTRY, State: pb.VmState_VM_STATE_LIVE,
			})
		}
	}
}

func (f *Fleet) settings(name, centre string) *pb.RouterSettings {
	s := &pb.RouterSettings{
		Name:       name,
		DataCentre: centre,
		Region:     "ro-nord",
		Platform: &pb.Platform{
			Address:     f.Platform.doors[centre],
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

// gateways is how many routers of a data centre keep in touch with others.
const gateways = 3

// WaitConverged waits until every router is ready and sees all others. Where a
// data centre has more routers than gateways, the others of its own suffice.
func (f *Fleet) WaitConverged() {
	f.t.Helper()
	others := len(f.Routers) - 1
	if f.opts.RoutersPerCentre > gateways {
		others = f.opts.RoutersPerCentre - 1
	}
	for _, r := range f.Routers {
		Eventually(f.t, r.Name+" is ready and sees the others", func() bool {
			s, ok := r.Status()
			return ok && s.Ready && len(s.Members) >= others
		})
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

// ApplySheet applies the fleet's sheet as sheet-apply does, by the test's own
// way to the platform, and returns the newest version.
func (f *Fleet) ApplySheet() uint64 {
	f.t.Helper()
	version, err := f.applySheet(context.Background())
	if err != nil {
		f.t.Fatalf("applying the sheet: %v", err)
	}
	return version
}

func (f *Fleet) applySheet(ctx context.Context) (uint64, error) {
	wanted, err := sheet.Parse(f.Sheet.CSV())
	if err != nil {
		return 0, err
	}
	view, err := configlog.Load(ctx, f.rows)
	if err != nil {
		return 0, err
	}
	plan, err := sheet.NewPlan(view, wanted, nil)
	if err != nil {
		return 0, err
	}
	version := plan.BaseVersion
	if plan.Change != nil {
		version, err = configlog.Append(ctx, f.rows, "process test", plan.Change)
		if err != nil {
			return 0, err
		}
	}
	for _, u := range plan.TopUps {
		if _, err := ledger.TopUp(ctx, f.rows, u.ID, u.Budget, u.Tokens); err != nil {
			return 0, err
		}
	}
	return version, nil
}
