package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestForEndsAfterDurationOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		start := time.Now()
		is.True(For(ctx, time.Second))
		is.True(!For(ctx, time.Hour))
		is.Equal(time.Since(start), time.Minute) // simulated time
		is.True(!For(ctx, 0))
		is.True(For(context.Background(), -1))
	})
}
