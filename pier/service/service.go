// Package service implements a client of the plain services that run beside the model
// engines. A call is one HTTP request with one complete answer.
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

	"mulberrypier.example/pier/answerhead"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
)

const (
	// HeaderID is the header that carries the request ID. A service that supports it
	// echoes it.
	HeaderID = "X-Request-Id"
	// MaxAnswerBytes is the maximum length of an answer's body.
	MaxAnswerBytes = 16 << 20
	// DefaultTimeout is the time limit of a call to a service for which the release
	// note sets none.
	DefaultTimeout = 30 * time.Second
)

// Request is a call to a service.
type Request struct {
	// ID is the request ID, sent in HeaderID.
	ID          string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// NewConnection requests a new connection. It is for calls that are not idempotent: an
	// idle connection may be dead without notice, and such a call could not be retried
	// after failing on it.
	NewConnection bool
}

// Answer is a complete answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client calls services. It is safe for concurrent use.
type Client struct {
	// pooled reuses connections.
	pooled *http.Client
	// unpooled opens a new connection for each call.
	unpooled *http.Client
}

// New returns a client that can call any number of services.
func New() *Client {
	return &Client{
		pooled: &http.Client{
			Transport:     answerhead.NewTransport(&http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}),
			CheckRedirect: noRedirect,
		},
		unpooled: &http.Client{
			Transport:     answerhead.NewTransport(&http.Transport{DisableKeepAlives: true}),
			CheckRedirect: noRedirect,
		},
	}
}

// noRedirect makes the HTTP client return redirects as answers, since following one
// would be a second call.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Call sends a request to the server at a and returns the answer, whatever its status.
// An error is an *outcome.Error. Its outcome is not-run if no connection could be
// opened, so that no byte of the request was sent, and otherwise unknown.
func (c *Client) Call(ctx context.Context, a netip.AddrPort, r *Request) (*Answer, error) {
	q, err := http.NewRequestWithContext(ctx, r.Method, "http://"+a.String()+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	// Without GetBody, the HTTP client cannot retry the request on its own.
	q.GetBody = nil
	q.Header.Set(HeaderID, r.ID)
	if r.ContentType != "" {
		q.Header.Set("Content-Type", r.ContentType)
	}
	h := c.pooled
	if r.NewConnection {
		h = c.unpooled
	}
	s, err := h.Do(q)
	if err != nil {
		return nil, callError(ctx, err, a)
	}
	defer func() { _ = s.Body.Close() }()
	return readAnswer(s, r)
}

// callError returns the error of a call that failed with err. Its outcome is not-run
// if dialling failed; in all other cases the service may have executed the request.
func callError(ctx context.Context, err error, a netip.AddrPort) error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return outcome.Refuse(outcome.ReasonUnreachable, a.String())
	}
	if ctx.Err() != nil {
		return outcome.Ambiguous(outcome.ReasonDeadline, a.String(), err)
	}
	return outcome.Ambiguous(answerhead.Reason(err, outcome.ReasonConnectionLost), a.String(), err)
}

// readAnswer reads an answer to its end. It fails if the answer carries the ID of
// another request or is longer than MaxAnswerBytes.
func readAnswer(s *http.Response, r *Request) (*Answer, error) {
	if id := s.Header.Get(HeaderID); id != "" && id != r.ID {
		return nil, outcome.Ambiguous(outcome.ReasonCrossedAnswer, "got the answer to "+id, nil)
	}
	b, err := io.ReadAll(io.LimitReader(s.Body, MaxAnswerBytes+1))
	if err != nil {
		return nil, outcome.Ambiguous(outcome.ReasonShortAnswer, "", err)
	}
	if len(b) > MaxAnswerBytes {
		return nil, outcome.Ambiguous(outcome.ReasonAnswerTooLarge, "", nil)
	}
	return &Answer{Status: s.StatusCode, ContentType: s.Header.Get("Content-Type"), Body: b}, nil
}

// Idempotent reports whether the release note declares a call to be idempotent. The
// first rule that matches applies; a call that matches none is not idempotent.
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

// Timeout returns the time limit of a call to s whose caller sets no deadline.
func Timeout(s *release.Service) time.Duration {
	if s.Timeout > 0 {
		return time.Duration(s.Timeout)
	}
	return DefaultTimeout
}
