package gateway

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/platform"
)

// catalogView installs configurations. A version that isn't newer than the one
// in force is passed over, however it came.
type catalogView struct {
	gateway *Gateway
}

func (v *catalogView) replace(rows []platform.Entry) { v.change(rows) }

func (v *catalogView) change(rows []platform.Entry) {
	for _, row := range rows {
		if row.Key == v.gateway.platform.Config.Key && !row.Deleted {
			v.gateway.configure(row.Value)
		}
	}
}

// idle implements view.
func (v *catalogView) idle() {}

// configure puts a configuration in force where it is newer.
func (g *Gateway) configure(data []byte) {
	next, err := g.platform.Config.Parse(data)
	if err != nil {
		g.log.Error("config: can't read a configuration; the one in force stays.", zap.Error(err))
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

// lapseGrace is how long targets whose entries all vanished at once are still
// used: entries lapse while the store is away, and come back soon after.
const lapseGrace = 1500 * time.Millisecond

// targetView keeps the targets that registered themselves.
type targetView struct {
	gateway *Gateway
	known   map[string]placement.Target
	// lapsed are targets whose entries vanished; they are used until
	// lapsedUntil.
	lapsed      map[string]placement.Target
	lapsedUntil time.Time
}

func newTargetView(g *Gateway) *targetView {
	return &targetView{gateway: g, known: make(map[string]placement.Target)}
}

// replace takes all rows. Targets of a service that lost most of its entries
// since the last list are kept for a while.
func (v *targetView) replace(rows []platform.Entry) {
	before := v.known
	v.known = make(map[string]placement.Target, len(rows))
	for _, row := range rows {
		v.take(row)
	}
	v.lapsed = lapsed(before, v.known)
	v.lapsedUntil = time.Now().Add(lapseGrace)
	if len(v.lapsed) > 0 {
		v.gateway.log.Warn("targets: most entries of a service vanished at once; using it on for a while.", zap.Int("targets", len(v.lapsed)))
	}
	v.install()
}

func (v *targetView) change(rows []platform.Entry) {
	for _, row := range rows {
		delete(v.lapsed, row.Key)
		v.take(row)
	}
	v.install()
}

// idle drops the lapsed targets when their time is over.
func (v *targetView) idle() {
	if len(v.lapsed) > 0 && time.Now().After(v.lapsedUntil) {
		v.lapsed = nil
		v.install()
	}
}

// install gives the targets to the table.
func (v *targetView) install() {
	targets := slices.Collect(maps.Values(v.known))
	targets = slices.AppendSeq(targets, maps.Values(v.lapsed))
	v.gateway.targets.Update(targets, time.Now())
	v.gateway.hasTarget.Store(len(targets) > 0)
}

// lapsed returns the targets that are missing now, of the services that kept
// fewer than half of theirs.
func lapsed(before, now map[string]placement.Target) map[string]placement.Target {
	had, has := make(map[string]int), make(map[string]int)
	for id, target := range before {
		had[target.Service]++
		if _, still := now[id]; still {
			has[target.Service]++
		}
	}
	missing := make(map[string]placement.Target)
	for id, target := range before {
		_, still := now[id]
		if !still && !target.Leaving && 2*has[target.Service] < had[target.Service] {
			missing[id] = target
		}
	}
	return missing
}

// take takes one row. One that can't be read names no target.
func (v *targetView) take(row platform.Entry) {
	old, had := v.known[row.Key]
	delete(v.known, row.Key)
	if row.Deleted {
		if had {
			v.gateway.log.Info("targets: gone.", zap.String("target", row.Key))
		}
		return
	}
	target, err := v.gateway.platform.Targets.Parse(row.Key, row.Value)
	if err != nil {
		v.gateway.log.Warn("targets: an entry names no target.", zap.String("entry", row.Key), zap.Error(err))
		return
	}
	v.known[row.Key] = target
	if !had || old.Leaving != target.Leaving || old.StartTimeMs != target.StartTimeMs {
		v.gateway.log.Info("targets: registered.", zap.String("target", target.ID), zap.String("service", target.Service),
			zap.String("address", target.Address), zap.Bool("leaving", target.Leaving))
	}
}
