package backend

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A server states in an answer that it leaves, whatever the answer is. Answers that are not
// this incarnation's, or belong to another request, state nothing.
func TestLeavingIsReported(t *testing.T) {
	tests := map[string]struct {
		status int
		id     string
		want   bool
	}{
		"success":           {200, "1", true},
		"refusal":           {503, "1", true},
		"error":             {500, "1", true},
		"another server":    {421, "1", false},
		"another's request": {200, "2", false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			a, _ := startServer(t, func(n net.Conn, _ int, _, _ string) {
				_, _ = fmt.Fprintf(n, "HTTP/1.1 %d x\r\nRequest-Id: %s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", c.status, c.id)
			})
			d := dialect
			d.Leaving = "Leaving"
			born := time.Unix(7, 0)
			var got []string
			p := NewPool(Config{Dialect: d, OnLeaving: func(server string, b time.Time) {
				require.Equal(t, born, b)
				got = append(got, server)
			}})
			r, err := p.Do(context.Background(), Request{Server: "s", Born: born, Address: a, Method: "GET", Target: "/", Host: "h", ID: "1"})
			if err == nil {
				r.Close()
			}
			if c.want {
				require.Equal(t, []string{"s"}, got)
			} else {
				require.Empty(t, got)
			}
		})
	}
}
