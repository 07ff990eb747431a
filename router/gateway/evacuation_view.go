package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"cuminrock.example/fleet/location"
	"cuminrock.example/router/platformclient"
)

// maxLoggedRows bounds the keys of rows that are remembered as logged.
const maxLoggedRows = 1000

// evacuationView follows the operator's rows of evacuated data centres.
type evacuationView struct {
	gateway     *Gateway
	evacuations location.Evacuations
	count       prometheus.Gauge
	// since is when this gateway began to observe each evacuation in force.
	since map[string]time.Time
	// logged are the keys of the rows that were logged as ignored.
	logged map[string]struct{}
}

func newEvacuationView(g *Gateway) *evacuationView {
	count := prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "cuminrock_evacuated_data_centres", Help: "Data centres that the operator has evacuated."})
	g.registry.MustRegister(count)
	return &evacuationView{gateway: g, count: count, since: make(map[string]time.Time), logged: make(map[string]struct{})}
}

func (v *evacuationView) replace(rows []platformclient.Entry) {
	v.apply(v.evacuations.Replace(v.parse(rows)), len(rows))
}

func (v *evacuationView) update(rows []platformclient.Entry) {
	v.apply(v.evacuations.Update(v.parse(rows)), len(rows))
}

// parse returns the rows of evacuations. Others are logged once, but for the
// configuration's.
func (v *evacuationView) parse(rows []platformclient.Entry) []location.Row {
	var parsed []location.Row
	config := v.gateway.platform.Config
	for _, row := range rows {
		if row.Key == config.Key {
			continue
		}
		dataCentre, ok := config.EvacuationOf(row.Key)
		if !ok {
			v.logIgnored(row, nil)
			continue
		}
		r := location.Row{DataCentre: dataCentre, Deleted: row.Deleted}
		if !row.Deleted {
			err := config.CheckEvacuation(row.Value)
			if err != nil {
				v.logIgnored(row, err)
				r.Unreadable = true
			}
		}
		parsed = append(parsed, r)
	}
	return parsed
}

// logIgnored logs a row that is ignored, once for each key.
func (v *evacuationView) logIgnored(row platformclient.Entry, err error) {
	_, logged := v.logged[row.Key]
	if logged || row.Deleted || len(v.logged) == maxLoggedRows {
		return
	}
	v.logged[row.Key] = struct{}{}
	v.gateway.log.Warn("evacuation: ignoring a row of the operator's table.", zap.String("key", row.Key), zap.Error(err))
}

// apply puts a change in force. The hook for a withdrawal is called first, so that what
// it limits holds for the first request.
func (v *evacuationView) apply(c location.Change, rows int) {
	if c.None() {
		return
	}
	now := time.Now()
	for _, dataCentre := range c.Withdrawn {
		v.gateway.onWithdrawn(dataCentre)
	}
	v.gateway.targets.SetEvacuated(c.InForce, now)
	v.count.Set(float64(len(c.InForce)))
	for _, dataCentre := range c.Began {
		v.since[dataCentre] = now
		v.gateway.log.Info("evacuation: a data centre is evacuated; its targets get no new requests.", zap.String("data_centre", dataCentre),
			zap.Int("targets", v.targetsIn(dataCentre)), zap.Strings("evacuated", c.InForce.Names()), zap.Int("rows", rows))
	}
	for _, dataCentre := range c.Withdrawn {
		v.gateway.log.Info("evacuation: withdrawn; the data centre's targets get new requests again.", zap.String("data_centre", dataCentre),
			zap.Int("targets", v.targetsIn(dataCentre)), zap.Strings("evacuated", c.InForce.Names()), zap.Int("rows", rows),
			zap.Duration("was_in_force", now.Sub(v.since[dataCentre])))
		delete(v.since, dataCentre)
	}
}

// targetsIn returns the number of known targets in a data centre.
func (v *evacuationView) targetsIn(dataCentre string) int {
	n := 0
	for _, target := range v.gateway.targets.Targets() {
		if target.DataCentre == dataCentre {
			n++
		}
	}
	return n
}
