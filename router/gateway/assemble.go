package gateway

import (
	"time"

	"cuminrock.example/fleet/retry"
	"cuminrock.example/router/prepaid"
	"cuminrock.example/router/relay"
)

// newBudgets returns what this run holds of prepaid budgets. Earlier runs on this machine had
// ended when the listeners were opened.
func (g *Gateway) newBudgets(incarnation string, openedAt time.Time) *prepaid.Manager {
	return prepaid.NewManager(prepaid.Options{
		Tables: g.platform.Tables, Clock: g.platform.Clock, Machine: g.settings.Name + "." + g.settings.Doors.Caller,
		Holder: g.settings.Name + "." + incarnation, PreviousRunsEndedBy: openedAt,
		ByPriority: g.settings.Admission, Metrics: prepaid.NewMetrics(g.registry), Log: g.log, Now: time.Now,
	})
}

// newRelay returns the relay, whose requests draw on the budgets.
func (g *Gateway) newRelay(budgets relay.Budgets) *relay.Relay {
	return relay.New(relay.Options{
		Catalog:             g.catalog.Load,
		Targets:             g.targets,
		Budgets:             budgets,
		Retries:             retry.NewBudgets(int(g.settings.Retries.Ratio*retryRatioShare*permille), retryBurst),
		Upstream:            g.forward.client,
		Crashes:             g.crashes,
		Origins:             g.origins,
		Limits:              g.limits,
		Overloaded:          g.overloaded,
		TooLate:             g.tooLate,
		ProcessorOverloaded: g.lag.Overloaded,
		Egress:              g.egress,
		Metrics:             relay.NewMetrics(g.registry),
		Log:                 g.log,
		AnswerRoom:          g.intake.callers,
		Admission:           g.admission,
		Now:                 time.Now,
	})
}
