package gateway

import (
	"context"
	"sort"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/loadplan"
	"mulberrypier.example/pier/orderlease"
	"mulberrypier.example/pier/outcome"
)

const (
	// orderTimeout bounds the time in which an engine answers an order or a request for its
	// state.
	orderTimeout = 400 * time.Millisecond
	// reportInterval is the time between two checks whether a load is done.
	reportInterval = 150 * time.Millisecond
	// loadTimeout is how long a load may take before it counts as failed.
	loadTimeout = 4 * time.Second
	// initialExclusion is how long a server that did not carry out an order gets no others.
	// The time doubles with each further failure, up to maxExclusion.
	initialExclusion = 1500 * time.Millisecond
	maxExclusion     = 12 * time.Second
	// reportLag bounds the delay with which the end of a load is noticed: a report is some
	// hundred milliseconds old, and is requested every reportInterval.
	reportLag = 400 * time.Millisecond
)

// activeLoad is an ordered load that has not ended.
type activeLoad struct {
	load      loadplan.Load
	startedAt time.Time
	// concurrent is the number of loads in progress when this one started, itself included.
	concurrent int
	// err is why the load failed, nil if the server has the version.
	err error
	// busy is set if the server was still loading when this host gave the load up.
	busy bool
}

// exclusion describes a server that gets no orders until a time, after a number of failures
// in a row.
type exclusion struct {
	until    time.Time
	failures int
}

// plan returns the loads to order now.
func (o *orders) plan() []loadplan.Load {
	t := o.g.Table()
	if t == nil {
		return nil
	}
	now := time.Now()
	demands := o.demands.byModel(boottime.Now())
	var r []loadplan.Load
	for name, s := range t.Services {
		if !s.IsEngine() {
			continue
		}
		goals := o.goals(s.Models)
		servers, inProgress := o.loadCandidates(name, now)
		c := loadplan.Config{
			MaxConcurrent: o.limiter.MaxConcurrent(len(servers)),
			Share:         o.g.s.Policy.LoadShare,
			Demands:       demands,
		}
		r = append(r, loadplan.Plan(c, servers, goals, inProgress)...)
	}
	return r
}

// goals returns the newest versions of the models. The version that was named first comes
// first.
func (o *orders) goals(models []string) []loadplan.Goal {
	v := o.g.tables.newest()
	var r []loadplan.Goal
	for _, m := range models {
		r = append(r, loadplan.Goal{Model: m, Version: v[m].version})
	}
	sort.SliceStable(r, func(i, j int) bool { return v[r[i].Model].seenAt.Before(v[r[j].Model].seenAt) })
	return r
}

// loadCandidates returns a service's servers for the planner, and the loads in progress
// that count towards the number of concurrent loads.
func (o *orders) loadCandidates(service string, now time.Time) ([]loadplan.Server, []loadplan.Load) {
	l := o.g.fleet.loadable(service, now)
	var counted []loadplan.Load
	for i, s := range l {
		u := o.inProgress[s.ID]
		l[i].Busy = u != nil || now.Before(o.excluded[s.ID].until)
		if u != nil && o.limiter.OccupiesSlot(now.Sub(u.startedAt)) {
			counted = append(counted, u.load)
		}
	}
	return l, counted
}

// order announces a load in the orders' topic and has carryOut order it from the server.
func (o *orders) order(l loadplan.Load) {
	s, ok := o.g.fleet.server(l.Server)
	if !ok || s.Leaving {
		return
	}
	if !o.append(&decision{Load: &orderlease.Load{Server: l.Server, Model: l.Model, Version: l.Version}}) {
		return
	}
	n := &activeLoad{load: l, startedAt: time.Now(), concurrent: len(o.inProgress) + 1}
	o.inProgress[l.Server] = n
	t := o.term()
	o.g.wg.Go(func() {
		n.busy, n.err = o.carryOut(s, l, t)
		select {
		case o.endedLoads <- n:
		case <-o.g.ctx.Done():
		}
	})
	time.AfterFunc(o.limiter.SlotTime(), o.wake)
}

// term is the right to give one order, or to make one call to the provider. It must be sent right after
// a record of the lease: a successor waits for the lease to expire from that record on, so its
// orders come well after this one.
type term struct {
	// fence is the fencing token of the order lease.
	fence int64
	// until is the time since boot after which the order must not be sent.
	until time.Duration
}

