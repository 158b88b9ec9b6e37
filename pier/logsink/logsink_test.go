package logsink

import (
	"bytes"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Goroutines that outlive the graceful shutdown may still log. Their lines are dropped.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	s, err := New(Config{Level: "info", Out: &out})
	require.NoError(t, err)
	s.Logger().Info("before")
	var w sync.WaitGroup
	for range 4 {
		w.Go(func() {
			for range 100 {
				s.Logger().Info("meanwhile")
			}
		})
	}
	s.Close()
	w.Wait()
	s.Logger().Info("after", zap.Int("n", 1))
	s.Close()
	require.Contains(t, out.String(), "before")
	require.NotContains(t, out.String(), "after")
}
