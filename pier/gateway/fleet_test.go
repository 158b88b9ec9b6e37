package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An engine lacks capacity, or its address is now used by another server. It must be tried
// less and less often instead of receiving each waiting sample again and again.
func TestRefusingEngineIsAskedSeldom(t *testing.T) {
	tests := map[string]int{"no room": http.StatusServiceUnavailable, "another server": http.StatusMisdirectedRequest}
	for name, status := range tests {
		t.Run(name, func(t *testing.T) {
			g := newHost(t, "a", newLog().Functions())
			g.table(nil)
			e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(testDialect.NotRun, "1")
				w.WriteHeader(status)
			})
			g.register(e.Server)
			require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 1)))
			time.Sleep(1200 * time.Millisecond)
			require.Less(t, len(e.runs()), 7)
			require.Greater(t, len(e.runs()), 1)
		})
	}
}
