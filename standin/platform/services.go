package platform

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// errResponseDropped is returned for a call whose response is dropped, as on a
// broken connection.
var errResponseDropped = status.Error(codes.Unavailable, "response dropped")

// tableService implements the table service on one listener.
type tableService struct {
	pb.UnimplementedTableServiceServer
	server *Server
	faults *faultInjector
}

// Read implements TableService.
func (t *tableService) Read(ctx context.Context, req *pb.ReadRequest) (*pb.ReadResponse, error) {
	err := t.server.limiters.read(ctx)
	if err != nil {
		return nil, err
	}
	rows := t.server.store.read(req.Keys)
	t.server.counts.reads.Add(1)
	t.server.counts.rowsRead.Add(uint64(len(rows)))
	return &pb.ReadResponse{Rows: rows}, nil
}

// Scan implements TableService.
func (t *tableService) Scan(ctx context.Context, req *pb.ScanRequest) (*pb.ScanResponse, error) {
	err := t.server.limiters.read(ctx)
	if err != nil {
		return nil, err
	}
	rows, more := t.server.store.scan(req.Prefix, req.After, int(req.Limit))
	t.server.counts.scans.Add(1)
	t.server.counts.rowsRead.Add(uint64(len(rows)))
	return &pb.ScanResponse{Rows: rows, More: more}, nil
}

// Commit implements TableService and injects the listener's commit faults.
func (t *tableService) Commit(ctx context.Context, req *pb.CommitRequest) (*pb.CommitResponse, error) {
	err := t.server.limiters.write(ctx, len(req.Writes))
	if err != nil {
		return nil, err
	}
	fault, delay := t.faults.nextCommitFault()
	switch fault {
	case commitFaultDropResponse:
		t.server.counts.responsesDropped.Add(1)
		t.server.commit(req)
		return nil, errResponseDropped
	case commitFaultLate:
		t.server.counts.lateCommits.Add(1)
		return nil, t.server.commitLate(ctx, req, delay)
	}
	return t.server.commit(req), nil
}

// commit applies a transaction and updates the counters.
func (s *Server) commit(req *pb.CommitRequest) *pb.CommitResponse {
	resp := s.store.commit(req)
	if !resp.Committed {
		s.counts.conflicts.Add(1)
		return resp
	}
	s.counts.committed.Add(1)
	s.counts.rowsWritten.Add(uint64(len(req.Writes)))
	for _, w := range req.Writes {
		s.counts.bytesWritten.Add(uint64(len(w.Key) + len(w.Value)))
	}
	return resp
}

// commitLate holds a commit until its caller has given up and applies it after
// a further delay.
func (s *Server) commitLate(ctx context.Context, req *pb.CommitRequest, delay time.Duration) error {
	select {
	case <-ctx.Done():
	case <-s.stopped.Done():
		return errResponseDropped
	}
	s.lateCommits.Go(func() {
		err := sleep(s.stopped, delay)
		if err == nil {
			s.commit(req)
		}
	})
	return status.FromContextError(ctx.Err()).Err()
}

// objectStore implements the object store.
type objectStore struct {
	pb.UnimplementedObjectStoreServer
	server *Server
}

// PutObject implements ObjectStore.
func (o *objectStore) PutObject(_ context.Context, req *pb.PutObjectRequest) (*pb.PutObjectResponse, error) {
	o.server.counts.objectsPut.Add(1)
	o.server.store.put(req.Name, req.Data)
	return &pb.PutObjectResponse{}, nil
}

// GetObject implements ObjectStore.
func (o *objectStore) GetObject(_ context.Context, req *pb.GetObjectRequest) (*pb.GetObjectResponse, error) {
	o.server.counts.objectsGot.Add(1)
	data, found := o.server.store.get(req.Name)
	return &pb.GetObjectResponse{Found: found, Data: data}, nil
}

// vmListService implements the VM list service with the listener's lag.
type vmListService struct {
	pb.UnimplementedVmListServiceServer
	server *Server
	faults *faultInjector
}

// ListVms implements VmListService.
func (v *vmListService) ListVms(context.Context, *pb.ListVmsRequest) (*pb.ListVmsResponse, error) {
	v.server.counts.vmLists.Add(1)
	lag := time.Duration(v.faults.get().VMListLagMs) * time.Millisecond
	return &pb.ListVmsResponse{Vms: v.server.vms.at(time.Now().Add(-lag))}, nil
}
