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
	// maxCallAttempts is the maximum number of attempts of one call.
	maxCallAttempts = 3
	// callBackoff is the base of the exponential backoff between attempts.
	callBackoff = 20 * time.Millisecond
	// retryBudgetBurst is the maximum number of retries that a service's budget
	// accumulates.
	retryBudgetBurst = 20
	// avoidPeriod is how long a server that could not be reached is avoided.
	avoidPeriod = time.Second
)

// calls forwards calls to plain services. For each attempt it picks the less loaded
// of two random servers, by this host's own count of calls in progress, and it
// retries attempts that are safe to repeat.
type calls struct {
	d   *Daemon
	log *zap.Logger
	mu  sync.Mutex
	// gate bounds all calls of this host; budgets bounds the retries per service.
	gate    *admission.Gate
	budgets map[string]*admission.Budget
	// running counts this host's calls in progress per server.
	running map[string]int
	// avoidUntil is the time until which a server is avoided, by server name.
	avoidUntil map[string]time.Time
}

func newCalls(d *Daemon) *calls {
	return &calls{
		d:          d,
		log:        d.logger("calls"),
		gate:       admission.NewGate(admission.GateConfig{Running: d.s.Limits.Running, Waiting: d.s.Limits.Waiting}),
		budgets:    make(map[string]*admission.Budget),
		running:    make(map[string]int),
		avoidUntil: make(map[string]time.Time),
	}
}

// admit waits until the gate admits a call and returns the function to be called
// when the call ends. It fails with an *outcome.Error whose outcome is not-run.
func (c *calls) admit(ctx context.Context) (func(), error) {
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
	case <-t.Expired:
		return nil, outcome.Refuse(outcome.ReasonDeadline, "in the queue").After(time.Second)
	case <-ctx.Done():
		leave(0)
		return nil, outcome.Refuse(outcome.ReasonDeadline, "in the queue")
	}
	admitted := time.Now()
	c.d.metrics.queueTime.Observe(admitted.Sub(now).Seconds())
	return func() { leave(time.Since(admitted)) }, nil
}

// budget returns the retry budget of a service. c.mu must be held.
func (c *calls) budget(name string) *admission.Budget {
	b := c.budgets[name]
	if b == nil {
		b = admission.NewBudget(admission.BudgetConfig{Ratio: c.d.s.Limits.RetryRatio, Burst: retryBudgetBurst})
		c.budgets[name] = b
	}
	return b
}

// call executes a request on a server of the service. A request that is not
// idempotent is retried only if the failed attempt was not run.
func (c *calls) call(ctx context.Context, s *release.Service, r *service.Request, idempotent bool) (*service.Answer, error) {
	r.NewConnection = !idempotent
	c.mu.Lock()
	c.budget(s.Name).Request()
	c.mu.Unlock()
	var last error
	for attempt := range maxCallAttempts {
		if attempt > 0 && !c.retryAfterBackoff(ctx, s.Name, last, attempt) {
			break
		}
		v, err := c.pickServer(s.Name)
		if err != nil {
			return nil, firstError(last, err)
		}
		a, err := c.callServer(ctx, &v, r)
		if err == nil {
			return a, nil
		}
		last = err
		if outcome.AsError(err).Outcome != outcome.NotRun && !idempotent {
			break
		}
	}
	return nil, last
}

// firstError returns a unless it is nil, otherwise b. The first error of a call
// tells more about whether the request was run than a later one.
func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// retryAfterBackoff waits before the next attempt and reports whether it may be
// made. It returns false without waiting if the retry budget is exhausted, and
// false if ctx ends during the wait.
func (c *calls) retryAfterBackoff(ctx context.Context, name string, last error, attempt int) bool {
	c.mu.Lock()
	ok := c.budget(name).AllowRetry()
	c.mu.Unlock()
	if !ok {
		c.d.metrics.refusals.WithLabelValues("call", string(outcome.ReasonRetryBudget)).Inc()
		return false
	}
	c.d.metrics.retry("call", last)
	w := callBackoff << attempt
	backoff.Sleep(ctx, w/2+rand.N(w))
	return ctx.Err() == nil
}

