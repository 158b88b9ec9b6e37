package answerhead_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/answerhead"
	"mulberrypier.example/pier/logservice"
	"mulberrypier.example/pier/operator"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/rawanswertest"
	"mulberrypier.example/pier/rollout"
	"mulberrypier.example/pier/service"
	"mulberrypier.example/pier/trainer"
)

// closeDelimited is an answer whose content ends with its connection.
const closeDelimited = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}"

// startEarly starts a server that sends closeDelimited before it has read a request.
func startEarly(t *testing.T, end rawanswertest.End) *rawanswertest.EarlyServer {
	t.Helper()
	return rawanswertest.StartEarly(t, rawanswertest.EarlyConfig{
		Answer: func(*http.Request) (string, rawanswertest.End) { return closeDelimited, end },
	})
}

// upload sends a request of a size and returns the content of the answer.
func upload(c *http.Client, a netip.AddrPort, size int) ([]byte, error) {
	r, err := c.Post("http://"+a.String(), "text/plain", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Body.Close() }()
	return io.ReadAll(r.Body)
}

// Guards against a truncated answer that is taken for a complete one, as its connection was reset while the request was
// still being written.
func TestTruncatedAnswerIsAnError(t *testing.T) {
	const tries = 10
	for name, end := range rawanswertest.TruncatingEnds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startEarly(t, end)
			c := &http.Client{Transport: answerhead.NewTransport(&http.Transport{})}
			for range tries {
				b, err := upload(c, s.Address(), rawanswertest.UploadBytes)
				require.Error(t, err, "%q", b)
			}
		})
	}
}

// Guards against whole answers that are refused.
func TestCompleteAnswerWithoutLengthIsNoError(t *testing.T) {
	for name, end := range rawanswertest.CompleteEnds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startEarly(t, end)
			c := &http.Client{Transport: answerhead.NewTransport(&http.Transport{})}
			for _, size := range []int{0, 1000, 200_000, rawanswertest.UploadBytes} {
				b, err := upload(c, s.Address(), size)
				require.NoError(t, err)
				require.Equal(t, "{}", string(b))
			}
		})
	}
}

// Guards against clients that take a truncated answer for success.
func TestClientsRefuseTruncatedAnswers(t *testing.T) {
	body := make([]byte, rawanswertest.UploadBytes)
	tests := map[string]struct {
		call   func(ctx context.Context, a netip.AddrPort) error
		reason outcome.Reason
	}{
		"service": {call: func(ctx context.Context, a netip.AddrPort) error {
			_, err := service.New().Call(ctx, a, &service.Request{ID: "1", Method: http.MethodPost, Path: "/", Body: body})
			return err
		}, reason: outcome.ReasonShortAnswer},
		"append": {call: func(ctx context.Context, a netip.AddrPort) error {
			_, err := logservice.New(logservice.Config{Address: a}).Append(ctx, "s", body)
			return err
		}, reason: outcome.ReasonLogDown},
		"operator": {call: func(ctx context.Context, a netip.AddrPort) error {
			_, err := operator.New(operator.ClientConfig{Address: a}).Publish(ctx, body, false)
			return err
		}, reason: outcome.ReasonShortAnswer},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for kind, end := range rawanswertest.TruncatingEnds {
				s := startEarly(t, end)
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				err := c.call(ctx, s.Address())
				cancel()
				require.Error(t, err, kind)
				require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome, kind)
				// The head may not arrive before a reset.
				if !outcome.HasReason(err, outcome.ReasonConnectionLost) && !outcome.HasReason(err, outcome.ReasonUnreachable) {
					require.True(t, outcome.HasReason(err, c.reason), "%s: %v", kind, err)
				}
			}
		})
	}
}

// Guards against content that a client takes for complete though its connection was reset. The requests are short, so
// that the read learns of the reset, or of the cut JSON.
func TestClientsRefuseContentThatEndsWithAReset(t *testing.T) {
	for name, c := range clientCalls {
		if c.noContent {
			continue
		}
		for end, f := range rawanswertest.ResetEnds {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				s := rawanswertest.StartEarly(t, rawanswertest.EarlyConfig{Answer: func(q *http.Request) (string, rawanswertest.End) {
					return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + `{"id":"s","score":1`, f
				}})
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				began := time.Now()
				err := c.call(ctx, s.Address())
				require.Error(t, err)
				require.True(t, c.read || outcome.AsError(err).Outcome == outcome.Unknown, "%v", err)
				require.Less(t, time.Since(began), testTimeout/2)
			})
		}
	}
}

// A trainer must not take such an answer for the end of a request.
func TestTrainerRetriesAfterAReset(t *testing.T) {
	for end, f := range rawanswertest.ResetEnds {
		t.Run(end, func(t *testing.T) {
			t.Parallel()
			s := startEarly(t, f)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			c := trainer.New(trainer.Config{Trainer: "t", Hosts: []netip.AddrPort{s.Address()}})
			require.Error(t, c.Publish(ctx, rollout.Version(1)))
			require.NotZero(t, c.Retries())
		})
	}
}

// A request whose context ends while it is not known whether the answer is whole fails then, and is written no more.
func TestWaitForTheEndOfAnAnswerEndsWithTheContext(t *testing.T) {
	s := startEarly(t, rawanswertest.Stalled)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := service.New().Call(ctx, s.Address(), &service.Request{
		ID: "1", Method: http.MethodPost, Path: "/", Body: make([]byte, rawanswertest.UploadBytes), NewConnection: true,
	})
	require.Error(t, err)
	require.Less(t, time.Since(began), time.Second)
	require.Eventually(t, func() bool {
		l := stacks()
		return !strings.Contains(l, "tcpstate.ConfirmEnd") && !strings.Contains(l, "net.(*conn).Write")
	}, time.Second, 10*time.Millisecond)
}

// With TLS, close-delimited content ends with the close_notify alert of the peer: anybody may close the connection below.
func TestEndWithoutCloseNotifyIsAnError(t *testing.T) {
	tests := map[string]struct {
		end   func(c *tls.Conn) error
		whole bool
	}{
		"close_notify":                  {end: (*tls.Conn).Close, whole: true},
		"close_notify, connection kept": {end: (*tls.Conn).CloseWrite, whole: true},
		"no close_notify":               {end: func(c *tls.Conn) error { return c.NetConn().Close() }},
	}
	x := httptest.NewTLSServer(nil)
	t.Cleanup(x.Close)
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{Certificates: x.TLS.Certificates})
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			ended := make(chan error, 1)
			go func() {
				n, err := l.Accept()
				if err != nil {
					ended <- err
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(n)); err != nil {
					ended <- err
					return
				}
				_, err = io.WriteString(n, closeDelimited)
				ended <- errors.Join(err, c.end(n.(*tls.Conn)))
			}()
			roots := x509.NewCertPool()
			roots.AddCert(x.Certificate())
			h := &http.Client{Transport: answerhead.NewTransport(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}), Timeout: testTimeout}
			r, err := h.Get("https://" + l.Addr().String())
			require.NoError(t, err)
			b, err := io.ReadAll(r.Body)
			require.NoError(t, r.Body.Close())
			require.NoError(t, <-ended)
			require.Equal(t, "{}", string(b))
			require.Equal(t, c.whole, err == nil, "%v", err)
		})
	}
}

// stacks returns the stacks of all goroutines.
func stacks() string {
	b := make([]byte, 1<<20)
	return string(b[:runtime.Stack(b, true)])
}
