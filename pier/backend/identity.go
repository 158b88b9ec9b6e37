package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"mulberrypier.example/pier/outcome"
)

const (
	// identityTimeout bounds the time in which a server has to state when it started.
	identityTimeout = 500 * time.Millisecond
	// maxIdentityBytes bounds the body of that answer.
	maxIdentityBytes = 1 << 20
)

// verify returns an error, whose outcome is not-run, if q requires an incarnation and another one
// answers on c. A connection leads to one incarnation for as long as it is open, so that is found
// out once for each. A server that does not state when it started is taken for the one that is
// registered, unless q continues what was generated before: then the registration has to confirm
// that. After an error the connection is closed.
func (p *Pool) verify(ctx context.Context, c *conn, q *Request) error {
	if err := p.verifyStated(ctx, c, q); err != nil {
		return err
	}
	if !q.Continues || !c.born.IsZero() {
		return nil
	}
	if err := p.c.Confirm(ctx, q, c.openedAt); err != nil {
		_ = c.Close()
		return err
	}
	c.born = q.Born
	return nil
}

// verifyStated compares the start that the server states, if q requires that, with the one of q.
func (p *Pool) verifyStated(ctx context.Context, c *conn, q *Request) error {
	if q.SameIncarnation && p.c.Identity.Target != "" && !c.asked {
		if err := p.ask(ctx, c, q); err != nil {
			return err
		}
	}
	if (q.SameIncarnation || q.Continues) && !c.mayLeadTo(q.Born) {
		_ = c.Close()
		return outcome.Refuse(outcome.ReasonOtherIncarnation, q.Server)
	}
	return nil
}

// mayLeadTo reports whether the incarnation that started at born may answer on the connection.
func (c *conn) mayLeadTo(born time.Time) bool {
	if c.born.IsZero() {
		return c.openedFor.Equal(born)
	}
	return c.born.Equal(born)
}

// ask asks the server on c when it started. After an error c is closed.
func (p *Pool) ask(ctx context.Context, c *conn, q *Request) error {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	r, err := p.exchange(ctx, c, Request{
		Server: q.Server, Address: q.Address, Born: q.Born, Method: http.MethodGet, Target: p.c.Identity.Target, Host: q.Address.String(),
	}, Admission{})
	if err != nil {
		return outcome.RefuseWithCause(outcome.AsError(err).Reason, q.Server, err)
	}
	b, err := io.ReadAll(io.LimitReader(r, maxIdentityBytes))
	if err != nil || !r.release() {
		_ = c.Close()
		return outcome.RefuseWithCause(outcome.ReasonConnectionLost, q.Server, err)
	}
	c.asked = true
	if r.Status == http.StatusOK {
		c.born, _ = p.c.Identity.Started(b)
	}
	return nil
}
