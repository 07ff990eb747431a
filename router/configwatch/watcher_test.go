package configwatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// inForceLimit is the time within which a version must be in force at all
// reachable routers.
const inForceLimit = 3 * time.Second

func TestVersionIsInForceEverywhereWithinThreeSeconds(t *testing.T) {
	runSimulated(t, func(t *testing.T, ctx context.Context) {
		f := startFleet(t, ctx, 2, "cluj-a", "cluj-b", "dej-c")
		f.inForceWithin(inForceLimit, 1, f.routers...)
		for version := uint64(2); version < 30; version++ {
			f.accept(version)
			f.inForceWithin(inForceLimit, version, f.routers...)
			time.Sleep(time.Duration(version) * 37 * time.Millisecond)
		}
	})
}

// A data centre that can't reach the platform gets versions from routers in
// other data centres.
func TestVersionReachesDataCentreWithoutPlatform(t *testing.T) {
	runSimulated(t, func(t *testing.T, ctx context.Context) {
		f := startFleet(t, ctx, 2, "cluj-a", "cluj-b", "dej-c")
		f.inForceWithin(inForceLimit, 1, f.routers...)
		time.Sleep(5 * time.Second)
		f.setPartition(func(from, to *router) bool { return to == nil && from.self.DataCentre == "dej-c" })
		for version := uint64(2); version < 20; version++ {
			f.accept(version)
			f.inForceWithin(inForceLimit, version, f.routers...)
		}
	})
}

func TestPartitionKeepsTheVersionAndCatchesUp(t *testing.T) {
	runSimulated(t, func(t *testing.T, ctx context.Context) {
		is := is.New(t)
		f := startFleet(t, ctx, 2, "cluj-a", "cluj-b", "dej-c")
		f.inForceWithin(inForceLimit, 1, f.routers...)
		side := func(r *router) bool { return r != nil && r.self.DataCentre == "dej-c" }
		f.setPartition(func(from, to *router) bool { return side(from) != side(to) })
		f.accept(2)
		f.inForceWithin(inForceLimit, 2, f.routers[:4]...)
		time.Sleep(10 * time.Minute)
		for _, r := range f.routers[4:] {
			is.Equal(r.watcher.Current().Version(), uint64(1))
			ready, _ := r.watcher.Ready()
			is.True(ready)
		}
		f.setPartition(func(_, _ *router) bool { return false })
		f.inForceWithin(inForceLimit, 2, f.routers...)
	})
}

func TestRouterRestartedDuringOutageFetchesFromPeers(t *testing.T) {
	runSimulated(t, func(t *testing.T, ctx context.Context) {
		f := startFleet(t, ctx, 2, "cluj-a", "cluj-b", "dej-c")
		f.inForceWithin(inForceLimit, 1, f.routers...)
		f.accept(2)
		f.inForceWithin(inForceLimit, 2, f.routers...)
		f.platform.SetDown(true)
		f.routers[0].kill()
		time.Sleep(time.Second)
		fresh := f.start(ctx, "cluj-a", 1, "router-cluj-a-2:8082", "router-cluj-b-1:8082")
		f.inForceWithin(5*time.Second, 2, fresh)
	})
}

func TestRouterWithNeitherPlatformNorPeersIsNotReady(t *testing.T) {
	runSimulated(t, func(t *testing.T, ctx context.Context) {
		is := is.New(t)
		f := startFleet(t, ctx, 2, "cluj-a")
		f.inForceWithin(inForceLimit, 1, f.routers...)
		f.platform.SetDown(true)
		f.routers[0].kill()
		f.setPartition(func(_, _ *router) bool { return true })
		fresh := f.start(ctx, "cluj-a", 1, "router-cluj-a-2:8082")
		time.Sleep(time.Minute)
		ready, reason := fresh.watcher.Ready()
		is.True(!ready)
		is.Equal(reason, "neither the platform nor a peer shows a configuration")
		is.True(fresh.watcher.Current() == nil)

		f.setPartition(func(_, to *router) bool { return to == nil })
		f.inForceWithin(10*time.Second, 1, fresh)
	})
}

// A router that starts during a platform outage and reaches both a lagging peer
// and a newer one must not become ready with the lagging peer's version.
func TestFreshRouterWaitsForTheHighestReachableVersion(t *testing.T) {
	runSimulated(t, func(t *testing.T, ctx context.Context) {
		is := is.New(t)
		f := startFleet(t, ctx, 3, "cluj-a")
		f.inForceWithin(inForceLimit, 1, f.routers...)
		lagging, fresh := f.routers[0], f.routers[2]
		f.setPartition(func(from, to *router) bool { return from == lagging || to == lagging })
		f.accept(2)
		f.inForceWithin(inForceLimit, 2, f.routers[1:]...)
		f.platform.SetDown(true)
		fresh.kill()
		// Only the fresh router can call the lagging one.
		f.setPartition(func(from, to *router) bool {
			return from == lagging || to == lagging && from == f.routers[1]
		})
		f.slowRouter = f.routers[1]
		fresh = f.start(ctx, "cluj-a", 3, "router-cluj-a-1:8082", "router-cluj-a-2:8082")
		f.inForceWithin(10*time.Second, 1, fresh)
		is.Equal(fresh.watcher.Current().Version(), uint64(2))
		is.Equal(lagging.watcher.Current().Version(), uint64(1))
	})
}

