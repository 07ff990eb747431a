package platformclient

import (
	"context"
	"time"
)

// Cursor is a place in a table's history of changes.
type Cursor uint64

// Entry is one row of a watched table.
type Entry struct {
	Key   string
	Value []byte
	// Deleted rows carry no value.
	Deleted bool
}

// TableWatcher follows a table that others write.
type TableWatcher interface {
	// List returns all rows of the table and the place in the history that
	// they stand for.
	List(ctx context.Context, table string) ([]Entry, Cursor, error)
	// WaitForChanges waits for changes after the place, up to the platform's wait
	// time, and returns them in order with the place to go on from. Any error
	// means that changes may have been missed: List again.
	WaitForChanges(ctx context.Context, table string, after Cursor) ([]Entry, Cursor, error)
}

// Clock tells the time of the platform's steady clock.
type Clock interface {
	// LowerBound returns the time, in milliseconds, that the platform's clock
	// shows at a local time, or a little less; false before any call was
	// answered.
	LowerBound(local time.Time) (int64, bool)
	// UpperBound returns the most, in milliseconds, that the platform's clock can
	// have shown at a local time; false before any call that was sent later was
	// answered.
	UpperBound(local time.Time) (int64, bool)
}
