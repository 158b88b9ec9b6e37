package peer

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
)

// serve starts a server with the handler h and returns its address.
func serve(t testing.TB, h Handler) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(ServerConfig{Listener: l, Handler: h})
	t.Cleanup(s.Close)
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// TestCall checks the result of a call for each way in which a call can end, with
// the outcome of those that fail.
func TestCall(t *testing.T) {
	var served atomic.Int64
	a := serve(t, func(ctx context.Context, r *Request) (any, error) {
		served.Add(1)
		switch r.Kind {
		case KindFirst:
			var s string
			return s, Decode(r.Body, &s)
		case KindFirst + 1:
			return nil, outcome.Refuse(outcome.ReasonQueueFull, "here")
		case KindFirst + 2:
			<-ctx.Done()
			return nil, outcome.Ambiguous(outcome.ReasonDeadline, "server", ctx.Err())
		case KindFirst + 3:
			for i := range 5 {
				if err := r.SendPart(i); err != nil {
					return nil, err
				}
			}
			return "end", nil
		}
		return make([]byte, MaxFrameBytes), nil
	})
	c := NewClient(ClientConfig{})
	defer c.Close()
	for name, f := range map[string]func(t *testing.T){
		"answered": func(t *testing.T) {
			require.NoError(t, c.Call(t.Context(), a, KindFirst, "q", nil))
		},
		"refused": func(t *testing.T) {
			err := c.Call(t.Context(), a, KindFirst+1, "q", nil)
			require.True(t, outcome.HasReason(err, outcome.ReasonQueueFull))
			require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
		},
		"deadline": func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			err := c.Call(ctx, a, KindFirst+2, "q", nil)
			require.True(t, outcome.HasReason(err, outcome.ReasonDeadline))
			require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome)
		},
		"in parts": func(t *testing.T) {
			var l []int
			var s string
			require.NoError(t, c.Stream(t.Context(), a, KindFirst+3, "q", &s, func(b []byte) error {
				var i int
				err := Decode(b, &i)
				l = append(l, i)
				return err
			}))
			require.Equal(t, []int{0, 1, 2, 3, 4}, l)
			require.Equal(t, "end", s)
		},
		"answer too large": func(t *testing.T) {
			err := c.Call(t.Context(), a, KindFirst+4, "q", nil)
			require.True(t, outcome.HasReason(err, outcome.ReasonTooLarge), "%v", err)
		},
		"request too large": func(t *testing.T) {
			n := served.Load()
			err := c.Call(t.Context(), a, KindFirst, make([]byte, MaxFrameBytes), nil)
			require.True(t, outcome.HasReason(err, outcome.ReasonTooLarge))
			require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
			require.Equal(t, n, served.Load())
		},
		"nobody there": func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			b := l.Addr().(*net.TCPAddr).AddrPort()
			require.NoError(t, l.Close())
			err = c.Call(t.Context(), b, KindFirst, "q", nil)
			require.True(t, outcome.HasReason(err, outcome.ReasonUnreachable))
			require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
		},
	} {
		t.Run(name, f)
	}
}

// TestSilent checks that calls on a connection that no longer carries any frame fail
// with the outcome unknown, and that the next call opens a new connection.
func TestSilent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	a := l.Addr().(*net.TCPAddr).AddrPort()
	go func() {
		n, _ := l.Accept()
		defer n.Close()
		n, _ = l.Accept()
		newConn(n, func(context.Context, *Request) (any, error) { return "here", nil })
	}()
	c := NewClient(ClientConfig{})
	defer c.Close()
	err = c.Call(t.Context(), a, KindFirst, "q", nil)
	require.True(t, outcome.HasReason(err, outcome.ReasonSilent), "%v", err)
	require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome)
	var s string
	require.NoError(t, c.Call(t.Context(), a, KindFirst, "q", &s))
	require.Equal(t, "here", s)
}

// FuzzFrame checks that malformed frames are rejected with a reason.
func FuzzFrame(f *testing.F) {
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	require.NoError(f, writeFrame(w, &frame{Kind: KindFirst, ID: 7, Body: []byte{0xa1, 'x'}}))
	require.NoError(f, w.Flush())
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bufio.NewReader(bytes.NewReader(b))
		for {
			_, err := readFrame(r)
			if err != nil {
				require.NotEmpty(t, outcome.AsError(err).Reason)
				return
			}
		}
	})
}

// BenchmarkCall measures concurrent calls on one connection.
func BenchmarkCall(b *testing.B) {
	a := serve(b, func(context.Context, *Request) (any, error) { return "r", nil })
	c := NewClient(ClientConfig{})
	defer c.Close()
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if err := c.Call(b.Context(), a, KindFirst, "q", nil); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
