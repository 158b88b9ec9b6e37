package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
)

// An outage of a part of the log is logged once at its start and once at its end, however
// many calls fail. An answer of another part does not end it.
func TestOneLineForEachLossAndReturn(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	r := newLogHealth(zap.New(core), newMetrics())
	err := outcome.Ambiguous(outcome.ReasonLogDown, "read", nil)
	for range 100 {
		r.failed("steps", "steps/3", err)
	}
	r.answered("steps/4")
	require.Len(t, lines.All(), 1)
	require.Equal(t, "log: out of reach", lines.All()[0].Message)
	r.answered("steps/3")
	r.answered("steps/3")
	require.Len(t, lines.All(), 2)
	require.Equal(t, "log: in reach again", lines.All()[1].Message)
	require.EqualValues(t, 100, lines.All()[1].ContextMap()["failures"])
	require.Empty(t, r.outages)
}

func TestSilenceEndsWithAnyAnswer(t *testing.T) {
	r := newLogHealth(zap.NewNop(), newMetrics())
	r.answerAt.Store(int64(boottime.Now() - time.Minute))
	require.Greater(t, r.silence(), 59*time.Second)
	r.answered("orders")
	require.Less(t, r.silence(), time.Minute)
}
