// Package backoff holds what is needed between two tries.
package backoff

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx is still live.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Doubled returns first, doubled so many times, and at most most.
func Doubled(first, most time.Duration, times int) time.Duration {
	for range times {
		if first >= most {
			break
		}
		first *= 2
	}
	return min(first, most)
}