// term returns the right to give an order after the record that was appended last.
func (o *orders) term() term {
	return term{fence: o.lease.Fence(), until: min(o.sent+orderlease.SafetyMargin+o.slack, o.lease.Until())}
}

// carryOut gives the order and waits until the load is done. If it returns an error, busy
// reports whether the server was still loading.
func (o *orders) carryOut(s directory.Server, l loadplan.Load, t term) (busy bool, err error) {
	ctx, cancel := context.WithTimeout(o.g.ctx, loadTimeout)
	defer cancel()
	r, err := o.report(ctx, s)
	if err != nil {
		return false, err
	}
	if r.Versions[l.Model] >= l.Version {
		return false, nil
	}
	if boottime.Now() > t.until {
		return false, outcome.Refuse(outcome.ReasonStaleFence, s.ID)
	}
	orderCtx, cancelOrder := context.WithTimeout(ctx, orderTimeout)
	err = o.g.engines.Order(orderCtx, Order{
		Server: s, Model: l.Model, Version: l.Version, Holder: o.g.s.Name, Fence: t.fence, Expected: r.Orders,
	})
	cancelOrder()
	if err != nil && outcome.AsError(err).Outcome == outcome.NotRun {
		return false, err
	}
	o.g.log.Info("orders: load ordered", zap.String("server", s.ID), zap.String("model", l.Model),
		zap.Int64("version", l.Version), zap.Int64("fence", t.fence),
		zap.Int64("expected", r.Orders), zap.Error(err))
	backoff.Sleep(ctx, loadDuration)
	return o.await(ctx, s, l)
}

// await polls the server until it has the version. It is called once the usual duration of a
// load has passed, and gives up when ctx ends, or when the server reports, more than
// reportLag after the call, that it is idle without the version. If it returns an error, busy
// reports whether the server was still loading.
func (o *orders) await(ctx context.Context, s directory.Server, l loadplan.Load) (busy bool, err error) {
	start := time.Now()
	for {
		r, err := o.report(ctx, s)
		if err == nil && r.Versions[l.Model] >= l.Version {
			return false, nil
		}
		if ctx.Err() == nil {
			busy = err == nil && r.Busy
		}
		if err == nil && !r.Busy && time.Since(start) > reportLag {
			return false, outcome.Ambiguous(outcome.ReasonConflict, s.ID, nil)
		}
		if !backoff.Sleep(ctx, reportInterval) {
			return busy, outcome.Ambiguous(outcome.ReasonSilent, s.ID, err)
		}
	}
}

func (o *orders) report(ctx context.Context, s directory.Server) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return o.g.engines.Report(ctx, s)
}

// loadEnded handles the end of a load.
func (o *orders) loadEnded(l *activeLoad) {
	if o.inProgress[l.load.Server] == l {
		delete(o.inProgress, l.load.Server)
	}
	took := time.Since(l.startedAt)
	if l.err == nil || l.busy {
		o.limiter.LoadDone(took, l.concurrent, boottime.Now())
	}
	if l.err == nil {
		delete(o.excluded, l.load.Server)
		o.demands.met(l.load.Model)
		o.g.metrics.orders.WithLabelValues("loaded").Inc()
		o.g.fleet.observeVersion(l.load.Server, l.load.Model, l.load.Version)
		o.g.log.Info("orders: load done", zap.String("server", l.load.Server),
			zap.String("model", l.load.Model), zap.Int64("version", l.load.Version),
			zap.Duration("took", took), zap.Int("together", l.concurrent))
		return
	}
	e := outcome.AsError(l.err)
	o.g.metrics.orders.WithLabelValues(string(e.Reason)).Inc()
	o.exclude(l.load.Server)
	o.g.fleet.notLoaded(l.load.Server, l.load.Model, l.load.Version)
	o.g.log.Info("orders: load failed; server excluded for some time",
		zap.String("server", l.load.Server), zap.String("model", l.load.Model),
		zap.Int64("version", l.load.Version), zap.String("reason", string(e.Reason)),
		zap.String("at", e.Detail), zap.Bool("busy", l.busy))
}

// exclude excludes a server that did not carry out an order for some time: each order to a
// lost server delays an order to another one.
func (o *orders) exclude(server string) {
	n := o.excluded[server].failures
	d := backoff.Exponential(initialExclusion, maxExclusion, n)
	o.excluded[server] = exclusion{until: time.Now().Add(d), failures: n + 1}
}
