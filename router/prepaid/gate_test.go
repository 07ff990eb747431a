package prepaid

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/fleet/catalog"
	"cuminrock.example/router/platformclient/platformfake"
)

// Pattern: the platform refuses all calls while requests for many workspaces wait
// for tokens. The router's calls don't grow with the number of its workspaces, and
// it serves again soon after the end.
func TestCallsToARefusingPlatformDoNotGrowWithWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const workspaces, seconds = 40, 10
		tables := &platformfake.Fake{}
		tables.SetDown(true)
		m := newManager(tables, "a1")
		reserve := func(i int) error {
			prepaidTokens := int64(1000)
			w := &catalog.Workspace{Name: fmt.Sprintf("w%d", i), PrepaidTokens: &prepaidTokens}
			_, err := m.Reserve(context.Background(), "r", w, 10, 0, time.Millisecond)
			return err
		}
		for range 10 * seconds {
			for i := range workspaces {
				is.True(reserve(i) != nil)
			}
			time.Sleep(60 * time.Millisecond)
		}
		t.Logf("%d calls in %d s", tables.CallCount(), seconds)
		is.True(tables.CallCount() <= 6*seconds) // of tokens and of notes
		tables.SetDown(false)
		for range 40 {
			for i := range workspaces {
				_ = reserve(i)
			}
			time.Sleep(50 * time.Millisecond)
		}
		for i := range workspaces {
			is.NoErr(reserve(i))
		}
		is.NoErr(m.Close(context.Background()))
	})
}
