package backoff

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFor(t *testing.T) {
	require.True(t, Sleep(context.Background(), time.Microsecond))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.False(t, Sleep(ctx, time.Hour))
}

func TestDoubled(t *testing.T) {
	tests := map[string]struct {
		first, limit time.Duration
		times        int
		want         time.Duration
	}{
		"never":          {1, 100, 0, 1},
		"twice":          {3, 100, 2, 12},
		"up to the most": {3, 10, 2, 10},
		"far too often":  {3, 10, 1 << 30, 10},
		"first is more":  {30, 10, 0, 10},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, Exponential(c.first, c.limit, c.times)) })
	}
}
