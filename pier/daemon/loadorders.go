package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/engine"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/weights"
)

const (
	// permitLease is how long a permit to load weights is valid unless it is
	// released earlier.
	permitLease = 30 * time.Second
	// permitRetryDelay is how long an owner waits before it asks again for a
	// permit.
	permitRetryDelay = 200 * time.Millisecond
	// orderRetryDelay is how long an owner waits after a failed load.
	orderRetryDelay = 500 * time.Millisecond
)

// requestVersions requests the newest version of each trainer's weights on every
// owned server of the trainer's deployment. o.mu must be held.
func (o *owners) requestVersions() {
	s := o.d.notes.snapshot()
	for _, n := range o.table.Names() {
		v, _ := o.table.Get(n)
		s.EachTrainer(func(t release.Trainer) {
			if w := o.versions[t.Name]; t.Deployment == v.Deployment && w > 0 {
				k := weights.Target{Server: n, Model: t.Name}
				o.orders.SetWanted(k, w)
				o.orders.Report(time.Now(), k, o.table.Version(n, t.Name), o.failedLoads[n] == t.Name)
			}
		})
	}
	o.orders.Retain(func(t weights.Target) bool { return o.table.Owns(t.Server) })
}

// advanceOrder carries out one action on a load order: it requests a permit or sends
// the order to the engine.
func (o *owners) advanceOrder(ctx context.Context, t weights.Action) {
	o.mu.Lock()
	v, ok := o.table.Get(t.Server)
	fence := o.fence
	o.mu.Unlock()
	if !ok {
		return
	}
	if t.NeedsPermit {
		a := o.requestPermit(ctx, v.Deployment,
			&entryhost.LoadPermitRequest{Server: t.Server, Model: t.Model, Version: t.Version})
		o.mu.Lock()
		o.orders.Permitted(time.Now(), t.Target, a.Granted, a.RetryAfter)
		again := a.Granted
		var l []weights.Action
		if again {
			l = o.orders.Next(time.Now())
		}
		o.mu.Unlock()
		for _, s := range l {
			go o.advanceOrder(ctx, s)
		}
		return
	}
	err := o.d.engines.Order(ctx, v.Address, &engine.Order{Model: t.Model, Version: int64(t.Version), FencingToken: fence})
	if err != nil {
		o.d.metrics.retry("order", err)
		o.log.Warn("load order not accepted by the engine; it will be retried",
			zap.String("server", t.Server), zap.Error(err))
	}
	o.mu.Lock()
	o.orders.Ordered(time.Now(), t.Target, t.Version, err == nil)
	o.fenceDue = o.fenceDue || outcome.HasReason(err, outcome.ReasonStaleFence)
	o.mu.Unlock()
}

// requestPermit requests a permit from the publisher of a deployment. If the
// publisher does not answer, the returned answer denies it and asks for a retry
// after permitRetryDelay. Deployments without a limit on simultaneous loads need no
// permit.
func (o *owners) requestPermit(ctx context.Context, deployment string, q *entryhost.LoadPermitRequest) *entryhost.LoadPermitAnswer {
	if p, ok := o.d.notes.snapshot().Deployment(deployment); ok && p.LoadsAtOnce == 0 {
		return &entryhost.LoadPermitAnswer{Granted: true}
	}
	id, err := o.d.members.holder("publisher:"+deployment, "")
	a := &entryhost.LoadPermitAnswer{}
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		err = o.d.call(ctx, id, entryhost.LoadPermit, q, a)
	}
	if err != nil {
		o.d.metrics.retry("permit", err)
		return &entryhost.LoadPermitAnswer{RetryAfter: permitRetryDelay}
	}
	return a
}

// grantPermit answers a permit request as the publisher of the server's deployment.
func (o *owners) grantPermit(q *entryhost.LoadPermitRequest) *entryhost.LoadPermitAnswer {
	s := o.d.notes.snapshot()
	v, _ := s.Server(q.Server)
	p, _ := s.Deployment(v.Deployment)
	o.mu.Lock()
	defer o.mu.Unlock()
	m := o.permits[p.Name]
	if m == nil {
		m = weights.NewPermits(weights.PermitConfig{Lease: permitLease, Retry: permitRetryDelay})
		o.permits[p.Name] = m
	}
	m.SetMaxLoads(p.LoadsAtOnce)
	t := weights.Target{Server: q.Server, Model: q.Model}
	if q.Release {
		m.Release(t)
		return &entryhost.LoadPermitAnswer{}
	}
	ok, after := m.Acquire(time.Now(), t)
	return &entryhost.LoadPermitAnswer{Granted: ok, RetryAfter: after}
}

// renewFence appends an ownership record to the log. Its offset plus one becomes
// this host's fencing token.
func (o *owners) renewFence(ctx context.Context) {
	f, err := o.d.log.Append(ctx, StreamOwnership, []byte(o.d.id))
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.d.metrics.retry("log-append", err)
		o.fenceDue = true
		return
	}
	o.fence = max(o.fence, f+1)
}

// StreamOwnership is the name of the log stream with the ownership records.
const StreamOwnership = "ownership"
