package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/rawanswertest"
)

// sendEarly uploads a long request to a server that answers with two bytes and no length before it has read it.
func sendEarly(t *testing.T, p *Pool, end rawanswertest.End) *Response {
	t.Helper()
	s := rawanswertest.StartEarly(t, rawanswertest.EarlyConfig{Answer: func(q *http.Request) (string, rawanswertest.End) {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n{}", dialect.RequestID, q.Header.Get(dialect.RequestID)), end
	}})
	r, err := p.Do(context.Background(), Request{
		Server: "s", Address: s.Address(), Method: http.MethodPost, Target: "/", Host: "h", ID: "1",
		Body: make([]byte, rawanswertest.UploadBytes),
	})
	require.NoError(t, err)
	return r
}

// requireWrittenNoMore checks that a request is written no more.
func requireWrittenNoMore(t *testing.T, r *Response) {
	t.Helper()
	select {
	case <-r.sent.done:
	default:
		require.Fail(t, "the request is still written")
	}
}

// Guards against a truncated body that is taken for a complete one, and against an upload that is still
// written once its response was closed.
func TestTruncatedBodyIsAnError(t *testing.T) {
	for name, end := range rawanswertest.TruncatingEnds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var opened atomic.Int64
			p := NewPool(Config{Dialect: dialect, OnOpen: func() { opened.Add(1) }})
			for n := range int64(10) {
				r := sendEarly(t, p, end)
				_, err := io.ReadAll(r)
				require.Error(t, err)
				_, again := r.Read(make([]byte, 1))
				require.Equal(t, err, again)
				r.Close()
				requireWrittenNoMore(t, r)
				require.Equal(t, n+1, opened.Load())
			}
			require.Empty(t, p.idle)
		})
	}
}

func TestCompleteBodyWithoutLengthIsNoError(t *testing.T) {
	for name, end := range rawanswertest.CompleteEnds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := NewPool(Config{Dialect: dialect})
			r := sendEarly(t, p, end)
			b, err := io.ReadAll(r)
			require.NoError(t, err)
			require.Equal(t, "{}", string(b))
			r.Close()
			requireWrittenNoMore(t, r)
			require.Empty(t, p.idle)
		})
	}
}

// The wait for a server that ended its answer and does not read the request must end with what bounds the reading.
func TestWaitForTheEndOfABodyIsBounded(t *testing.T) {
	const soon = 100 * time.Millisecond
	tests := map[string]func(r *Response) error{
		"discard": func(r *Response) error { return r.Discard(1<<10, soon) },
		"abort": func(r *Response) error {
			time.AfterFunc(soon, r.Abort)
			_, err := io.ReadAll(r)
			return err
		},
	}
	for name, read := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := sendEarly(t, NewPool(Config{Dialect: dialect}), rawanswertest.Stalled)
			began := time.Now()
			err := read(r)
			require.Error(t, err)
			require.False(t, errors.Is(err, io.EOF))
			require.Less(t, time.Since(began), 10*soon)
			r.Close()
			requireWrittenNoMore(t, r)
		})
	}
}