// A partition in one direction removes a member only from the rosters of those
// that can't call it.
func TestOneWayPartition(t *testing.T) {
	runSimulated(t, func(t *testing.T, ctx context.Context) {
		is := is.New(t)
		f := startFleet(t, ctx, 3, "cluj-a")
		f.inForceWithin(inForceLimit, 1, f.routers...)
		time.Sleep(5 * time.Second)
		a, b, c := f.routers[0], f.routers[1], f.routers[2]
		f.setPartition(func(from, to *router) bool { return from == a && to == b })
		time.Sleep(10 * time.Second)
		is.Equal(memberNames(a), []string{c.self.Name})
		is.Equal(memberNames(b), []string{a.self.Name, c.self.Name})
		is.Equal(memberNames(c), []string{a.self.Name, b.self.Name})
		f.accept(2)
		f.inForceWithin(inForceLimit, 2, f.routers...)

		f.setPartition(func(_, _ *router) bool { return false })
		time.Sleep(10 * time.Second)
		is.Equal(len(memberNames(a)), 2)
	})
}

// A router that can't call most of the peers whose heartbeats show it a new
// version gets that version from the peer that it can call, both if all other
// routers reach the platform and if only one does.
func TestUnreachablePeerDoesNotDelayFetch(t *testing.T) {
	platformPartitions := map[string]func(f *fleet, from *router) bool{
		"one without platform":  func(f *fleet, from *router) bool { return from == f.routers[0] },
		"one with the platform": func(f *fleet, from *router) bool { return from != f.routers[1] },
	}
	for name, partitioned := range platformPartitions {
		t.Run(name, func(t *testing.T) {
			runSimulated(t, func(t *testing.T, ctx context.Context) {
				f := startFleet(t, ctx, 4, "cluj-a")
				f.inForceWithin(inForceLimit, 1, f.routers...)
				time.Sleep(5 * time.Second)
				f.setPartition(func(from, to *router) bool {
					if to == nil {
						return partitioned(f, from)
					}
					return from == f.routers[0] && (to == f.routers[1] || to == f.routers[2])
				})
				for version := uint64(2); version < 40; version++ {
					f.accept(version)
					f.inForceWithin(inForceLimit, version, f.routers...)
					time.Sleep(time.Duration(version) * 91 * time.Millisecond)
				}
			})
		})
	}
}

func memberNames(r *router) []string {
	var names []string
	for _, m := range r.members.Members() {
		names = append(names, m.Name)
	}
	return names
}

func TestDeadMemberLeavesRosterAndDrainingMemberIsNoHome(t *testing.T) {
	runSimulated(t, func(t *testing.T, ctx context.Context) {
		is := is.New(t)
		f := startFleet(t, ctx, 3, "cluj-a")
		time.Sleep(5 * time.Second)
		is.Equal(len(f.routers[0].members.Members()), 2)
		f.routers[1].kill()
		time.Sleep(5 * time.Second)
		is.Equal(memberNames(f.routers[0]), []string{f.routers[2].self.Name})

		f.routers[2].members.SetDraining()
		time.Sleep(2 * time.Second)
		for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
			home, ok := f.routers[0].members.Home(key)
			is.True(ok)
			is.Equal(home.Name, f.routers[0].self.Name)
		}
	})
}

func TestLeavingTargetIsKnownEverywhereWithinThreeSeconds(t *testing.T) {
	target := &pb.Target{Name: "model-pool-old-01", Address: "10.20.1.101:9000"}
	sources := map[string]func(f *fleet){
		"own report": func(f *fleet) { f.routers[3].members.MarkLeaving(target.Name) },
		"VM list": func(f *fleet) {
			f.platform.SetVMs([]*pb.Vm{{
				Name: "vm-77", Address: target.Address,
				Role: pb.VmRole_VM_ROLE_TARGET, State: pb.VmState_VM_STATE_LEAVING,
			}})
		},
	}
	for name, leave := range sources {
		t.Run(name, func(t *testing.T) {
			runSimulated(t, func(t *testing.T, ctx context.Context) {
				is := is.New(t)
				f := startFleet(t, ctx, 2, "cluj-a", "cluj-b", "dej-c")
				time.Sleep(5 * time.Second)
				leave(f)
				time.Sleep(3 * time.Second)
				for _, r := range f.routers {
					is.True(r.members.LeavingTargets().Contains(target))
				}
			})
		})
	}
}
