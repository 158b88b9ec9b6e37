package boottime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The boot-time clock cannot be read. The time must not be one of day, which may step.
func TestNoClockIsATimeOfDay(t *testing.T) {
	const age = 24 * time.Hour
	for name, now := range map[string]func() time.Duration{"in place of the clock": sinceStart, "clock": Now} {
		t.Run(name, func(t *testing.T) {
			before := now()
			require.GreaterOrEqual(t, now(), before)
			require.Less(t, before, time.Duration(time.Now().UnixNano())-age, "a time of day")
		})
	}
}
