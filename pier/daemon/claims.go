package daemon

import (
	"context"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/claim"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/incarnation"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/service"
)

const (
	// claimSkew is how far the clocks of callers, hosts and log may be apart.
	claimSkew = 30 * time.Second
	// claimPage is how many claim records one read returns at most.
	claimPage = 4096
	// claimBatch is the greatest number of claims on one append.
	claimBatch = 256
	// claimMargin is how long before the caller's deadline a claim is given up.
	claimMargin = 200 * time.Millisecond
	// claimIdle is how long a partition that nobody asks for is kept.
	claimIdle = 10 * time.Minute
)

// claimKey is the rendezvous key of the partition of an idempotency key.
func claimKey(key string) string { return "claims:" + strconv.Itoa(claim.PartitionOf(key)) }

// StreamClaims returns the log's stream of a partition's claims.
func StreamClaims(partition int) string { return "claims-" + strconv.Itoa(partition) }

// execution is one claimed call on this host.
type execution struct {
	// done is closed when answer or err is set.
	done   chan struct{}
	answer *entryhost.CallAnswer
	err    error
	print  uint64
	nonce  string
	at     time.Time
}

// partition is the shell of one claim.Ledger.
type partition struct {
	n  int
	mu sync.Mutex
	l  *claim.Ledger
	// runs holds the calls of this host by key, running and answered.
	runs map[string]*execution
	// queue holds the records that wait for the append in progress.
	queue []*pending
	busy  bool
	used  time.Time
	bytes int64
	// abandoned holds nonces of this host's claims whose call will never be run:
	// the log did not say in time whether it took them.
	abandoned map[string]bool
}

// pending is a record on its way into the log.
type pending struct {
	data []byte
	done chan struct{}
	err  error
}

// claims is the role that runs keyed calls at most once: it claims their keys in
// the log, runs them and keeps their answers.
type claims struct {
	d   *Daemon
	log *zap.Logger
	mu  sync.Mutex
	m   map[int]*partition
}

func newClaims(d *Daemon) *claims {
	return &claims{d: d, log: d.logger("claims"), m: make(map[int]*partition)}
}

// run forgets old answers and partitions that are not asked for.
func (c *claims) run(ctx context.Context) {
	k := time.NewTicker(5 * time.Second)
	defer k.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-k.C:
			c.sweep(n)
		}
	}
}

func (c *claims) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for n, p := range c.m {
		p.mu.Lock()
		p.expire(now, c.d.s.Timing.KeyHorizon.D())
		total += p.l.Len()
		if len(p.runs) == 0 && !p.busy && now.Sub(p.used) > claimIdle {
			delete(c.m, n)
		}
		p.mu.Unlock()
	}
	c.d.metrics.claims.Set(float64(total))
}

// expire forgets answers of keys past the horizon; p.mu is held.
func (p *partition) expire(now time.Time, horizon time.Duration) {
	for k, e := range p.runs {
		if isClosed(e.done) && now.Sub(e.at) > horizon+2*claimSkew {
			p.forget(k, e)
		}
	}
}

// forget drops an answer; p.mu is held. The claim itself stays in the log.
func (p *partition) forget(key string, e *execution) {
	if e.answer != nil {
		p.bytes -= int64(len(e.answer.Body))
	}
	delete(p.runs, key)
}

func (c *claims) partition(key string) *partition {
	n := claim.PartitionOf(key)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.m[n]
	if p == nil {
		p = &partition{n: n, runs: make(map[string]*execution), abandoned: make(map[string]bool), l: claim.New(claim.Config{
			Horizon: c.d.s.Timing.KeyHorizon.D(),
			Skew:    claimSkew,
			Max:     c.d.s.Limits.ClaimsPerPartition,
		})}
		c.m[n] = p
	}
	return p
}

// call runs a keyed call at most once, or joins the one that runs already.
func (c *claims) call(ctx context.Context, q *entryhost.CallRequest) (*entryhost.CallAnswer, error) {
	print := claim.PrintOf([]byte(q.Service), []byte(q.Method), []byte(q.Path), q.Body)
	p := c.partition(q.Key)
	p.mu.Lock()
	p.used = time.Now()
	e := p.runs[q.Key]
	if e == nil {
		if c.d.drain.stopping() {
			p.mu.Unlock()
			return nil, outcome.Refuse(outcome.ReasonDraining, "partition moves to another host")
		}
		if err := p.l.Admit(time.Now(), q.Issued); err != nil {
			p.mu.Unlock()
			return nil, c.d.metrics.refuse("claim", err)
		}
		e = &execution{done: make(chan struct{}), print: print, nonce: incarnation.Nonce(), at: time.Now()}
		p.runs[q.Key] = e
		c.d.wg.Add(1)
		go c.execute(p, q, e, endOf(ctx))
	}
	p.mu.Unlock()
	if e.print != print {
		return nil, outcome.Refuse(outcome.ReasonKeyMismatch, "the key belongs to another request")
	}
	select {
	case <-e.done:
		return e.answer, e.err
	case <-ctx.Done():
		return nil, outcome.Lost(outcome.ReasonDeadline, "the call goes on; ask again with its key", ctx.Err())
	}
}

