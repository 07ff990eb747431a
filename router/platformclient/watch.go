package platformclient

import (
	"context"
	"time"
)

// Cursor is a position in a table's change history.
type Cursor uint64

// Entry is one row of a watched table.
type Entry struct {
	Key   string
	Value []byte
	// Deleted entries have no value.
	Deleted bool
}

// TableWatcher follows a table that others write.
type TableWatcher interface {
	// List returns all rows of the table and the position in the history that
	// they reflect.
	List(ctx context.Context, table string) ([]Entry, Cursor, error)
	// WaitForChanges waits for changes after a position, for at most maxWait. It
	// returns them in order, with the position to
	// continue from. After any error, changes may have been missed, and the
	// caller must List again.
	WaitForChanges(ctx context.Context, table string, after Cursor, maxWait time.Duration) ([]Entry, Cursor, error)
}

// Clock estimates the platform's monotonic clock.
type Clock interface {
	// LowerBound returns the time in milliseconds that the platform's clock
	// shows at a local time, or slightly less. It returns false until a call
	// has got a response.
	LowerBound(local time.Time) (int64, bool)
	// UpperBound returns the latest time in milliseconds that the platform's
	// clock can have shown at a local time. It returns false until a call that
	// was sent after that time has got a response.
	UpperBound(local time.Time) (int64, bool)
}

// TimeAt returns the approximate time in milliseconds that the platform's clock
// showed at a local time that isn't after now. It returns false until a call has got
// a response.
func TimeAt(c Clock, at, now time.Time) (int64, bool) {
	nowMs, known := c.LowerBound(now)
	return nowMs - now.Sub(at).Milliseconds(), known
}