// callServer makes one attempt on the given server.
func (c *calls) callServer(ctx context.Context, v *release.Server, r *service.Request) (*service.Answer, error) {
	c.mu.Lock()
	c.running[v.Name]++
	c.mu.Unlock()
	a, err := c.d.service.Call(ctx, v.Address, r)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[v.Name]--; c.running[v.Name] == 0 {
		delete(c.running, v.Name)
	}
	if outcome.HasReason(err, outcome.ReasonUnreachable) {
		c.avoidUntil[v.Name] = time.Now().Add(avoidPeriod)
	}
	return a, err
}

// pickServer draws two random servers of a service and returns the one with fewer
// calls in progress relative to its capacity. Leaving servers are excluded;
// recently unreachable ones are avoided unless no others are left.
func (c *calls) pickServer(name string) (release.Server, error) {
	now := time.Now()
	var reachable, all []release.Server
	c.mu.Lock()
	defer c.mu.Unlock()
	c.d.notes.snapshot().EachServerIn(release.Key{Kind: release.KindService, Name: name}, func(v release.Server) {
		if v.Leaving || c.d.owners.isLeaving(v.Address) {
			return
		}
		all = append(all, v)
		if now.After(c.avoidUntil[v.Name]) {
			reachable = append(reachable, v)
		}
	})
	if len(reachable) == 0 {
		reachable = all
	}
	if len(reachable) == 0 {
		return release.Server{}, outcome.Refuse(outcome.ReasonNoServer, "service/"+name)
	}
	a, b := &reachable[rand.IntN(len(reachable))], &reachable[rand.IntN(len(reachable))]
	if float64(c.running[b.Name])/float64(b.Capacity) < float64(c.running[a.Name])/float64(a.Capacity) {
		return *b, nil
	}
	return *a, nil
}

// serve executes a caller's call to a service. A call with an idempotency key that
// is not idempotent itself goes through the holder of the key's partition; all
// others go straight to a server.
func (c *calls) serve(ctx context.Context, q *entryhost.CallRequest) (*entryhost.CallAnswer, error) {
	s, ok := c.d.notes.snapshot().Service(q.Service)
	if !ok {
		return nil, outcome.Refuse(outcome.ReasonUnknownName, "service/"+q.Service)
	}
	ctx, cancel := context.WithTimeout(ctx, service.Timeout(&s))
	defer cancel()
	idempotent := service.Idempotent(&s, q.Method, q.Path)
	if !idempotent && q.Key != "" {
		return c.callWithKey(ctx, q)
	}
	leave, err := c.admit(ctx)
	if err != nil {
		return nil, err
	}
	defer leave()
	a, err := c.call(ctx, &s, serviceRequest(q), idempotent)
	if err != nil {
		return nil, err
	}
	return callAnswer(a), nil
}

func serviceRequest(q *entryhost.CallRequest) *service.Request {
	return &service.Request{ID: q.ID, Method: q.Method, Path: q.Path, ContentType: q.ContentType, Body: q.Body}
}

func callAnswer(a *service.Answer) *entryhost.CallAnswer {
	return &entryhost.CallAnswer{Status: a.Status, ContentType: a.ContentType, Body: a.Body}
}

// callWithKey forwards a call with an idempotency key to the holder of the key's
// partition. The claim on the key makes the call run at most once, so forwarding it
// again after an error is safe.
func (c *calls) callWithKey(ctx context.Context, q *entryhost.CallRequest) (*entryhost.CallAnswer, error) {
	var last error
	for attempt := 0; ; attempt++ {
		id, err := c.d.members.holder(claimKey(q.Key), "")
		if err != nil {
			return nil, firstError(last, err)
		}
		var a entryhost.CallAnswer
		err = c.d.call(ctx, id, entryhost.Call, q, &a)
		if err == nil {
			return &a, nil
		}
		e := outcome.AsError(err)
		if !isRoutingError(e) {
			return nil, err
		}
		if last == nil || e.Outcome == outcome.Unknown {
			last = err
		}
		c.d.metrics.retry("claimed-call", err)
		backoff.Sleep(ctx, backoff.Exponential(callBackoff, callBackoff<<5, attempt))
		if ctx.Err() != nil {
			return nil, last
		}
	}
}

// isRoutingError reports whether an error means that the holder was not reached or
// has changed, as opposed to an error that is the holder's answer.
func isRoutingError(e *outcome.Error) bool {
	switch e.Reason {
	case outcome.ReasonNotOwner, outcome.ReasonDraining:
		return true
	case outcome.ReasonUnreachable, outcome.ReasonConnectionLost, outcome.ReasonSilent:
		return !e.Remote
	}
	return false
}
