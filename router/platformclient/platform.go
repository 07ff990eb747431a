// Package platformclient defines the platform's services as the router uses
// them (the transactional table service, the object store and the VM list) and
// a gRPC client of them.
//
// A commit has three outcomes. Committed and refused are definite. Unknown
// means that the response was lost: the write may have taken effect, or may
// still take effect later. A caller that gets ErrOutcomeUnknown must read the
// rows back, and recognize its write by a sequence number or nonce of its own,
// before it relies on either outcome.
package platformclient

import (
	"context"
	"errors"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// ErrUnavailable means that the platform didn't accept the call: a read has no
// result; a commit has not taken effect and never will.
var ErrUnavailable = errors.New("platform unavailable")

// ErrOutcomeUnknown means that a commit may or may not take effect.
var ErrOutcomeUnknown = errors.New("platform commit outcome unknown")

// TableStore is the transactional table service.
type TableStore interface {
	// Read returns those rows that exist among the keys.
	Read(ctx context.Context, keys ...string) ([]*pb.Row, error)
	// Scan returns up to limit rows whose keys have a prefix and follow the key
	// after, and whether more remain.
	Scan(ctx context.Context, prefix, after string, limit int) (rows []*pb.Row, more bool, err error)
	// Commit applies all writes if all conditions hold. The error is nil
	// whether the transaction was committed or refused; see the response.
	Commit(ctx context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error)
}

// ObjectStore is the object store.
type ObjectStore interface {
	// PutObject stores an object as a whole.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object, or false if it doesn't exist.
	GetObject(ctx context.Context, name string) ([]byte, bool, error)
}

// VMLister reads the VM list, which lags behind the actual state.
type VMLister interface {
	// ListVMs returns the live and leaving VMs.
	ListVMs(ctx context.Context) ([]*pb.Vm, error)
}

// Platform combines all three services.
type Platform interface {
	TableStore
	ObjectStore
	VMLister
}
