// Package backoff provides the waits between the attempts of an operation.
package backoff

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx is done, whichever comes first, and reports whether
// d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Exponential returns the delay of an exponential backoff: first doubled the given number
// of times, but at most limit. It does not overflow, however large times is.
func Exponential(first, limit time.Duration, times int) time.Duration {
	for range times {
		if first >= limit {
			break
		}
		first *= 2
	}
	return min(first, limit)
}
