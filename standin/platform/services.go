package platform

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "cuminrock.example/api/gen/cuminrockpb"
)

// errLost ends a call whose answer is lost, as a cut connection would.
var errLost = status.Error(codes.Unavailable, "answer lost")

// tables serves the table service at one door.
type tables struct {
	pb.UnimplementedTableServiceServer
	server *Server
	gate   *gate
}

// Read implements TableService.
func (t *tables) Read(ctx context.Context, req *pb.ReadRequest) (*pb.ReadResponse, error) {
	err := t.server.pacers.read(ctx)
	if err != nil {
		return nil, err
	}
	rows := t.server.store.read(req.Keys)
	t.server.counts.reads.Add(1)
	t.server.counts.rowsRead.Add(uint64(len(rows)))
	return &pb.ReadResponse{Rows: rows}, nil
}

// Scan implements TableService.
func (t *tables) Scan(ctx context.Context, req *pb.ScanRequest) (*pb.ScanResponse, error) {
	err := t.server.pacers.read(ctx)
	if err != nil {
		return nil, err
	}
	rows, more := t.server.store.scan(req.Prefix, req.After, int(req.Limit))
	t.server.counts.scans.Add(1)
	t.server.counts.rowsRead.Add(uint64(len(rows)))
	return &pb.ScanResponse{Rows: rows, More: more}, nil
}

// Commit implements TableService with the door's commit faults.
func (t *tables) Commit(ctx context.Context, req *pb.CommitRequest) (*pb.CommitResponse, error) {
	err := t.server.pacers.write(ctx, len(req.Writes))
	if err != nil {
		return nil, err
	}
	fate, delay := t.gate.commitFate()
	switch fate {
	case fateAnswerLost:
		t.server.counts.answersLost.Add(1)
		t.server.commit(req)
		return nil, errLost
	case fateLate:
		t.server.counts.lateCommits.Add(1)
		return nil, t.server.commitLate(ctx, req, delay)
	}
	return t.server.commit(req), nil
}

// commit applies a transaction and counts it.
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

// commitLate holds a commit until its caller gave up and applies it after a
// further delay.
func (s *Server) commitLate(ctx context.Context, req *pb.CommitRequest, delay time.Duration) error {
	select {
	case <-ctx.Done():
	case <-s.stopped.Done():
		return errLost
	}
	s.late.Go(func() {
		err := sleep(s.stopped, delay)
		if err == nil {
			s.commit(req)
		}
	})
	return status.FromContextError(ctx.Err()).Err()
}

// objects serves the object store.
type objects struct {
	pb.UnimplementedObjectStoreServer
	server *Server
}

// PutObject implements ObjectStore.
func (o *objects) PutObject(_ context.Context, req *pb.PutObjectRequest) (*pb.PutObjectResponse, error) {
	o.server.counts.objectsPut.Add(1)
	o.server.store.put(req.Name, req.Data)
	return &pb.PutObjectResponse{}, nil
}

// GetObject implements ObjectStore.
func (o *objects) GetObject(_ context.Context, req *pb.GetObjectRequest) (*pb.GetObjectResponse, error) {
	o.server.counts.objectsGot.Add(1)
	data, found := o.server.store.get(req.Name)
	return &pb.GetObjectResponse{Found: found, Data: data}, nil
}

// vmService serves the VM list with the door's lag.
type vmService struct {
	pb.UnimplementedVmListServiceServer
	server *Server
	gate   *gate
}

// ListVms implements VmListService.
func (v *vmService) ListVms(context.Context, *pb.ListVmsRequest) (*pb.ListVmsResponse, error) {
	v.server.counts.vmLists.Add(1)
	lag := time.Duration(v.gate.get().VMListLagMs) * time.Millisecond
	return &pb.ListVmsResponse{Vms: v.server.vms.at(time.Now().Add(-lag))}, nil
}
