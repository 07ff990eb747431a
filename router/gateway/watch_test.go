package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"cuminrock.example/fleet/home"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/platformclient"
	"cuminrock.example/router/streamorigin"
	"cuminrock.example/router/targetlimit"
)

func TestRelistDelayGrowsToItsBound(t *testing.T) {
	is := is.New(t)
	for failures := range 100 {
		delay := relistDelay(failures)
		is.True(delay >= minRelistDelay/2)
		is.True(delay <= maxRelistDelay)
		is.True(failures < 4 || delay >= maxRelistDelay/2)
	}
	is.True(relistDelay(0) <= minRelistDelay)
}

// noClock is a platform clock whose time isn't known.
type noClock struct{}

func (noClock) LowerBound(time.Time) (int64, bool) { return 0, false }
func (noClock) UpperBound(time.Time) (int64, bool) { return 0, false }

// A list repeats all targets. Only those that changed are logged.
func TestListLogsOnlyChangedTargets(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zapcore.InfoLevel)
	g := &Gateway{
		targetCounts: newTargetCounts(prometheus.NewRegistry()), log: zap.New(core), targets: placement.New("z"),
		origins: streamorigin.New(streamorigin.Options{Clock: noClock{}, Now: time.Now, Log: zap.NewNop()}),
	}
	g.platform.Targets.Parse = func(id string, value []byte) (placement.Target, error) {
		return placement.Target{ID: id, Service: "s", Address: string(value)}, nil
	}
	g.limits = targetlimit.New(targetlimit.Options{Homes: home.New(home.Gateway{Name: "g"}), Now: time.Now})
	v := newTargetView(g)
	v.replace([]platformclient.Entry{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")}, {Key: "c", Value: []byte("1")}})
	is.Equal(logs.FilterMessage("targets: registered.").Len(), 3)
	v.replace([]platformclient.Entry{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}})
	is.Equal(logs.FilterMessage("targets: registered.").Len(), 4)
	is.Equal(logs.FilterMessage("targets: gone.").Len(), 1)
}