// endOf returns until when a key may be claimed for a caller: a little before its
// deadline, so that a refusal still reaches it.
func endOf(ctx context.Context) time.Time {
	t, ok := ctx.Deadline()
	if !ok {
		return time.Now().Add(service.DefaultTimeout)
	}
	return t.Add(-min(claimMargin, time.Until(t)/4))
}

// execute claims the key, runs the call and keeps its answer. It goes on when
// the caller leaves, as the answer may be asked for again.
func (c *claims) execute(p *partition, q *entryhost.CallRequest, e *execution, end time.Time) {
	defer c.d.wg.Done()
	s, ok := c.d.notes.snapshot().Service(q.Service)
	if !ok {
		c.finish(p, q.Key, e, nil, outcome.Refuse(outcome.ReasonUnknownName, "service/"+q.Service))
		return
	}
	ctx, cancel := context.WithTimeout(c.d.ctx, service.Timeout(&s))
	defer cancel()
	y, halt := context.WithDeadline(ctx, end)
	err := c.win(y, p, q, e)
	halt()
	if outcome.Is(err, outcome.ReasonKeyClaimed) {
		a, err := c.askClaimant(ctx, p, q.Key, err)
		c.finish(p, q.Key, e, a, err)
		return
	}
	if err != nil {
		c.finish(p, q.Key, e, nil, err)
		return
	}
	p.mu.Lock()
	w, _ := p.l.Get(q.Key)
	bug.Assert(w.Nonce == e.nonce, bug.AtMostOnce, "key %s: claim of %s runs", q.Key, e.nonce)
	p.mu.Unlock()
	a, err := c.d.calls.call(ctx, &s, requestOf(q), false)
	if err == nil {
		c.finish(p, q.Key, e, answerOf(a), nil)
		return
	}
	if outcome.From(err).Outcome == outcome.NotRun {
		c.giveBack(p, q.Key, e)
	}
	c.finish(p, q.Key, e, nil, err)
}

// askClaimant asks the host whose claim is in force for the answer that it keeps,
// as the partition has moved since. Without one the outcome is not known.
func (c *claims) askClaimant(ctx context.Context, p *partition, key string, why error) (*entryhost.CallAnswer, error) {
	p.mu.Lock()
	w, ok := p.l.Get(key)
	p.mu.Unlock()
	if !ok || w.Host == c.d.id || !c.d.members.alive(w.Host) {
		return nil, why
	}
	var a entryhost.CallAnswer
	if err := c.d.call(ctx, w.Host, entryhost.Answer, &entryhost.AnswerRequest{Key: key, Nonce: w.Nonce}, &a); err != nil {
		c.d.metrics.retry("claim-answer", err)
		return nil, why
	}
	return &a, nil
}

// kept returns the answer to a call that this host runs or ran under a claim.
func (c *claims) kept(ctx context.Context, q *entryhost.AnswerRequest) (*entryhost.CallAnswer, error) {
	p := c.partition(q.Key)
	p.mu.Lock()
	e := p.runs[q.Key]
	same := e != nil && e.nonce == q.Nonce
	p.mu.Unlock()
	if !same {
		return nil, outcome.Lost(outcome.ReasonKeyClaimed, "the answer is not kept", nil)
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		return nil, outcome.Lost(outcome.ReasonDeadline, "the call goes on", ctx.Err())
	}
	if e.answer == nil {
		return nil, outcome.Lost(outcome.ReasonKeyClaimed, "the call had no answer", e.err)
	}
	return e.answer, nil
}

// finish sets the result of a call and bounds the memory for answers.
func (c *claims) finish(p *partition, key string, e *execution, a *entryhost.CallAnswer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		err = c.d.metrics.refuse("claim", err)
	}
	e.answer, e.err = a, err
	close(e.done)
	if err != nil && outcome.From(err).Outcome == outcome.NotRun {
		delete(p.runs, key)
		return
	}
	if a != nil {
		p.bytes += int64(len(a.Body))
	}
	for k, o := range p.runs {
		if p.bytes <= c.d.s.Limits.AnswerBytes/claim.Partitions {
			break
		}
		if o != e && isClosed(o.done) {
			p.forget(k, o)
		}
	}
}

