package daemon

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/claim"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/incarnation"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/service"
)

const (
	// maxClockSkew is the maximum difference between the clocks of callers, hosts
	// and the log.
	maxClockSkew = 30 * time.Second
	// claimReadLimit is the maximum number of claim records in one read.
	claimReadLimit = 4096
	// maxClaimBatch is the maximum number of claim records in one append.
	maxClaimBatch = 256
	// claimDeadlineMargin is how long before the caller's deadline an attempt to
	// claim a key is abandoned.
	claimDeadlineMargin = 200 * time.Millisecond
	// sweepInterval is the time between two searches for what has expired.
	sweepInterval = 5 * time.Second
	// partitionIdleTimeout is how long an unused partition is kept in memory.
	partitionIdleTimeout = 10 * time.Minute
)

// claimKey returns the rendezvous key of the partition that an idempotency key
// belongs to.
func claimKey(key string) string { return "claims:" + strconv.Itoa(claim.PartitionOf(key)) }

// claims is the role that executes calls with an idempotency key at most once: it
// claims the keys in the log, runs the calls and keeps their answers.
type claims struct {
	d          *Daemon
	log        *zap.Logger
	mu         sync.Mutex
	partitions map[int]*partition
}

func newClaims(d *Daemon) *claims {
	return &claims{d: d, log: d.logger("claims"), partitions: make(map[int]*partition)}
}

// run periodically removes expired answers and unused partitions.
func (c *claims) run(ctx context.Context) {
	every(ctx, sweepInterval, c.sweep)
}

// sweep removes expired answers and the partitions that have been unused for
// partitionIdleTimeout, and updates the metric of claims kept.
func (c *claims) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for n, p := range c.partitions {
		p.mu.Lock()
		p.expire(now, c.d.s.Timing.KeyHorizon.D())
		total += p.ledger.Len()
		if len(p.executions) == 0 && !p.flushing && now.Sub(p.lastUsed) > partitionIdleTimeout {
			delete(c.partitions, n)
		}
		p.mu.Unlock()
	}
	c.d.metrics.claims.Set(float64(total))
}

// call executes a call with an idempotency key at most once. If this host already
// has a call with the key, in progress or answered, it returns that call's result.
func (c *claims) call(ctx context.Context, q *entryhost.CallRequest) (*entryhost.CallAnswer, error) {
	fingerprint := claim.FingerprintOf([]byte(q.Service), []byte(q.Method), []byte(q.Path), q.Body)
	p := c.partition(q.Key)
	p.mu.Lock()
	p.lastUsed = time.Now()
	e := p.executions[q.Key]
	if e == nil {
		if c.d.drain.stopping() {
			p.mu.Unlock()
			return nil, outcome.Refuse(outcome.ReasonDraining, "partition moves to another host")
		}
		if err := p.ledger.Admit(time.Now(), q.Issued); err != nil {
			p.mu.Unlock()
			return nil, c.d.metrics.refuse("claim", err)
		}
		e = &execution{
			done:        make(chan struct{}),
			fingerprint: fingerprint,
			nonce:       incarnation.Nonce(),
			startedAt:   time.Now(),
		}
		p.executions[q.Key] = e
		c.d.wg.Add(1)
		go c.execute(p, q, e, claimDeadline(ctx))
	}
	p.mu.Unlock()
	if e.fingerprint != fingerprint {
		return nil, outcome.Refuse(outcome.ReasonKeyMismatch, "the key belongs to another request")
	}
	select {
	case <-e.done:
		return e.answer, e.err
	case <-ctx.Done():
		return nil, outcome.Ambiguous(outcome.ReasonDeadline, "the call goes on; ask again with its key", ctx.Err())
	}
}

// claimDeadline returns the time until which a key may be claimed for a caller. It
// lies before the caller's deadline, so that a refusal can still reach the caller.
func claimDeadline(ctx context.Context) time.Time {
	t, ok := ctx.Deadline()
	if !ok {
		return time.Now().Add(service.DefaultTimeout)
	}
	return t.Add(-min(claimDeadlineMargin, time.Until(t)/4))
}

