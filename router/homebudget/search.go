package homebudget

import (
	"context"
	"math/rand/v2"

	"cuminrock.example/router/prepaid"
)

// searchHeld reserves tokens that homes of this or of other data centres hold. It
// returns nil if it finds none.
func (b *Budgets) searchHeld(ctx context.Context, q *tokenRequest) prepaid.Reservation {
	if ctx.Err() != nil || !b.maySearch(q.workspace.Name) {
		return nil
	}
	self := b.Homes.Self()
	for _, dataCentre := range append([]string{self.DataCentre}, b.someOtherDataCentres()...) {
		call := b.Homes.Pick(q.workspace.Name, dataCentre, []string{self.Name}, b.Now())
		if call == nil {
			continue
		}
		reservation, err := b.reserveRemotely(ctx, call, q, 0, true)
		if err == nil {
			b.Metrics.recordResult(resultElsewhere)
			return reservation
		}
	}
	b.pauseSearch(q.workspace.Name)
	return nil
}

// someOtherDataCentres returns up to maxDataCentresSearched data centres, in random
// order.
func (b *Budgets) someOtherDataCentres() []string {
	dataCentres := b.Homes.OtherDataCentres()
	rand.Shuffle(len(dataCentres), func(i, j int) { dataCentres[i], dataCentres[j] = dataCentres[j], dataCentres[i] })
	return dataCentres[:min(maxDataCentresSearched, len(dataCentres))]
}

func (b *Budgets) maySearch(workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.Now().Before(b.searchAfter[workspace])
}

func (b *Budgets) pauseSearch(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.searchAfter[workspace] = b.Now().Add(searchPause)
}
