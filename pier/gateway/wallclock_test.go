package gateway

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"mulberrypier.example/pier/wallclock"
)

// A clock that steps at every look must be counted each time and not fill the log.
func TestStepsOfTheClockAreReportedBoundedly(t *testing.T) {
	core, lines := observer.New(zap.WarnLevel)
	g := newHost(t, "a", newLog().Functions())
	g.log = zap.New(core)
	for i := range 21 {
		at := time.Duration(i) * time.Second
		g.wallClock.look(wallclock.Reading{Wall: time.Unix(int64(1e9+400*i), 0), Before: at, After: at})
	}
	require.Equal(t, 20.0, testutil.ToFloat64(g.metrics.wallClockSteps))
	require.Equal(t, 399.0, testutil.ToFloat64(g.metrics.wallClockStep))
	l := lines.FilterMessage("host: time of day was stepped").All()
	require.Len(t, l, 2)
	require.Equal(t, 399*time.Second, l[1].ContextMap()["by"])
	require.Equal(t, int64(9), l[1].ContextMap()["steps-since"])
}
