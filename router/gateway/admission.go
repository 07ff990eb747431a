package gateway

import (
	"time"

	fleetadmission "cuminrock.example/fleet/admission"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/admission"
)

// waitingMemoryDivisor is the fraction of the process's memory that the bodies of a
// service's waiting requests may take up.
const waitingMemoryDivisor = 32

// newAdmission returns the gate of requests that compete for slots. It applies to all
// services if the settings say so.
func newAdmission(g *Gateway) *admission.Gate {
	return admission.New(admission.Options{
		ServiceApplies: func(string) bool { return g.settings.Admission },
		Estimator:      placementEstimates{g.targets},
		Limits:         fleetadmission.Options{MaxWaitingBytes: int64(g.settings.MemoryMib) << 20 / waitingMemoryDivisor},
		Metrics:        admission.NewMetrics(g.registry),
		Log:            g.log,
		Now:            time.Now,
	})
}

// placementEstimates are the estimates of the placement by expected work. It implements
// admission.Estimator.
type placementEstimates struct{ targets *placement.Table }

// Estimate implements admission.Estimator. An estimate that counts as known rests on
// reports that are young enough.
func (p placementEstimates) Estimate(r *placement.Request) fleetadmission.Estimate {
	e := p.targets.Estimate(r)
	return fleetadmission.Estimate{Known: e.Known, At: r.Now, SlotFree: e.SlotFree, FirstEvent: e.FirstEvent, Queued: e.Queued}
}
