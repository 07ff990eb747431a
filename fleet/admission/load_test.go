package admission

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// steady returns a constant rate of requests a second, burst one that is higher from 5 to
// 15 s. The model's targets take about 77 a second of the usual kinds.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func burst(rate, peak float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 5*time.Second && at < 15*time.Second {
			return peak
		}
		return rate
	}
}

// longAndQuick returns requests with long prompts and quick ones, and no others.
func longAndQuick() []kind {
	k := kinds()
	k[0].share, k[2].share = 0.5, 0.5
	return []kind{k[0], k[2]}
}

// underPressure lists loads that exceed what the targets take.
func underPressure() []load {
	return []load{
		{name: "burst on one data centre", kinds: kinds(), rate: burst(50, 130)},
		{name: "burst at 300 gateways", kinds: kinds(), rate: burst(50, 130), gateways: 300},
		// 6 of 15 requests are of the hot workspace, which usually sends one of ten.
		{name: "workspace at six times its load", kinds: kinds(), rate: steady(100), hot: 0.4},
		{name: "long prompts beside quick answers", kinds: longAndQuick(), rate: steady(90)},
		{name: "a quarter of the targets gone", kinds: kinds(), rate: steady(70), changeAt: 5 * time.Second, change: func(m *model) {
			for _, t := range m.targets[:modelTargets/4] {
				t.gone = true
			}
		}},
		// The urgent requests alone are 1.2 times what the targets then take.
		{name: "targets slower by four", kinds: kinds(), rate: steady(60), leastUrgent: 75, changeAt: 5 * time.Second, change: func(m *model) {
			for _, t := range m.targets {
				t.speed = 0.25
			}
		}},
		{name: "callers retry at once", kinds: kinds(), rate: burst(50, 130), impatient: true},
		{name: "mix shifts to long answers", kinds: kinds(), rate: steady(70), changeAt: 5 * time.Second, change: func(m *model) { m.load.kinds[1].output *= 3 }},
		{name: "blurred estimates", kinds: kinds(), rate: burst(50, 130), blurred: true},
		{name: "estimates ten times too long", kinds: kinds(), rate: burst(50, 130), wrong: 10},
		{name: "estimates ten times too short", kinds: kinds(), rate: burst(50, 130), wrong: 0.1},
	}
}

func (r *result) String() string {
	return fmt.Sprintf("in time %5.1f, late %5.1f, unanswered %5.1f of 100 calls; refusals a call %.2f", r.share(r.inTime), r.share(r.late), r.share(r.calls-r.answered()), float64(r.refusals)/float64(max(r.calls, 1)))
}

// total returns the results of all kinds.
func (m *model) total() *result {
	sum := &result{}
	for _, r := range m.byKind {
		sum.calls += r.calls
		sum.inTime += r.inTime
		sum.late += r.late
		sum.refusals += r.refusals
	}
	return sum
}

// Guards against overload that is left to chance: the most urgent requests, which have the
// longest prompts, were answered late most often; less urgent ones mustn't starve for it.
func TestLoadsThatExceedTheTargets(t *testing.T) {
	for _, l := range underPressure() {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s, seed %d", l.name, seed), func(t *testing.T) { checkLoad(t, l, seed) })
		}
	}
}

func checkLoad(t *testing.T, l load, seed uint64) {
	is := is.New(t)
	before, after := play(l, false, seed), play(l, true, seed)
	for _, k := range l.kinds {
		t.Logf("%-7s before: %v", k.name, before.kind(k.name))
		t.Logf("%-7s after:  %v", k.name, after.kind(k.name))
	}
	urgent := after.kind("urgent")
	is.True(urgent.share(urgent.inTime) >= before.kind("urgent").share(before.kind("urgent").inTime)+20)
	is.True(urgent.share(urgent.answered()) >= cmp.Or(l.leastUrgent, 90))
	is.True(after.total().share(after.total().inTime) > before.total().share(before.total().inTime)+10)
	for _, k := range l.kinds {
		r := after.kind(k.name)
		is.True(r.share(r.answered()) >= 35)                                // no kind starves
		is.True(urgent.share(urgent.answered()) >= r.share(r.answered())-1) // the most urgent gets no less
		is.True(urgent.share(urgent.inTime) >= r.share(r.inTime)-3)
	}
	if l.hot == 0 {
		return
	}
	for name, r := range after.byOwner {
		t.Logf("%s before: %v", name, before.byOwner[name])
		t.Logf("%s after:  %v", name, r)
		hot := after.byOwner["hot"]
		is.True(r.share(r.answered()) >= hot.share(hot.answered())-3)
		is.True(hot.share(hot.answered()) >= 80)
	}
}

// Guards against refusals or waits while the targets have free slots, whatever the
// estimates say of the time.
func TestCalmLoadIsntRefused(t *testing.T) {
	for _, l := range []load{{}, {wrong: 10}, {wrong: 0.1}, {blurred: true}} {
		is := is.New(t)
		l.kinds, l.rate = kinds(), steady(40)
		m := play(l, true, 1)
		is.Equal(m.waits, 0)
		is.Equal(m.refused, 0)
		is.Equal(m.total().inTime, m.total().calls)
	}
}

// Guards against decisions on estimates that are missing or stale: callers get what they
// get without admission.
func TestUselessEstimatesChangeNothing(t *testing.T) {
	for _, l := range []load{
		{kinds: kinds(), rate: burst(50, 130), unknown: true},
		{kinds: kinds(), rate: burst(50, 130), stale: true},
	} {
		is := is.New(t)
		before, after := play(l, false, 1), play(l, true, 1)
		is.Equal(after.refused, 0)
		is.Equal(after.waits, 0)
		t.Logf("before: %v", before.total())
		t.Logf("after:  %v", after.total())
		is.True(after.total().share(after.total().answered()) > 95)
	}
}
