package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
)

// For any sequence of requests and failures, the retries stay within the burst
// plus the permitted fraction of the requests.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		permille := rapid.IntRange(0, 500).Draw(t, "permille")
		burst := rapid.IntRange(0, 20).Draw(t, "burst")
		b := NewBudget(permille, burst)
		requests, retries := 0, 0
		for _, retry := range rapid.SliceOf(rapid.Bool()).Draw(t, "retries") {
			if !retry {
				b.Deposit()
				requests++
			} else if b.Withdraw() {
				retries++
			}
			if retries*1000 > burst*1000+requests*permille {
				t.Fatalf("%d retries after %d requests exceed the budget", retries, requests)
			}
		}
	})
}

// An action is sent again only after a failure that proves that it didn't run;
// otherwise it could run twice.
func TestActionIsRetriedOnlyIfNotRun(t *testing.T) {
	is := is.New(t)
	for kind := errkind.Kind(0); kind < errkind.NumKinds; kind++ {
		_, retried := DefaultPolicy().Next(NewBudget(0, 1), Failure{
			Attempts:  1,
			Call:      pb.CallKind_CALL_KIND_ACTION,
			Kind:      kind,
			Remaining: time.Hour,
		})
		if retried {
			is.Equal(kind.Properties().RunState, pb.RunState_RUN_STATE_NOT_RUN)
		}
	}
}

func TestBackoffFitsTheDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := DefaultPolicy()
		f := Failure{
			Attempts:  rapid.IntRange(1, p.MaxAttempts).Draw(t, "attempts"),
			Call:      pb.CallKind_CALL_KIND_LOOKUP,
			Kind:      errkind.TargetSilent,
			Remaining: time.Duration(rapid.IntRange(0, 500).Draw(t, "remaining ms")) * time.Millisecond,
			Random:    rapid.Uint64().Draw(t, "random"),
		}
		wait, retried := p.Next(NewBudget(0, 1), f)
		if retried && (wait+p.MinRemaining > f.Remaining || wait > p.MaxBackoff || f.Attempts == p.MaxAttempts) {
			t.Fatalf("a backoff of %v with %v remaining", wait, f.Remaining)
		}
	})
}
