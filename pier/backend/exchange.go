package backend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"mulberrypier.example/pier/answerhead"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
)

// Do sends a request and returns once the header of the answer was read. An error is an
// *outcome.Error. Its outcome is not-run only if no byte was sent.
func (p *Pool) Do(ctx context.Context, q Request) (*Response, error) {
	if ctx.Err() != nil {
		return nil, outcome.Refuse(outcome.ReasonOf(ctx), q.Server)
	}
	if err := q.check(); err != nil {
		return nil, err
	}
	a, err := p.admit(ctx, &q)
	if err != nil {
		return nil, err
	}
	c := p.takeIdle(q.Server, q.Born)
	if c == nil {
		if c, err = p.dial(ctx, q.Server, q.Address); err != nil {
			return nil, err
		}
		c.openedFor = q.Born
	}
	c.maxIdle = q.maxIdle()
	if err := p.verify(ctx, c, &q); err != nil {
		return nil, err
	}
	if a.Limited && boottime.Now() > a.Until {
		p.putIdle(c)
		return nil, outcome.Refuse(outcome.ReasonPermitExpired, q.Server)
	}
	if err := q.mayBeSent(); err != nil {
		p.putIdle(c)
		return nil, err
	}
	return p.exchange(ctx, c, q, a)
}

// admit asks whether the request may be sent. Requests without an id, which only control a
// server or ask for its state, always may.
func (p *Pool) admit(ctx context.Context, q *Request) (Admission, error) {
	if q.ID == "" {
		return Admission{}, nil
	}
	return p.c.Admit(ctx, q)
}

// exchange sends q on c and reads the header of the answer. If it fails, it closes c, and the
// outcome of the request is unknown.
func (p *Pool) exchange(ctx context.Context, c *conn, q Request, m Admission) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	var sent *upload
	fail := func(r outcome.Reason, err error) (*Response, error) {
		stop()
		_ = c.Close()
		if sent != nil {
			sent.wait()
		}
		at := q.Server
		switch {
		case r == outcome.ReasonMalformedAnswer:
			at += ": " + err.Error()
		case ctx.Err() != nil:
			r = outcome.ReasonOf(ctx)
		}
		return nil, outcome.Ambiguous(r, at, err)
	}
	sent, err := c.writeRequest(p.c.Dialect, q)
	if err != nil {
		return fail(outcome.ReasonConnectionLost, err)
	}
	if q.HeaderTimeout > 0 {
		t := time.AfterFunc(q.HeaderTimeout, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
		defer t.Stop()
	}
	a, err := readHeader(c, q.Method) //nolint:bodyclose // Response.Close closes the connection.
	if err != nil {
		return fail(failureReason(err), err)
	}
	if q.ID != "" && a.Header.Get(p.c.Dialect.RequestID) != q.ID {
		return fail(outcome.ReasonCrossedAnswer, nil)
	}
	if a.StatusCode != http.StatusMisdirectedRequest {
		p.observe(&q, m, a.Header)
	}
	if k := a.Header.Get("Keep-Alive"); k != "" {
		c.idleTimeout = parseKeepAlive(k)
	}
	unstated := a.ContentLength < 0 && len(a.TransferEncoding) == 0
	return &Response{
		Status: a.StatusCode, Header: a.Header, BodyLength: a.ContentLength,
		pool: p, conn: c, body: a.Body, trailer: &a.Trailer, sent: sent, stop: stop,
		closeDelimited: unstated && a.Body != http.NoBody, closing: a.Close || unstated,
	}, nil
}

// observe reports what a server states of itself in the header of an answer.
func (p *Pool) observe(q *Request, m Admission, h http.Header) {
	if h.Get(p.c.Dialect.Leaving) != "" {
		p.c.OnLeaving(q.Server, q.Born)
	}
	if q.ID != "" {
		p.c.OnLimit(q, m, h[http.CanonicalHeaderKey(p.c.Dialect.Limit)])
	}
}

// errTooLarge is the error of a header that passes one of its bounds.
var errTooLarge = errors.New("header of the answer is too large")

// readHeader reads the header of the final answer and skips informational (1xx) ones. It
// fails with errTooLarge if they pass a bound together, and with an *answerhead.Error if one of
// them is malformed.
func readHeader(c *conn, method string) (*http.Response, error) {
	c.in.begin(maxHeaderBytes)
	defer c.in.end()
	for range 1 + maxInterimAnswers {
		a, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if malformed := c.in.heads.Err(); malformed != nil {
			err = malformed
		}
		if err != nil {
			return nil, err
		}
		if countFields(a.Header) > maxHeaderFields {
			return nil, errTooLarge
		}
		if a.StatusCode >= http.StatusOK {
			return a, nil
		}
	}
	return nil, errTooLarge
}

func countFields(h http.Header) int {
	n := 0
	for _, l := range h {
		n += len(l)
	}
	return n
}

// failureReason returns the reason of a failed read: ReasonSilent for a timeout,
// ReasonAnswerTooLarge for a header that passes a bound, ReasonMalformedAnswer for one that is
// malformed, and ReasonConnectionLost for any other error.
func failureReason(err error) outcome.Reason {
	var t interface{ Timeout() bool }
	switch {
	case errors.As(err, &t) && t.Timeout():
		return outcome.ReasonSilent
	case errors.Is(err, errTooLarge):
		return outcome.ReasonAnswerTooLarge
	}
	return answerhead.Reason(err, outcome.ReasonConnectionLost)
}
