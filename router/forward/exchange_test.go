package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/fleet/placement"
	"cuminrock.example/router/relay"
	"cuminrock.example/router/responseconn"
)

// scriptedStream is a gateway that sends given parts of a response.
type scriptedStream struct {
	parts []*pb.ForwardResponse
}

func (s *scriptedStream) Send(*pb.ForwardRequest) error { return nil }

func (s *scriptedStream) Recv() (*pb.ForwardResponse, error) {
	if len(s.parts) == 0 {
		return nil, io.EOF
	}
	part := s.parts[0]
	s.parts = s.parts[1:]
	return part, nil
}

// Guards against heads that are no answer and come by way of a gateway of another version, which
// doesn't check them.
func TestHeadFromAnotherGatewayIsChecked(t *testing.T) {
	for name, c := range map[string]struct {
		status int32
		field  *pb.HeaderField
		sound  bool
	}{
		"sound":                   {200, &pb.HeaderField{Name: "X-Some", Values: []string{"a\tb"}}, true},
		"status 0":                {0, nil, false},
		"informational":           {103, nil, false},
		"status 600":              {600, nil, false},
		"blank in a name":         {200, &pb.HeaderField{Name: "Content-Length ", Values: []string{"4"}}, false},
		"no name":                 {200, &pb.HeaderField{Name: "", Values: []string{"4"}}, false},
		"control byte in a value": {200, &pb.HeaderField{Name: "X-Some", Values: []string{"a", "b\r\nX-Other: c"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			head := &pb.ForwardedHead{Status: c.status}
			if c.field != nil {
				head.Header = append(head.Header, c.field)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			x := newExchange(ctx, cancel, &scriptedStream{parts: []*pb.ForwardResponse{{Part: &pb.ForwardResponse_Head{Head: head}}}}, "g2")
			s := &relay.UpstreamRequest{Request: &relay.Request{Header: http.Header{}}, Target: placement.Target{}}
			resp, err := x.exchange(s, time.Now())
			if c.sound {
				is.NoErr(err)
				is.Equal(resp.Status(), int(c.status))
				return
			}
			is.True(errors.Is(err, responseconn.ErrNoResponse))
			is.Equal(errkind.KindOf(err), errkind.TargetFailed)
			is.True(ctx.Err() != nil) // the exchange has ended
		})
	}
}
