package gateway

import (
	"time"

	fleetadmission "cuminrock.example/fleet/admission"
	"cuminrock.example/router/admission"
)

// waitingMemoryDivisor is the fraction of the process's memory that the bodies of a
// service's waiting requests may take up.
const waitingMemoryDivisor = 32

// newAdmission returns the gate of requests that compete for slots, or nil if the settings
// don't ask for one. No estimates are known yet, so that it only orders what competes for
// tokens, and times the return of refused callers.
func newAdmission(g *Gateway) *admission.Gate {
	if !g.settings.Admission {
		return nil
	}
	return admission.New(admission.Options{
		ServiceApplies: func(string) bool { return true },
		Estimator:      admission.NoEstimates{},
		Limits:         fleetadmission.Options{MaxWaitingBytes: int64(g.settings.MemoryMib) << 20 / waitingMemoryDivisor},
		Metrics:        admission.NewMetrics(g.registry),
		Log:            g.log,
		Now:            time.Now,
	})
}
