package admission

import "time"

const (
	// minRetryAfter is the shortest time after which a refused caller is asked to come
	// back, unless it has less left.
	minRetryAfter = 100 * time.Millisecond
	// remainingDivisor bounds that time by a fraction of what the caller has left.
	remainingDivisor = 3
	// retryRanks is the number of priorities whose callers come back in separate parts
	// of the retry interval; all lower priorities share the last part.
	retryRanks = 4
)

// RetryAfter returns when a caller that is refused should come back. Wait is the expected
// time until it would be served, remaining the time that the caller has left, and random a
// number in [0, 1). The times of one refusal are spread over an interval from wait to
// twice that, in the order of the ranks: all callers of a rank come back before those of
// the next, and no two at the same time.
func RetryAfter(wait time.Duration, rank int, remaining time.Duration, random float64) time.Duration {
	limit := max(remaining, 0) / remainingDivisor
	wait = max(wait, minRetryAfter)
	last := min(2*wait, limit)
	first := min(wait, last/2)
	position := (float64(min(max(rank, 0), retryRanks-1)) + random) / retryRanks
	return first + time.Duration(position*float64(last-first))
}
