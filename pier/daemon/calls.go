package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/admission"
	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/service"
)

const (
	// callTries is how often a call is tried at the most.
	callTries = 3
	// callWait is the time before the second try; it grows from there.
	callWait = 20 * time.Millisecond
	// retryBurst is how many retries a peer's budget saves up.
	retryBurst = 20
	// downTime is how long a server that refused a connection is passed over.
	downTime = time.Second
)

// calls is the front's way to the plain services: it picks a server by two
// choices on its own count of calls in progress, and retries what may be.
type calls struct {
	d   *Daemon
	log *zap.Logger
	mu  sync.Mutex
	// gate bounds all calls of this host; budgets bound the retries by service.
	gate    *admission.Gate
	budgets map[string]*admission.Budget
	// running counts this host's calls in progress by server.
	running map[string]int
	// down is until when a server is passed over.
	down map[string]time.Time
}

func newCalls(d *Daemon) *calls {
	return &calls{
		d:       d,
		log:     d.logger("calls"),
		gate:    admission.NewGate(admission.GateConfig{Running: d.s.Limits.Running, Waiting: d.s.Limits.Waiting}),
		budgets: make(map[string]*admission.Budget),
		running: make(map[string]int),
		down:    make(map[string]time.Time),
	}
}

// enter waits at the gate and returns the function that gives the place back.
// Errors are *outcome.Error and not-run.
func (c *calls) enter(ctx context.Context) (func(), error) {
	now := time.Now()
	end, ok := ctx.Deadline()
	if !ok {
		end = now.Add(service.DefaultTimeout)
	}
	c.mu.Lock()
	t, err := c.gate.Enter(now, end)
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	leave := func(d time.Duration) {
		c.mu.Lock()
		c.gate.Leave(time.Now(), t, d)
		c.mu.Unlock()
	}
	select {
	case <-t.Ready:
	case <-t.Late:
		return nil, outcome.Refuse(outcome.ReasonDeadline, "in the queue").After(time.Second)
	case <-ctx.Done():
		leave(0)
		return nil, outcome.Refuse(outcome.ReasonDeadline, "in the queue")
	}
	in := time.Now()
	c.d.metrics.queue.Observe(in.Sub(now).Seconds())
	return func() { leave(time.Since(in)) }, nil
}

// budget returns the retry budget of a service; c.mu is held.
func (c *calls) budget(name string) *admission.Budget {
	b := c.budgets[name]
	if b == nil {
		b = admission.NewBudget(admission.BudgetConfig{Ratio: c.d.s.Limits.RetryRatio, Burst: retryBurst})
		c.budgets[name] = b
	}
	return b
}

// call runs a request on a server of the service. A call that may not be
// repeated is tried again only while it was not run.
func (c *calls) call(ctx context.Context, s *release.Service, r *service.Request, idempotent bool) (*service.Answer, error) {
	r.Fresh = !idempotent
	c.mu.Lock()
	c.budget(s.Name).Request()
	c.mu.Unlock()
	var last error
	for try := range callTries {
		if try > 0 && !c.again(ctx, s.Name, last, try) {
			break
		}
		v, err := c.pick(s.Name)
		if err != nil {
			return nil, prefer(last, err)
		}
		a, err := c.one(ctx, &v, r)
		if err == nil {
			return a, nil
		}
		last = err
		if outcome.From(err).Outcome != outcome.NotRun && !idempotent {
			break
		}
	}
	return nil, last
}

