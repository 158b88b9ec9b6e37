package daemon

import (
	"context"
	"strconv"
	"time"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/claim"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
)

// StreamClaims returns the name of the log stream with a partition's claims.
func StreamClaims(partition int) string { return "claims-" + strconv.Itoa(partition) }

// pendingAppend is a record that is being appended to the log.
type pendingAppend struct {
	data []byte
	done chan struct{}
	err  error
}

// acquireClaim claims the key in the log. It returns nil if this claim wins.
// Otherwise it fails with an *outcome.Error: log-down with the outcome not-run if the
// append was not confirmed in time, key-claimed with the outcome unknown if another
// claim has won, and key-mismatch if that claim belongs to another request.
func (c *claims) acquireClaim(ctx context.Context, p *partition, q *entryhost.CallRequest, e *execution) error {
	r := claim.Record{Key: q.Key, Nonce: e.nonce, Host: c.d.id, Fingerprint: e.fingerprint}
	for {
		err := c.append(ctx, p, &r)
		if err == nil {
			err = c.catchUp(ctx, p)
		}
		p.mu.Lock()
		w, ok := p.ledger.Get(q.Key)
		p.mu.Unlock()
		switch {
		case err == nil && ok && (w.Nonce == e.nonce || p.reuseAbandoned(w.Nonce, e)):
			return nil
		case err == nil && ok && w.Fingerprint != e.fingerprint:
			return outcome.Refuse(outcome.ReasonKeyMismatch, "the key belongs to another request")
		case err == nil && ok:
			return outcome.Ambiguous(outcome.ReasonKeyClaimed, "claimed by "+w.Host, nil)
		case err != nil && ctx.Err() != nil:
			p.abandon(e.nonce)
			return outcome.Refuse(outcome.ReasonLogDown, "the key could not be claimed")
		}
		if err != nil {
			c.d.metrics.retry("claim", err)
			backoff.Sleep(ctx, 100*time.Millisecond)
		}
	}
}

// append appends a record to the partition's log stream. Records that arrive while
// an append is in progress are batched into the next one.
func (c *claims) append(ctx context.Context, p *partition, r *claim.Record) error {
	w := &pendingAppend{data: r.Encode(), done: make(chan struct{})}
	p.mu.Lock()
	p.queue = append(p.queue, w)
	if !p.flushing {
		p.flushing = true
		go c.flush(p)
	}
	p.mu.Unlock()
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
		return outcome.Ambiguous(outcome.ReasonDeadline, "append", ctx.Err())
	}
}

// flush appends the queued records batch by batch. It pauses for Timing.ClaimLinger
// between batches, which bounds the append rate of a partition.
func (c *claims) flush(p *partition) {
	for {
		p.mu.Lock()
		l := p.queue[:min(len(p.queue), maxClaimBatch)]
		p.queue = p.queue[len(l):]
		p.flushing = len(l) > 0
		p.mu.Unlock()
		if len(l) == 0 {
			return
		}
		var b [][]byte
		for _, w := range l {
			b = append(b, w.data)
		}
		_, err := c.d.log.Append(c.d.ctx, StreamClaims(p.number), b...)
		for _, w := range l {
			w.err = err
			close(w.done)
		}
		backoff.Sleep(c.d.ctx, c.d.s.Timing.ClaimLinger.D())
	}
}

// catchUp replays the partition's log stream to its end.
func (c *claims) catchUp(ctx context.Context, p *partition) error {
	for {
		p.mu.Lock()
		from := p.ledger.Next()
		p.mu.Unlock()
		g, err := c.d.log.Read(ctx, StreamClaims(p.number), from, claimReadLimit, 0)
		if err != nil {
			return err
		}
		p.mu.Lock()
		if g.Oldest > p.ledger.Next() {
			p.ledger.SkipTo(g.Oldest)
		}
		for _, r := range g.Records {
			k, err := claim.Decode(r.Data)
			if err != nil {
				p.ledger.SkipTo(r.Offset + 1)
				continue
			}
			p.ledger.Apply(r.Offset, r.Time, k)
		}
		done := p.ledger.Next() >= g.Next
		p.mu.Unlock()
		if done {
			return nil
		}
	}
}

// releaseClaim releases the claim of a call that was not run.
func (c *claims) releaseClaim(p *partition, key string, e *execution) {
	ctx, cancel := context.WithTimeout(c.d.ctx, 2*time.Second)
	defer cancel()
	r := claim.Record{Key: key, Nonce: e.nonce, Host: c.d.id, Release: true}
	if err := c.append(ctx, p, &r); err != nil {
		c.d.metrics.retry("claim", err)
		return
	}
	if err := c.catchUp(ctx, p); err != nil {
		c.d.metrics.retry("claim", err)
	}
}