// win claims the key in the log. It returns nil when this claim is the one in
// force; otherwise an *outcome.Error: log-down and not-run when the claim may
// not be in force, key-claimed and unknown when another one is.
func (c *claims) win(ctx context.Context, p *partition, q *entryhost.CallRequest, e *execution) error {
	r := claim.Record{Key: q.Key, Nonce: e.nonce, Host: c.d.id, Print: e.print}
	for {
		err := c.append(ctx, p, &r)
		if err == nil {
			err = c.catchUp(ctx, p)
		}
		p.mu.Lock()
		w, ok := p.l.Get(q.Key)
		p.mu.Unlock()
		switch {
		case err == nil && ok && (w.Nonce == e.nonce || p.takeOver(w.Nonce, e)):
			return nil
		case err == nil && ok && w.Print != e.print:
			return outcome.Refuse(outcome.ReasonKeyMismatch, "the key belongs to another request")
		case err == nil && ok:
			return outcome.Lost(outcome.ReasonKeyClaimed, "claimed by "+w.Host, nil)
		case err != nil && ctx.Err() != nil:
			p.abandon(e.nonce)
			return outcome.Refuse(outcome.ReasonLogDown, "the key could not be claimed")
		}
		if err != nil {
			c.d.metrics.retry("claim", err)
			backoff.For(ctx, 100*time.Millisecond)
		}
	}
}

// abandon notes that the call of a claim will not be run.
func (p *partition) abandon(nonce string) {
	p.mu.Lock()
	p.abandoned[nonce] = true
	p.mu.Unlock()
}

// takeOver lets a call run under an earlier claim of this host that was
// abandoned, and reports whether it may.
func (p *partition) takeOver(nonce string, e *execution) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.abandoned[nonce] {
		return false
	}
	delete(p.abandoned, nonce)
	e.nonce = nonce
	return true
}

// append puts a record into the partition's stream. Records that come while an
// append is in progress go together on the next one.
func (c *claims) append(ctx context.Context, p *partition, r *claim.Record) error {
	w := &pending{data: r.Encode(), done: make(chan struct{})}
	p.mu.Lock()
	p.queue = append(p.queue, w)
	if !p.busy {
		p.busy = true
		go c.flush(p)
	}
	p.mu.Unlock()
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
		return outcome.Lost(outcome.ReasonDeadline, "append", ctx.Err())
	}
}

// flush appends what waits, batch after batch, with a pause that bounds the
// appends of a partition.
func (c *claims) flush(p *partition) {
	for {
		p.mu.Lock()
		l := p.queue[:min(len(p.queue), claimBatch)]
		p.queue = p.queue[len(l):]
		p.busy = len(l) > 0
		p.mu.Unlock()
		if len(l) == 0 {
			return
		}
		var b [][]byte
		for _, w := range l {
			b = append(b, w.data)
		}
		_, err := c.d.log.Append(c.d.ctx, StreamClaims(p.n), b...)
		for _, w := range l {
			w.err = err
			close(w.done)
		}
		backoff.For(c.d.ctx, c.d.s.Timing.ClaimLinger.D())
	}
}

// catchUp reads the partition's stream to its end.
func (c *claims) catchUp(ctx context.Context, p *partition) error {
	for {
		p.mu.Lock()
		from := p.l.Next()
		p.mu.Unlock()
		g, err := c.d.log.Read(ctx, StreamClaims(p.n), from, claimPage, 0)
		if err != nil {
			return err
		}
		p.mu.Lock()
		if g.Oldest > p.l.Next() {
			p.l.Skip(g.Oldest)
		}
		for _, r := range g.Records {
			k, err := claim.Decode(r.Data)
			if err != nil {
				p.l.Skip(r.Offset + 1)
				continue
			}
			p.l.Apply(r.Offset, r.Time, k)
		}
		done := p.l.Next() >= g.Next
		p.mu.Unlock()
		if done {
			return nil
		}
	}
}

// giveBack releases a claim whose call was not run.
func (c *claims) giveBack(p *partition, key string, e *execution) {
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

// busy reports whether a claimed call is in progress on this host.
func (c *claims) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.m {
		p.mu.Lock()
		n := 0
		for _, e := range p.runs {
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