// prefer returns the first error when there is one: a later one says less about
// whether the request was run.
func prefer(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// again waits before another try, when the budget and the deadline allow one.
func (c *calls) again(ctx context.Context, name string, last error, try int) bool {
	c.mu.Lock()
	ok := c.budget(name).Retry()
	c.mu.Unlock()
	if !ok {
		c.d.metrics.refusals.WithLabelValues("call", string(outcome.ReasonRetryBudget)).Inc()
		return false
	}
	c.d.metrics.retry("call", last)
	w := callWait << try
	backoff.For(ctx, w/2+rand.N(w))
	return ctx.Err() == nil
}

// one makes one attempt.
func (c *calls) one(ctx context.Context, v *release.Server, r *service.Request) (*service.Answer, error) {
	c.mu.Lock()
	c.running[v.Name]++
	c.mu.Unlock()
	a, err := c.d.service.Call(ctx, v.Address, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[v.Name]--; c.running[v.Name] == 0 {
		delete(c.running, v.Name)
	}
	if outcome.Is(err, outcome.ReasonUnreachable) {
		c.down[v.Name] = time.Now().Add(downTime)
	}
	return a, err
}

// pick takes two random servers of a service that are not leaving, and returns
// the one with fewer calls in progress for its capacity.
func (c *calls) pick(name string) (release.Server, error) {
	now := time.Now()
	var up, all []release.Server
	c.mu.Lock()
	defer c.mu.Unlock()
	c.d.notes.snapshot().EachOf(release.Key{Kind: release.KindService, Name: name}, func(v release.Server) {
		if v.Leaving || c.d.owners.isLeaving(v.Address) {
			return
		}
		all = append(all, v)
		if now.After(c.down[v.Name]) {
			up = append(up, v)
		}
	})
	if len(up) == 0 {
		up = all
	}
	if len(up) == 0 {
		return release.Server{}, outcome.Refuse(outcome.ReasonNoServer, "service/"+name)
	}
	a, b := &up[rand.IntN(len(up))], &up[rand.IntN(len(up))]
	if float64(c.running[b.Name])/float64(b.Capacity) < float64(c.running[a.Name])/float64(a.Capacity) {
		return *b, nil
	}
	return *a, nil
}

// serve takes a caller's call to a service: through the holder of its key's
// partition when it has one and may not be repeated, straight to a server
// otherwise.
func (c *calls) serve(ctx context.Context, q *entryhost.CallRequest) (*entryhost.CallAnswer, error) {
	s, ok := c.d.notes.snapshot().Service(q.Service)
	if !ok {
		return nil, outcome.Refuse(outcome.ReasonUnknownName, "service/"+q.Service)
	}
	ctx, cancel := context.WithTimeout(ctx, service.Timeout(&s))
	defer cancel()
	idempotent := service.Idempotent(&s, q.Method, q.Path)
	if !idempotent && q.Key != "" {
		return c.claimed(ctx, q)
	}
	leave, err := c.enter(ctx)
	if err != nil {
		return nil, err
	}
	defer leave()
	a, err := c.call(ctx, &s, requestOf(q), idempotent)
	if err != nil {
		return nil, err
	}
	return answerOf(a), nil
}

func requestOf(q *entryhost.CallRequest) *service.Request {
	return &service.Request{ID: q.ID, Method: q.Method, Path: q.Path, ContentType: q.ContentType, Body: q.Body}
}

func answerOf(a *service.Answer) *entryhost.CallAnswer {
	return &entryhost.CallAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
}

// claimed passes a keyed call to the holder of its partition. As the key's claim
// makes it run once at most, the call itself may be sent again.
func (c *calls) claimed(ctx context.Context, q *entryhost.CallRequest) (*entryhost.CallAnswer, error) {
	var last error
	for try := 0; ; try++ {
		id, err := c.d.members.holder(claimKey(q.Key), "")
		if err != nil {
			return nil, prefer(last, err)
		}
		var a entryhost.CallAnswer
		err = c.d.call(ctx, id, entryhost.Call, q, &a)
		if err == nil {
			return &a, nil
		}
		e := outcome.From(err)
		if !moved(e) {
			return nil, err
		}
		if last == nil || e.Outcome == outcome.Unknown {
			last = err
		}
		c.d.metrics.retry("claimed-call", err)
		backoff.For(ctx, backoff.Doubled(callWait, callWait<<5, try))
		if ctx.Err() != nil {
			return nil, last
		}
	}
}

// moved reports whether an error is of the way to the holder and not its answer.
func moved(e *outcome.Error) bool {
	switch e.Reason {
	case outcome.ReasonNotOwner, outcome.ReasonDraining:
		return true
	case outcome.ReasonUnreachable, outcome.ReasonConnectionLost, outcome.ReasonSilent:
		return !e.Remote
	}
	return false
}
