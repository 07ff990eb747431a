package admission

import (
	"math"
	"time"
)

const (
	// usageWindow is the time constant with which work that was started is forgotten.
	usageWindow = 5 * time.Second
	// overShareFactor is how many times the mean usage of all workspaces one may use
	// before its requests go last.
	overShareFactor = 1.5
	// negligibleShare is the share of the mean usage below which a workspace is forgotten.
	negligibleShare = 0.01
)

// usage is the work recently started for each workspace.
type usage struct {
	byWorkspace map[string]float64
	total       float64
	at          time.Time
}

func newUsage() usage { return usage{byWorkspace: make(map[string]float64)} }

// advance applies the decay up to now. It scales all entries only now and then, so that
// its cost doesn't grow with the number of requests.
func (u *usage) advance(now time.Time) {
	elapsed := now.Sub(u.at)
	if elapsed < usageWindow/50 {
		return
	}
	u.at = now
	factor := math.Exp(-elapsed.Seconds() / usageWindow.Seconds())
	negligible := negligibleShare * u.total / float64(max(len(u.byWorkspace), 1))
	u.total *= factor
	for workspace, amount := range u.byWorkspace {
		amount *= factor
		if amount < negligible {
			delete(u.byWorkspace, workspace)
			u.total -= amount
			continue
		}
		u.byWorkspace[workspace] = amount
	}
}

// add records that a request of a workspace was started.
func (u *usage) add(workspace string, cost int64, now time.Time) {
	u.advance(now)
	u.byWorkspace[workspace] += float64(cost)
	u.total += float64(cost)
}

// overShare reports whether a workspace has used more than its share.
func (u *usage) overShare(workspace string) bool {
	active := len(u.byWorkspace)
	return active > 1 && u.byWorkspace[workspace] > overShareFactor*u.total/float64(active)
}
