// Package service speaks to the plain services beside the model engines: one
// HTTP request, one whole answer.
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
)

const (
	// HeaderID carries the request id; a service that knows it echoes it.
	HeaderID = "X-Request-Id"
	// MaxAnswerBytes is the greatest length of an answer.
	MaxAnswerBytes = 16 << 20
	// DefaultTimeout is the deadline of a call to a service that sets none.
	DefaultTimeout = 30 * time.Second
)

// Request is a call to a service.
type Request struct {
	ID          string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Fresh asks for a new connection, as a call that may not be repeated must
	// not be lost on one that has gone silent.
	Fresh bool
}

// Answer is a whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client calls services. It is safe for concurrent use.
type Client struct {
	kept  *http.Client
	fresh *http.Client
}

// New returns a client for all services.
func New() *Client {
	return &Client{
		kept:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}, CheckRedirect: stay},
		fresh: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: stay},
	}
}

// stay passes redirects on to the caller: following one would be a second call.
func stay(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Call sends a request to a server and returns its whole answer. Errors are
// *outcome.Error: not-run when no byte of the request was written.
func (c *Client) Call(ctx context.Context, a netip.AddrPort, r *Request) (*Answer, error) {
	q, err := http.NewRequestWithContext(ctx, r.Method, "http://"+a.String()+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	// Without GetBody the library cannot send the request a second time itself.
	q.GetBody = nil
	q.Header.Set(HeaderID, r.ID)
	if r.ContentType != "" {
		q.Header.Set("Content-Type", r.ContentType)
	}
	h := c.kept
	if r.Fresh {
		h = c.fresh
	}
	s, err := h.Do(q)
	if err != nil {
		return nil, classify(ctx, err, a)
	}
	defer func() { _ = s.Body.Close() }()
	return whole(s, r)
}

// classify tells an attempt that was not run from one that may have been.
func classify(ctx context.Context, err error, a netip.AddrPort) error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return outcome.Refuse(outcome.ReasonUnreachable, a.String())
	}
	if ctx.Err() != nil {
		return outcome.Lost(outcome.ReasonDeadline, a.String(), err)
	}
	return outcome.Lost(outcome.ReasonConnectionLost, a.String(), err)
}

// whole reads an answer to its end and checks that it belongs to the request.
func whole(s *http.Response, r *Request) (*Answer, error) {
	if id := s.Header.Get(HeaderID); id != "" && id != r.ID {
		return nil, outcome.Lost(outcome.ReasonCrossedAnswer, "got the answer to "+id, nil)
	}
	b, err := io.ReadAll(io.LimitReader(s.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, outcome.Lost(outcome.ReasonShortAnswer, "", err)
	}
	if len(b) > MaxAnswerBytes {
		return nil, outcome.Lost(outcome.ReasonAnswerTooLarge, "", nil)
	}
	return &Answer{Status: s.StatusCode, ContentType: s.Header.Get("Content-Type"), Body: b}, nil
}

// Idempotent reports whether the release note allows a call to be repeated. The
// first rule that matches counts; without one the call may not be repeated.
func Idempotent(s *release.Service, method, path string) bool {
	for _, c := range s.Calls {
		if c.Method != "" && !strings.EqualFold(c.Method, method) {
			continue
		}
		if strings.HasPrefix(path, c.Prefix) {
			return c.Idempotent
		}
	}
	return false
}

// Timeout returns the deadline of a call to s without one of its own.
func Timeout(s *release.Service) time.Duration {
	if s.Timeout > 0 {
		return time.Duration(s.Timeout)
	}
	return DefaultTimeout
}
