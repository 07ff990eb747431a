package retry

import (
	"testing"

	"github.com/matryer/is"
)

func TestBudgetsStartEmptyAndStayWithinTheRatio(t *testing.T) {
	is := is.New(t)
	b := NewBudgets(200, 4)
	is.True(!b.ForService("s").Withdraw())
	granted := 0
	const requests = 1000
	for range requests {
		b.ForService("s").Deposit()
		if b.ForService("s").Withdraw() {
			granted++
		}
	}
	is.True(granted <= requests*200/1000)
	is.True(granted > 0)
	is.True(!b.ForService("other").Withdraw()) // each service has its own budget
}
