package targetlimit

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/home"
	"cuminrock.example/fleet/placement"
)

var coldSeeds = flag.Int("sim.cold", 1, "seeds of each simulation of cold targets")

var coldCases = []coldCase{
	{gateways: 7, targets: 12, perTarget: 10},
	{gateways: 300, targets: 12, perTarget: 25},
	{gateways: 7, targets: 12, perTarget: 10, hot: 0.5},
}

// Events that make targets cold.
var coldEvents = []struct {
	name string
	play func(w *coldWorld)
}{
	{"targets join empty", joinEmpty},
	{"a data centre's targets return together", func(w *coldWorld) {
		w.set(func() {
			for _, t := range w.targets {
				w.unlisted[t.ID] = t.DataCentre == "z0"
			}
		})
		time.Sleep(10 * time.Second)
		for _, t := range w.targets {
			if t.DataCentre == "z0" {
				w.chill(t)
			}
		}
		w.set(func() { clear(w.unlisted) })
		time.Sleep(coldPeriod)
	}},
	{"requests are delayed", func(w *coldWorld) {
		w.set(func() { w.transit = 1400 * time.Millisecond })
		joinEmpty(w)
	}},
	{"an evacuation ends", func(w *coldWorld) {
		// Entries that were written before say that the targets are warm.
		for _, t := range w.targets {
			if t.DataCentre == "z0" {
				w.chill(t)
			}
		}
		for _, g := range w.gateways {
			g.limiter.MarkCold("z0", coldPeriod)
		}
		time.Sleep(coldPeriod)
	}},
	{"the issuers die", func(w *coldWorld) {
		t := joinOne(w)
		time.Sleep(5 * time.Second)
		ranked := issuersOf(w, t)
		w.set(func() { w.dead[ranked[0]] = true })
		time.Sleep(4 * time.Second)
		w.set(func() { w.dead[ranked[1]] = true })
		time.Sleep(4 * time.Second)
		w.set(func() { clear(w.dead) })
		time.Sleep(coldPeriod - 13*time.Second)
	}},
	{"two issuers", func(w *coldWorld) {
		t := joinOne(w)
		main := issuersOf(w, t)[0]
		w.set(func() {
			w.cut = func(from, to *coldGateway) bool { return to.Name == main && from.Name[len(from.Name)-1]%2 == 0 }
		})
		time.Sleep(coldPeriod)
	}},
	{"all gateways are cut off from each other", func(w *coldWorld) {
		w.set(func() { w.cut = func(from, to *coldGateway) bool { return from != to } })
		time.Sleep(5 * time.Second)
		joinEmpty(w)
	}},
	{"data centres are cut off from each other", func(w *coldWorld) {
		w.set(func() { w.cut = func(from, to *coldGateway) bool { return from.DataCentre != to.DataCentre } })
		time.Sleep(5 * time.Second)
		joinEmpty(w)
	}},
	{"all gateways restart", func(w *coldWorld) {
		joinOne(w)
		joinOne(w)
		time.Sleep(5 * time.Second)
		for i := range w.gateways {
			w.restart(i)
		}
		time.Sleep(5 * time.Second)
		for i := range w.gateways {
			w.restart(i)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
	}},
	{"gateways register and leave", func(w *coldWorld) {
		joinOne(w)
		joinOne(w)
		for round := range 3 {
			time.Sleep(4 * time.Second)
			var registered []home.Gateway
			for i, g := range w.gateways {
				if i%3 != round {
					registered = append(registered, g.Gateway)
				}
			}
			// Gateways learn of it within two seconds.
			for _, g := range w.gateways {
				delay := w.between(0, 2*time.Second)
				go func() {
					time.Sleep(delay)
					g.homes.Update(registered)
					g.limiter.SetGateways(registered)
				}()
			}
		}
		time.Sleep(8 * time.Second)
	}},
}

// joinOne adds a cold target.
func joinOne(w *coldWorld) *coldTarget {
	t := w.addTarget("")
	w.chill(t)
	return t
}

// joinEmpty adds three cold targets and waits until they are warm.
func joinEmpty(w *coldWorld) {
	for range 3 {
		joinOne(w)
	}
	time.Sleep(coldPeriod)
}

// issuersOf returns the names of the issuers for a target, the main issuer first.
func issuersOf(w *coldWorld, t *coldTarget) []string {
	var ranked, tried []string
	for range 3 {
		gateway := w.gateways[0].homes.Pick(t.ID, t.DataCentre, tried, time.Now())
		if gateway == nil {
			break
		}
		ranked, tried = append(ranked, gateway.Gateway().Name), append(tried, gateway.Gateway().Name)
		gateway.Release()
	}
	return append(ranked, "", "")
}

// Guards against cold targets that get more than they take, whatever happens to gateways.
func TestColdTargetsGetAtMostTheBound(t *testing.T) {
	for _, c := range coldCases {
		for _, event := range coldEvents {
			t.Run(fmt.Sprintf("%d gateways, %v hot, %s", c.gateways, c.hot, event.name), func(t *testing.T) {
				is := is.New(t)
				for seed := range *coldSeeds {
					w := playCold(t, c, noColdFault, uint64(seed), event.play)
					is.True(float64(w.excess) <= coldBound)
					is.True(w.served > 10*w.turned) // other targets take the rest
				}
			})
		}
	}
}

// Guards against targets that turn cold without a sign that all gateways see at once: they get
// their usual requests until gateways have read the next entry, and nothing but these bounds
// that. The usual load is that of the platform, 5 requests a second for each target.
func TestTargetsThatTurnColdUnderTraffic(t *testing.T) {
	for _, c := range []coldCase{{gateways: 7, targets: 12, perTarget: 5}, {gateways: 300, targets: 60, perTarget: 5}} {
		for name, play := range map[string]func(w *coldWorld, targets []*coldTarget){"turn cold again": turnCold, "restart at their addresses": restartTargets} {
			t.Run(fmt.Sprintf("%d gateways, targets %s", c.gateways, name), func(t *testing.T) {
				for seed := range *coldSeeds {
					w := playCold(t, c, noColdFault, uint64(seed), func(w *coldWorld) {
						play(w, w.targets[:6])
						time.Sleep(coldPeriod)
					})
					is.New(t).True(float64(w.excess) <= coldBound)
				}
			})
		}
	}
}

func turnCold(w *coldWorld, targets []*coldTarget) {
	for _, t := range targets {
		w.chill(t)
	}
}

// restartTargets ends the targets' processes, and starts others a second and a half later.
func restartTargets(w *coldWorld, targets []*coldTarget) {
	for _, t := range targets {
		w.endProcess(t)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, t := range targets {
		w.chill(t)
		w.set(func() { t.down = false; t.StartTimeMs++ })
	}
}

// A share with a burst for each gateway, no limit for targets that have just appeared, and no
// permits at all, are noticed under a load with which the right limit holds.
func TestFaultyLimitsOfColdTargetsAreNoticed(t *testing.T) {
	for _, c := range []coldCase{{gateways: 7, targets: 12, perTarget: 30}, {gateways: 300, targets: 12, perTarget: 50}} {
		sound := playCold(t, c, noColdFault, 1, joinEmpty)
		is.New(t).True(float64(sound.excess) <= coldBound)
		for _, fault := range []coldFault{shareEach, unknownIsWarm, noColdPermits} {
			t.Run(fmt.Sprintf("%d gateways, fault %d", c.gateways, fault), func(t *testing.T) {
				w := playCold(t, c, fault, 1, joinEmpty)
				is.New(t).True(float64(w.excess) > coldBound)
			})
		}
	}
}

// Cold targets get about what their issuers may issue, and are served without permits once
// they are warm.
func TestColdTargetsAreUsed(t *testing.T) {
	for _, c := range coldCases {
		t.Run(fmt.Sprintf("%d gateways", c.gateways), func(t *testing.T) {
			is := is.New(t)
			var sent, calls int
			w := playCold(t, c, noColdFault, 1, func(w *coldWorld) {
				joinEmpty(w)
				time.Sleep(2 * time.Second)
				w.set(func() { sent, calls = w.coldSent, w.calls })
				time.Sleep(5 * time.Second)
			})
			is.True(sent >= 3*4*int(coldPeriod.Seconds())) // of 6 a second that may be issued
			is.Equal(w.calls, calls)
			is.Equal(w.coldSent, sent)
		})
	}
}

// Services without cold targets need no permits and no calls, whatever entries and answers
// say.
func TestServiceWithoutColdTargetsNeedsNoPermits(t *testing.T) {
	is := is.New(t)
	l := New(Options{Homes: home.New(home.Gateway{Name: "g"}), Clock: localClock{}, Now: time.Now})
	target := placement.Target{ID: "t", StartTimeMs: 1, Service: "s", ColdFor: time.Minute}
	l.WriteTarget(target)
	l.Answered(target, placement.Announcement{ColdFor: time.Minute, ColdKnown: true}, nil, time.Now())
	is.True(!l.Cold(target))
	is.True(l.Acquire(t.Context(), target, time.Second).Granted)
}
