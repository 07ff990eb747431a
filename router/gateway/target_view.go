package gateway

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/platformclient"
)

// lapsedGracePeriod is how long targets are still used after most entries of their
// service vanished at once: entries expire while the store is unavailable, and are
// written again soon after.
const lapsedGracePeriod = 1500 * time.Millisecond

// targetView tracks the targets that are registered in the store.
type targetView struct {
	gateway *Gateway
	current map[string]placement.Target
	// lapsed holds targets whose entries vanished together; they are used until
	// lapsedUntil.
	lapsed      map[string]placement.Target
	lapsedUntil time.Time
}

func newTargetView(g *Gateway) *targetView {
	return &targetView{gateway: g, current: make(map[string]placement.Target)}
}

// replace takes all rows. Targets of a service that lost most of its entries
// since the last list are kept for lapsedGracePeriod.
func (v *targetView) replace(rows []platformclient.Entry) {
	before := v.current
	v.current = make(map[string]placement.Target, len(rows))
	for _, row := range rows {
		v.applyRow(row, before)
	}
	v.gateway.limits.ReplaceTargets(slices.Collect(maps.Values(v.current)))
	v.logGone(before)
	v.lapsed = findLapsed(before, v.current)
	v.lapsedUntil = time.Now().Add(lapsedGracePeriod)
	if len(v.lapsed) > 0 {
		v.gateway.log.Warn("targets: most entries of a service vanished at once; keeping its targets for a grace period.", zap.Int("targets", len(v.lapsed)))
	}
	v.updateTable()
}

func (v *targetView) update(rows []platformclient.Entry) {
	for _, row := range rows {
		delete(v.lapsed, row.Key)
		v.applyRow(row, v.current)
		if target, listed := v.current[row.Key]; listed {
			v.gateway.limits.WriteTarget(target)
		} else {
			v.gateway.limits.DeleteTarget(row.Key)
		}
	}
	v.updateTable()
}

// expire drops the lapsed targets when their grace period has ended.
func (v *targetView) expire() {
	if len(v.lapsed) > 0 && time.Now().After(v.lapsedUntil) {
		v.lapsed = nil
		v.updateTable()
	}
}

// updateTable passes the targets to the placement table.
func (v *targetView) updateTable() {
	targets := slices.Collect(maps.Values(v.current))
	targets = slices.AppendSeq(targets, maps.Values(v.lapsed))
	// A target that can be picked must be among the listed versions, which are recorded.
	v.gateway.origins.SetListed(listedVersions(targets))
	v.gateway.targets.Update(targets, time.Now())
	v.gateway.targetCounts.set(targets)
	v.gateway.hasTarget.Store(len(targets) > 0)
}

// listedVersions returns the versions of the targets by service.
func listedVersions(targets []placement.Target) map[string][]string {
	versions := make(map[string][]string)
	for _, target := range targets {
		if !slices.Contains(versions[target.Service], target.Version) {
			versions[target.Service] = append(versions[target.Service], target.Version)
		}
	}
	return versions
}

// findLapsed returns the targets that are missing now, for the services that kept
// fewer than half of their targets.
func findLapsed(before, now map[string]placement.Target) map[string]placement.Target {
	countBefore, countNow := make(map[string]int), make(map[string]int)
	for id, target := range before {
		countBefore[target.Service]++
		if _, still := now[id]; still {
			countNow[target.Service]++
		}
	}
	missing := make(map[string]placement.Target)
	for id, target := range before {
		_, still := now[id]
		if !still && !target.Leaving && 2*countNow[target.Service] < countBefore[target.Service] {
			missing[id] = target
		}
	}
	return missing
}

// applyRow applies one row. A row that can't be parsed is treated as no target.
// before holds the targets before the change, which decide what is logged.
func (v *targetView) applyRow(row platformclient.Entry, before map[string]placement.Target) {
	old, had := before[row.Key]
	delete(v.current, row.Key)
	if row.Deleted {
		if had {
			v.gateway.log.Info("targets: gone.", zap.String("target", row.Key))
		}
		return
	}
	target, err := v.gateway.platform.Targets.Parse(row.Key, row.Value)
	if err != nil {
		v.gateway.log.Warn("targets: ignoring an invalid entry.", zap.String("entry", row.Key), zap.Error(err))
		return
	}
	v.current[row.Key] = target
	old.ColdFor = target.ColdFor // counts down with each entry
	if !had || old != target {
		v.gateway.log.Info("targets: registered.", zap.String("target", target.ID), zap.String("service", target.Service),
			zap.String("address", target.Address), zap.String("version", target.Version), zap.Bool("leaving", target.Leaving))
	}
}

// logGone logs the targets that a list no longer has.
func (v *targetView) logGone(before map[string]placement.Target) {
	for id := range before {
		if _, still := v.current[id]; !still {
			v.gateway.log.Info("targets: gone.", zap.String("target", id))
		}
	}
}
