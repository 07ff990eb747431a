package configwatch

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/config"
	"cuminrock.example/router/configlog"
	"cuminrock.example/router/platformclient/platformfake"
)

// largeChange upserts the given numbers of workspaces and budgets.
func largeChange(workspaces, budgets int) *pb.Change {
	c := &pb.Change{Version: 1}
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%06d", i)
		sum := fmt.Sprintf("%032d", i)
		c.Upserts = append(c.Upserts, config.WorkspaceRecord(&pb.Workspace{
			Name: name, KeySha256: [][]byte{[]byte(sum)}, Priority: pb.Priority_PRIORITY_NORMAL, DefaultBudget: fmt.Sprintf("budget-%07d", i),
		}))
	}
	for i := range budgets {
		c.Upserts = append(c.Upserts, config.BudgetRecord(&pb.Budget{
			Name: fmt.Sprintf("budget-%07d", i), Workspace: fmt.Sprintf("workspace-%06d", i%workspaces),
		}))
	}
	return c
}

// BenchmarkStart measures how a new router gets its first configuration: from
// the platform's snapshot, and from a peer, including encoding and decoding.
func BenchmarkStart(b *testing.B) {
	for _, workspaces := range []int{490, 4_900, 49_000} {
		is := is.New(b)
		ctx := context.Background()
		p := &platformfake.Fake{}
		_, err := configlog.Append(ctx, p, "ana", largeChange(workspaces, workspaces*19/5))
		is.NoErr(err)
		view, err := configlog.Load(ctx, p)
		is.NoErr(err)
		is.NoErr(configlog.WriteSnapshot(ctx, p, view))
		peer := New(Options{Platform: p})
		peer.acceptView(view, "test")
		b.Run(fmt.Sprintf("workspaces=%d/platform", workspaces), func(b *testing.B) {
			for b.Loop() {
				_, err := configlog.Load(ctx, p)
				is.NoErr(err)
			}
		})
		b.Run(fmt.Sprintf("workspaces=%d/peer", workspaces), func(b *testing.B) {
			for b.Loop() {
				fresh := New(Options{Platform: p})
				is.NoErr(fresh.acceptResponse(encodeAndDecode(b, peer), "peer"))
				is.Equal(fresh.HeldVersion(), uint64(1))
			}
		})
	}
}

// encodeAndDecode returns a peer's response after encoding and decoding, as it
// arrives over the network.
func encodeAndDecode(b *testing.B, peer *Watcher) *pb.FetchConfigResponse {
	is := is.New(b)
	resp, err := peer.HandleFetchConfig(context.Background(), &pb.FetchConfigRequest{})
	is.NoErr(err)
	data, err := proto.Marshal(resp)
	is.NoErr(err)
	decoded := &pb.FetchConfigResponse{}
	is.NoErr(proto.Unmarshal(data, decoded))
	return decoded
}
