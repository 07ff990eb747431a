// Package platformfake is an in-memory platform for tests of packages that use
// platformclient.Platform. It can lose or delay commits and simulate an outage.
package platformfake

import (
	"context"
	"slices"
	"strings"
	"sync"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/router/platformclient"
)

// CommitFault is the fault injected into one commit.
type CommitFault int

const (
	// NoFault commits normally.
	NoFault CommitFault = iota
	// ResponseLost applies the commit, but its response is lost.
	ResponseLost
	// RequestLost loses the commit, which has no effect and no response.
	RequestLost
	// Delayed gives no response; the commit is applied by DeliverDelayed.
	Delayed
)

// Fake implements platformclient.Platform. The zero value is empty and
// available. It is safe for concurrent use.
type Fake struct {
	mu           sync.Mutex
	rows         map[string]*pb.Row
	objects      map[string][]byte
	vms          []*pb.Vm
	version      uint64
	down         bool
	commitFaults []CommitFault
	delayed      []*pb.CommitRequest
	calls        int
}

var _ platformclient.Platform = (*Fake)(nil)

// SetDown makes all calls fail with platformclient.ErrUnavailable, or work
// again.
func (f *Fake) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetCommitFaults sets the faults of the next commits, in order.
func (f *Fake) SetCommitFaults(faults ...CommitFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commitFaults = faults
}

// SetVMs sets the VM list.
func (f *Fake) SetVMs(vms []*pb.Vm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = vms
}

// DeliverDelayed applies the delayed commits whose conditions hold.
func (f *Fake) DeliverDelayed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, txn := range f.delayed {
		f.apply(txn)
	}
	f.delayed = nil
}

// CallCount returns the number of calls so far.
func (f *Fake) CallCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// beginCall counts a call and returns an error during an outage. The caller
// holds f.mu.
func (f *Fake) beginCall() error {
	f.calls++
	if f.down {
		return platformclient.ErrUnavailable
	}
	return nil
}

// Read implements platformclient.TableStore.
func (f *Fake) Read(_ context.Context, keys ...string) ([]*pb.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginCall(); err != nil {
		return nil, err
	}
	var rows []*pb.Row
	for _, key := range keys {
		if row := f.rows[key]; row != nil {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Scan implements platformclient.TableStore.
func (f *Fake) Scan(_ context.Context, prefix, after string, limit int) ([]*pb.Row, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginCall(); err != nil {
		return nil, false, err
	}
	var rows []*pb.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b *pb.Row) int { return strings.Compare(a.Key, b.Key) })
	if limit > 0 && len(rows) > limit {
		return rows[:limit], true, nil
	}
	return rows, false, nil
}

// Commit implements platformclient.TableStore.
func (f *Fake) Commit(_ context.Context, txn *pb.CommitRequest) (*pb.CommitResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginCall(); err != nil {
		return nil, err
	}
	fault := NoFault
	if len(f.commitFaults) > 0 {
		fault = f.commitFaults[0]
		f.commitFaults = f.commitFaults[1:]
	}
	switch fault {
	case RequestLost:
		return nil, platformclient.ErrOutcomeUnknown
	case Delayed:
		f.delayed = append(f.delayed, txn)
		return nil, platformclient.ErrOutcomeUnknown
	case ResponseLost:
		f.apply(txn)
		return nil, platformclient.ErrOutcomeUnknown
	}
	return f.apply(txn), nil
}

func (f *Fake) apply(txn *pb.CommitRequest) *pb.CommitResponse {
	resp := &pb.CommitResponse{Committed: true}
	for _, c := range txn.Conditions {
		row := f.rows[c.Key]
		if row.GetVersion() == c.Version {
			continue
		}
		resp.Committed = false
		if row != nil {
			resp.Conflicts = append(resp.Conflicts, row)
		}
	}
	if !resp.Committed {
		return resp
	}
	f.version++
	resp.Version = f.version
	for _, w := range txn.Writes {
		f.write(w)
	}
	return resp
}

func (f *Fake) write(w *pb.Write) {
	if f.rows == nil {
		f.rows = make(map[string]*pb.Row)
	}
	if w.Delete {
		delete(f.rows, w.Key)
		return
	}
	f.rows[w.Key] = &pb.Row{Key: w.Key, Value: w.Value, Version: f.version}
}

// PutObject implements platformclient.ObjectStore.
func (f *Fake) PutObject(_ context.Context, name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginCall(); err != nil {
		return err
	}
	if f.objects == nil {
		f.objects = make(map[string][]byte)
	}
	f.objects[name] = data
	return nil
}

// GetObject implements platformclient.ObjectStore.
func (f *Fake) GetObject(_ context.Context, name string) ([]byte, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginCall(); err != nil {
		return nil, false, err
	}
	data, found := f.objects[name]
	return data, found, nil
}

// ListVMs implements platformclient.VMLister.
func (f *Fake) ListVMs(context.Context) ([]*pb.Vm, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.beginCall(); err != nil {
		return nil, err
	}
	return f.vms, nil
}
