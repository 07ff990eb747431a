package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/platform/operatorconfig"
	"cuminrock.example/router/platformclient"
)

func newEvacuationTest() (*evacuationView, *observer.ObservedLogs) {
	core, logs := observer.New(zap.InfoLevel)
	g := &Gateway{log: zap.New(core), registry: prometheus.NewRegistry(), targets: placement.New("a"), onWithdrawn: func(string) {}, platform: Platform{Config: ConfigSource{
		Table: operatorconfig.Table, Key: operatorconfig.Key, EvacuationOf: operatorconfig.EvacuationOf, CheckEvacuation: operatorconfig.CheckEvacuation}}}
	g.targets.Update([]placement.Target{{ID: "t", Service: "s", DataCentre: "a"}}, time.Now())
	return newEvacuationView(g), logs
}

func evacuationRow(dataCentre string) platformclient.Entry {
	return platformclient.Entry{Key: "evacuate/" + dataCentre, Value: []byte(`{}`)}
}

// Targets whose evacuation has ended must be marked, as cold, before they get a request.
func TestWithdrawalIsToldBeforeTargetsGetRequests(t *testing.T) {
	is := is.New(t)
	v, logs := newEvacuationTest()
	var told []string
	v.gateway.onWithdrawn = func(dataCentre string) {
		told = append(told, dataCentre)
		is.True(v.gateway.targets.Evacuated(dataCentre))
	}
	v.replace([]platformclient.Entry{evacuationRow("a"), evacuationRow("b")})
	is.Equal(testutil.ToFloat64(v.count), 2.0)
	v.update([]platformclient.Entry{{Key: "evacuate/a", Deleted: true}})
	is.True(!v.gateway.targets.Evacuated("a"))
	v.replace(nil) // b was withdrawn while the store was unavailable
	is.Equal(told, []string{"a", "b"})
	is.Equal(testutil.ToFloat64(v.count), 0.0)
	is.Equal(logs.FilterMessageSnippet("withdrawn").Len(), 2)
}

func TestIgnoredRowsAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	v, logs := newEvacuationTest()
	rows := []platformclient.Entry{
		{Key: "config", Value: []byte(`{}`)}, {Key: "evacuate/"}, {Key: "other", Value: []byte(`{}`)}, {Key: "gone", Deleted: true},
		{Key: "evacuate/a", Value: []byte(`null`)}, {Key: "evacuate/b", Value: []byte(`[]`)}, {Key: "evacuate/c"}, {Key: "evacuate/d", Value: []byte(`{`)},
	}
	v.replace(rows)
	v.update(rows)
	is.Equal(logs.FilterMessageSnippet("ignoring").Len(), 6)
	for _, dataCentre := range []string{"", "a", "b", "c", "d"} {
		is.True(!v.gateway.targets.Evacuated(dataCentre))
	}
}

// The first configuration makes a restarted gateway ready, so evacuations come before it.
func TestEvacuationIsInForceBeforeTheConfiguration(t *testing.T) {
	is := is.New(t)
	evacuations, _ := newEvacuationTest()
	g := evacuations.gateway
	parsed := 0
	g.platform.Config.Parse = func([]byte) (*catalog.Catalog, error) {
		parsed++
		is.True(g.targets.Evacuated("a"))
		return nil, errors.New("seen")
	}
	v := &operatorView{gateway: g, evacuations: evacuations}
	rows := []platformclient.Entry{{Key: "config", Value: []byte(`{}`)}, evacuationRow("a")}
	v.replace(rows)
	v.update([]platformclient.Entry{{Key: "evacuate/a", Deleted: true}})
	v.update(rows)
	is.Equal(parsed, 2)
}
