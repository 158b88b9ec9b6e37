package answerhead_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/answerhead"
	"mulberrypier.example/pier/engine"
	"mulberrypier.example/pier/hostlist"
	"mulberrypier.example/pier/logservice"
	"mulberrypier.example/pier/operator"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/rawanswertest"
	"mulberrypier.example/pier/rollout"
	"mulberrypier.example/pier/scorer"
	"mulberrypier.example/pier/service"
	"mulberrypier.example/pier/trainer"
)

// testTimeout bounds a call, which must fail much earlier.
const testTimeout = 5 * time.Second

// clientCall is a call of a client over net/http.
type clientCall struct {
	call   func(ctx context.Context, a netip.AddrPort) error
	reason outcome.Reason
	// read is set for calls that change nothing, whose outcome does not matter.
	read bool
	// noContent is set for calls of which only the status is read.
	noContent bool
}

// clientCalls holds the calls by name.
var clientCalls = map[string]clientCall{
	"completion": {call: func(ctx context.Context, a netip.AddrPort) error {
		return engine.New(engine.Config{}).Complete(ctx, a, &engine.Completion{Stream: "s"}, func(*engine.Chunk) error { return nil })
	}, reason: outcome.ReasonMalformedAnswer},
	"order": {call: func(ctx context.Context, a netip.AddrPort) error {
		return engine.New(engine.Config{}).Order(ctx, a, &engine.Order{})
	}, reason: outcome.ReasonMalformedAnswer, noContent: true},
	"take": {call: func(ctx context.Context, a netip.AddrPort) error {
		return engine.New(engine.Config{}).Take(ctx, a, "s")
	}, reason: outcome.ReasonMalformedAnswer, noContent: true},
	"load": {call: func(ctx context.Context, a netip.AddrPort) error {
		_, err := engine.New(engine.Config{}).Load(ctx, a)
		return err
	}, reason: outcome.ReasonMalformedAnswer},
	"service, new connection": {call: func(ctx context.Context, a netip.AddrPort) error {
		_, err := service.New().Call(ctx, a, &service.Request{ID: "1", Method: http.MethodPost, Path: "/", NewConnection: true})
		return err
	}, reason: outcome.ReasonMalformedAnswer},
	"service": {call: func(ctx context.Context, a netip.AddrPort) error {
		_, err := service.New().Call(ctx, a, &service.Request{ID: "1", Method: http.MethodGet, Path: "/"})
		return err
	}, reason: outcome.ReasonMalformedAnswer},
	"score": {call: func(ctx context.Context, a netip.AddrPort) error {
		_, err := scorer.New().Score(ctx, a, &scorer.Request{})
		return err
	}, reason: outcome.ReasonMalformedAnswer},
	"list of hosts": {call: func(ctx context.Context, a netip.AddrPort) error {
		_, err := hostlist.New(hostlist.Config{Address: a}).Read(ctx)
		return err
	}, reason: outcome.ReasonUnreachable, read: true},
	"append": {call: func(ctx context.Context, a netip.AddrPort) error {
		_, err := logservice.New(logservice.Config{Address: a}).Append(ctx, "s", []byte("r"))
		return err
	}, reason: outcome.ReasonLogDown},
	"read of the log": {call: func(ctx context.Context, a netip.AddrPort) error {
		_, err := logservice.New(logservice.Config{Address: a}).Read(ctx, "s", 0, 1, 0)
		return err
	}, reason: outcome.ReasonLogDown},
	"operator": {call: func(ctx context.Context, a netip.AddrPort) error {
		_, err := operator.New(operator.ClientConfig{Address: a}).Drain(ctx)
		return err
	}, reason: outcome.ReasonUnreachable},
}

// Guards against a malformed answer that a client takes for an answer, for a refusal of a request that has run, or
// waits for.
func TestClientsRefuseMalformedAnswers(t *testing.T) {
	for name, c := range clientCalls {
		for fault, answer := range rawanswertest.Malformed {
			t.Run(name+", "+fault, func(t *testing.T) {
				t.Parallel()
				s := rawanswertest.Start(t, answer)
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				began := time.Now()
				err := c.call(ctx, s.Address())
				require.True(t, outcome.HasReason(err, c.reason), "%v", err)
				require.True(t, c.read || outcome.AsError(err).Outcome == outcome.Unknown, "%v", err)
				require.Less(t, time.Since(began), testTimeout/2)
				require.Equal(t, 1, s.Requests())
			})
		}
	}
}

// A trainer tries again until its context ends, and must not take a malformed answer for the end of a request.
func TestTrainerRetriesAfterMalformedAnswers(t *testing.T) {
	for fault, answer := range rawanswertest.Malformed {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			s := rawanswertest.Start(t, answer)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			c := trainer.New(trainer.Config{Trainer: "t", Hosts: []netip.AddrPort{s.Address()}})
			require.Error(t, c.Publish(ctx, rollout.Version(1)))
			require.NotZero(t, c.Retries())
			require.Zero(t, s.Reused())
		})
	}
}

// newClient returns a client of a server and the path of its requests.
func newClient(t *testing.T, answer string, secure bool) (*http.Client, *rawanswertest.Server, string) {
	t.Helper()
	if !secure {
		s := rawanswertest.Start(t, answer)
		return &http.Client{Transport: answerhead.NewTransport(&http.Transport{})}, s, "http://" + s.Address().String()
	}
	x := httptest.NewTLSServer(nil)
	t.Cleanup(x.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	roots := x509.NewCertPool()
	roots.AddCert(x.Certificate())
	s := rawanswertest.StartOn(t, tls.NewListener(l, &tls.Config{Certificates: x.TLS.Certificates}), answer)
	c := &http.Client{Transport: answerhead.NewTransport(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}})}
	return c, s, "https://" + s.Address().String()
}

// Each answer on a connection must be checked, and a connection that brought a malformed one must not be used again,
// with or without TLS.
func TestTransport(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for name, secure := range map[string]bool{"plain": false, "TLS": true} {
		t.Run(name, func(t *testing.T) {
			send := func(h *http.Client, u string) error {
				r, err := h.Post(u, "text/plain", nil)
				if err != nil {
					return err
				}
				_, err = io.Copy(io.Discard, r.Body)
				return errors.Join(err, r.Body.Close())
			}
			h, s, u := newClient(t, sound, secure)
			for range 3 {
				require.NoError(t, send(h, u))
			}
			require.Equal(t, 2, s.Reused())
			h, s, u = newClient(t, rawanswertest.Malformed["status 000, no content"], secure)
			for range 3 {
				var e *answerhead.Error
				require.ErrorAs(t, send(h, u), &e)
				require.Equal(t, answerhead.FaultStatus, e.Fault)
			}
			require.Equal(t, 3, s.Requests())
			require.Zero(t, s.Reused())
		})
	}
}