// execute claims the key, runs the call and keeps its answer. It continues when the
// caller disconnects, since the caller may ask for the answer again.
func (c *claims) execute(p *partition, q *entryhost.CallRequest, e *execution, deadline time.Time) {
	defer c.d.wg.Done()
	s, ok := c.d.notes.snapshot().Service(q.Service)
	if !ok {
		c.finish(p, q.Key, e, nil, outcome.Refuse(outcome.ReasonUnknownName, "service/"+q.Service))
		return
	}
	ctx, cancel := context.WithTimeout(c.d.ctx, service.Timeout(&s))
	defer cancel()
	claimCtx, cancelClaim := context.WithDeadline(ctx, deadline)
	err := c.acquireClaim(claimCtx, p, q, e)
	cancelClaim()
	if outcome.HasReason(err, outcome.ReasonKeyClaimed) {
		a, err := c.fetchAnswer(ctx, p, q.Key, err)
		c.finish(p, q.Key, e, a, err)
		return
	}
	if err != nil {
		c.finish(p, q.Key, e, nil, err)
		return
	}
	p.mu.Lock()
	w, _ := p.ledger.Get(q.Key)
	bug.Assert(w.Nonce == e.nonce, bug.AtMostOnce,
		"key %s: call would run under claim %s, which is not the winning one", q.Key, e.nonce)
	p.mu.Unlock()
	a, err := c.d.calls.call(ctx, &s, serviceRequest(q), false)
	if err == nil {
		c.finish(p, q.Key, e, callAnswer(a), nil)
		return
	}
	if outcome.AsError(err).Outcome == outcome.NotRun {
		c.releaseClaim(p, q.Key, e)
	}
	c.finish(p, q.Key, e, nil, err)
}

// fetchAnswer asks the host that made the winning claim for the stored answer, which
// is needed after the partition has moved to this host. It returns claimErr, whose
// outcome is unknown, if the answer is not available.
func (c *claims) fetchAnswer(ctx context.Context, p *partition, key string, claimErr error) (*entryhost.CallAnswer, error) {
	p.mu.Lock()
	w, ok := p.ledger.Get(key)
	p.mu.Unlock()
	if !ok || w.Host == c.d.id || !c.d.members.alive(w.Host) {
		return nil, claimErr
	}
	var a entryhost.CallAnswer
	if err := c.d.call(ctx, w.Host, entryhost.FetchAnswer,
		&entryhost.FetchAnswerRequest{Key: key, Nonce: w.Nonce}, &a); err != nil {
		c.d.metrics.retry("claim-answer", err)
		return nil, claimErr
	}
	return &a, nil
}

// storedAnswer returns the answer to a call that this host runs or has run under
// the given claim. It waits for a call in progress.
func (c *claims) storedAnswer(ctx context.Context, q *entryhost.FetchAnswerRequest) (*entryhost.CallAnswer, error) {
	p := c.partition(q.Key)
	p.mu.Lock()
	e := p.executions[q.Key]
	ours := e != nil && e.nonce == q.Nonce
	p.mu.Unlock()
	if !ours {
		return nil, outcome.Ambiguous(outcome.ReasonKeyClaimed, "the answer is not kept", nil)
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		return nil, outcome.Ambiguous(outcome.ReasonDeadline, "the call goes on", ctx.Err())
	}
	if e.answer == nil {
		return nil, outcome.Ambiguous(outcome.ReasonKeyClaimed, "the call had no answer", e.err)
	}
	return e.answer, nil
}

// finish sets the result of a call and drops other answers while the memory for
// answers is exceeded. A call that was not run is forgotten, so that its key can be
// used again.
func (c *claims) finish(p *partition, key string, e *execution, a *entryhost.CallAnswer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		err = c.d.metrics.refuse("claim", err)
	}
	e.answer, e.err = a, err
	close(e.done)
	if err != nil && outcome.AsError(err).Outcome == outcome.NotRun {
		delete(p.executions, key)
		return
	}
	if a != nil {
		p.answerBytes += int64(len(a.Body))
	}
	for k, o := range p.executions {
		if p.answerBytes <= c.d.s.Limits.AnswerBytes/claim.Partitions {
			break
		}
		if o != e && isClosed(o.done) {
			p.dropAnswer(k, o)
		}
	}
}

// busy reports whether a claimed call is in progress on this host.
func (c *claims) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.partitions {
		p.mu.Lock()
		n := 0
		for _, e := range p.executions {
			if !isClosed(e.done) {
				n++
			}
		}
		p.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}
