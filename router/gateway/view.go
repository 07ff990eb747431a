package gateway

import (
	"go.uber.org/zap"

	"cuminrock.example/router/crashwatch"
	"cuminrock.example/router/platformclient"
)

// operatorView follows the operator's table: the configuration, of which a version that
// isn't newer than the one in force is ignored, and the evacuated data centres.
// Evacuations are applied before a configuration, which may make the gateway ready.
type operatorView struct {
	gateway     *Gateway
	evacuations *evacuationView
}

func newOperatorView(g *Gateway) *operatorView {
	return &operatorView{gateway: g, evacuations: newEvacuationView(g)}
}

func (v *operatorView) replace(rows []platformclient.Entry) {
	v.evacuations.replace(rows)
	v.applyConfigs(rows)
}

func (v *operatorView) update(rows []platformclient.Entry) {
	v.evacuations.update(rows)
	v.applyConfigs(rows)
}

func (v *operatorView) applyConfigs(rows []platformclient.Entry) {
	for _, row := range rows {
		if row.Key == v.gateway.platform.Config.Key && !row.Deleted {
			v.gateway.applyConfig(row.Value)
		}
	}
}

// expire implements tableView.
func (v *operatorView) expire() {}

// applyConfig puts a configuration in force if it is newer.
func (g *Gateway) applyConfig(data []byte) {
	next, err := g.platform.Config.Parse(data)
	if err != nil {
		g.log.Error("config: can't parse the new configuration; keeping the current one.", zap.Error(err))
		return
	}
	current := g.catalog.Load()
	if current != nil && next.Version <= current.Version {
		return
	}
	g.catalog.Store(next)
	g.budgets.Apply(next)
	g.log.Info("config: in force.", zap.Uint64("version", next.Version),
		zap.Int("services", next.ServiceCount()), zap.Int("workspaces", next.WorkspaceCount()))
}

// reportView passes on the reports of gateways.
type reportView struct {
	crashes *crashwatch.Watcher
}

func (v *reportView) replace(rows []platformclient.Entry) { v.crashes.Replace(rows) }

func (v *reportView) update(rows []platformclient.Entry) { v.crashes.Update(rows) }

func (v *reportView) expire() { v.crashes.Tick() }
