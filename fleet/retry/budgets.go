package retry

import "sync"

// Budgets holds one Budget for each service. It is safe for concurrent use.
type Budgets struct {
	permille, burst int

	mu        sync.Mutex
	byService map[string]*Budget
}

// NewBudgets returns budgets that allow permille retries per 1,000 requests of
// a service and accumulate at most burst retries. They start empty, so that a
// restart doesn't grant a burst.
func NewBudgets(permille, burst int) *Budgets {
	return &Budgets{permille: permille, burst: burst, byService: make(map[string]*Budget)}
}

// ForService returns the budget of a service.
func (b *Budgets) ForService(name string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[name]
	if budget == nil {
		budget = NewBudget(b.permille, b.burst)
		budget.tokens.Store(0)
		b.byService[name] = budget
	}
	return budget
}
