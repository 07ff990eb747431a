// Package platformclient is the router's view of the platform: the transactional
// table service, the object store and the VM list.
//
// A commit has three outcomes. Committed and refused are known. Unknown means
// that the answer was lost: the write may have taken effect, or may take
// effect later. A caller that gets ErrUnknown reads back by a sequence number
// or nonce of its own before it relies on either outcome.
package platformclient

import (
	"context"
	"errors"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// ErrUnavailable means that the platform didn't take the call: a read has no
// answer, a commit has not taken effect and never will.
var ErrUnavailable = errors.New("platform unavailable")

// ErrOutcomeUnknown means that the outcome of a commit isn't known.
var ErrOutcomeUnknown = errors.New("platform commit outcome unknown")

// TableStore is the transactional table service.
type TableStore interface {
	// Read returns the rows that exist among the keys.
	Read(ctx context.Context, keys ...string) ([]*pb.Row, error)
	// Scan returns rows of a prefix after a key, and whether more remain.
	Scan(ctx context.Context, prefix, after string, limit int) (rows []*pb.Row, more bool, err error)
	// Commit applies all writes if all conditions hold. The error is nil both
	// for committed and for refused; see the response.
	Commit(ctx context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error)
}

// ObjectStore is the object store.
type ObjectStore interface {
	// PutObject stores an object whole.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object, and false where there is none.
	GetObject(ctx context.Context, name string) ([]byte, bool, error)
}

// VMLister is the VM list. It lags.
type VMLister interface {
	// ListVMs returns the live and leaving VMs.
	ListVMs(ctx context.Context) ([]*pb.Vm, error)
}

// Platform is all three services.
type Platform interface {
	TableStore
	ObjectStore
	VMLister
}
