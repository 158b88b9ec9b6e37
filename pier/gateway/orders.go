package gateway

import (
	"context"
	"sort"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/loadplan"
	"mulberrypier.example/pier/orderlease"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partlog"
)

const (
	// renewInterval is the time between two renewals of the order lease.
	renewInterval = 900 * time.Millisecond
	// orderLimit is how long an engine may take to answer an order.
	orderLimit = 400 * time.Millisecond
	// reportPause is the time between two questions whether a load is done.
	reportPause = 150 * time.Millisecond
	// loadMost is how long a load may take before it counts as failed.
	loadMost = 4 * time.Second
	// ordersPace is the shortest time between two reads of the orders' topic.
	ordersPace = 40 * time.Millisecond
	// rankStep is how much longer a host waits for a lease that lapsed than the one of
	// the rank before it: enough for that one's record to be read.
	rankStep = 150 * time.Millisecond
	// shunFirst is how long a server that did not carry out an order is left alone;
	// the time doubles with each further failure up to shunMost.
	shunFirst = 1500 * time.Millisecond
	shunMost  = 12 * time.Second
	// reportLag is how much later than its end a load is seen to be done, at most: a
	// report is some hundred milliseconds old, and is asked for each reportPause.
	reportLag = 400 * time.Millisecond
)

// orders holds the order lease when it is this host's, and orders engines to load
// the versions that trainers name. Every host reads which loads were ordered.
type orders struct {
	g     *Gateway
	lease *orderlease.Lease
	woken chan struct{}
	// underWay holds the loads that are not known to be done, by server.
	underWay map[string]*loading
	// shun holds the servers that did not carry out their last orders.
	shun map[string]shunned
	over chan *loading
	// pace tells for how long loads keep their places.
	pace *loadplan.Pace
	// sent is when the newest record of this host's term was sent.
	sent time.Duration
}

// loading is a load under way.
type loading struct {
	load  loadplan.Load
	began time.Time
	// together counts the loads under way when this one began, itself among them.
	together int
	err      error
	// busy tells that the server was still at work when the host gave up on it.
	busy bool
}

// shunned is a server that gets no order until a time, after so many failures.
type shunned struct {
	until time.Time
	fails int
}

func newOrders(g *Gateway) *orders {
	return &orders{
		g: g, woken: make(chan struct{}, 1), underWay: make(map[string]*loading),
		shun: make(map[string]shunned), over: make(chan *loading, 64),
		pace:  loadplan.NewPace(loadplan.PaceConfig{Share: g.s.Policy.LoadsAtOnce, Least: loadTime, Lag: reportLag}),
		lease: orderlease.New(orderlease.Config{Host: g.self.Host, Machine: g.machine(), TTL: g.s.Timing.OrderLease.D()}),
	}
}

// wake makes the holder look for loads at once.
func (o *orders) wake() {
	select {
	case o.woken <- struct{}{}:
	default:
	}
}

func (o *orders) run() {
	for o.g.x.Err() == nil {
		if o.lease.Holds(boottime.Now()) {
			o.hold()
			continue
		}
		o.underWay = make(map[string]*loading)
		t := time.Now()
		if err := o.read(followWait / 2); err != nil {
			pause(o.g.x, retryPause)
			continue
		}
		if o.mayTake(boottime.Now()) {
			o.append(nil)
		}
		pause(o.g.x, ordersPace-time.Since(t))
	}
}

// mayTake reports whether this host should take the lease. The one that held it last
// need not wait. Others wait for the lease time and, by their rank, a little longer,
// so that they do not all try at once.
func (o *orders) mayTake(now time.Duration) bool {
	if o.g.drain.leaving() {
		return false
	}
	if o.lease.Own() {
		return true
	}
	r := o.g.watch.rank.Load()
	return r != unranked && o.lease.MayAppend(now-time.Duration(r)*rankStep)
}

// read takes the next records of the orders' topic.
func (o *orders) read(wait time.Duration) error {
	x, stop := context.WithTimeout(o.g.x, wait+followSlack)
	defer stop()
	p, err := o.g.c.Log.Read(x, partlog.ReadRequest{
		Partition: partlog.Partition{Topic: orderlease.Topic}, From: o.lease.Next(), MaxBytes: followBytes, Wait: wait,
	})
	now := boottime.Now()
	if outcome.Is(err, partlog.ReasonExpired) {
		o.lease.SkipTo(p.First, now)
		return nil
	}
	if err != nil {
		if o.g.x.Err() == nil {
			o.g.reach.failed(orderlease.Topic, orderlease.Topic, err)
		}
		return err
	}
	o.g.reach.answered(orderlease.Topic)
	for i, b := range p.Records {
		r, err := orderlease.Decode(b)
		if err != nil {
			o.g.metrics.unreadable.WithLabelValues(orderlease.Topic).Inc()
			o.g.log.Warn("orders: record cannot be read", zap.Int64("offset", p.From+int64(i)), zap.Error(err))
			r = &orderlease.Record{Holder: "unknown"}
		}
		if r.Holder != o.lease.Holder() {
			o.g.log.Info("orders: lease seen", zap.String("holder", r.Holder), zap.Int64("offset", p.From+int64(i)))
		}
		o.lease.Read(p.From+int64(i), r, now)
		if r.Load != nil {
			o.g.fleet.ordered(*r.Load, time.Now())
		}
	}
	return nil
}

// append renews or takes the lease, with an order to announce or without one.
func (o *orders) append(l *orderlease.Load) bool {
	r := orderlease.Record{Holder: o.g.self.Host, Machine: o.g.machine(), Load: l}
	sent := boottime.Now()
	if o.lease.Holds(sent) {
		r.Fence = o.lease.Fence()
	}
	b, err := r.Encode()
	if err != nil {
		o.g.log.Error("orders: record cannot be made", zap.Error(err))
		return false
	}
	x, stop := context.WithTimeout(o.g.x, followSlack)
	defer stop()
	a, err := o.g.c.Log.Append(x, partlog.AppendRequest{
		Partition: partlog.Partition{Topic: orderlease.Topic}, Records: [][]byte{b}, At: o.lease.Next(),
	})
	if err != nil {
		o.g.log.Info("orders: lease not renewed", zap.Error(err))
		if o.g.x.Err() == nil {
			_ = o.read(0)
		}
		return false
	}
	o.g.reach.answered(orderlease.Topic)
	held := o.lease.Holds(sent)
	o.lease.Appended(a.First, sent)
	o.sent = sent
	if !held {
		o.g.log.Info("orders: lease taken", zap.Int64("fence", o.lease.Fence()))
	}
	return true
}

// hold does the holder's work once: renew, order, and wait a little.
func (o *orders) hold() {
	if boottime.Now()-o.sent > renewInterval && !o.append(nil) {
		pause(o.g.x, retryPause)
		return
	}
	for _, l := range o.plan() {
		o.order(l)
	}
	t := time.NewTimer(renewInterval / 4)
	defer t.Stop()
	select {
	case <-o.g.x.Done():
	case <-o.woken:
	case <-t.C:
	case l := <-o.over:
		o.loaded(l)
	}
}

// plan returns the loads to order now.
func (o *orders) plan() []loadplan.Load {
	t := o.g.Table()
	if t == nil {
		return nil
	}
	now := time.Now()
	var r []loadplan.Load
	for name, s := range t.Services {
		if !s.Engine() {
			continue
		}
		goals := o.goals(s.Models)
		servers, under := o.engines(name, now)
		c := loadplan.Config{AtOnce: o.pace.AtOnce(len(servers)), Share: o.g.s.Policy.LoadShare}
		r = append(r, loadplan.Plan(c, servers, goals, under)...)
	}
	return r
}

// goals returns the newest versions of the models, the one named first in front.
func (o *orders) goals(models []string) []loadplan.Goal {
	v := o.g.tables.newest()
	var r []loadplan.Goal
	for _, m := range models {
		r = append(r, loadplan.Goal{Model: m, Version: v[m].version})
	}
	sort.SliceStable(r, func(i, j int) bool { return v[r[i].Model].seen.Before(v[r[j].Model].seen) })
	return r
}

// engines returns a service's servers for the planner, and the loads under way that
// keep their places.
func (o *orders) engines(service string, now time.Time) ([]loadplan.Server, []loadplan.Load) {
	l := o.g.fleet.loadable(service, now)
	var under []loadplan.Load
	for i, s := range l {
		u := o.underWay[s.ID]
		l[i].Busy = u != nil || now.Before(o.shun[s.ID].until)
		if u != nil && o.pace.Holds(now.Sub(u.began)) {
			under = append(under, u.load)
		}
	}
	return l, under
}

// order announces a load and gives the order.
func (o *orders) order(l loadplan.Load) {
	s, ok := o.g.fleet.server(l.Server)
	if !ok {
		return
	}
	if !o.append(&orderlease.Load{Server: l.Server, Model: l.Model, Version: l.Version}) {
		return
	}
	n := &loading{load: l, began: time.Now(), together: len(o.underWay) + 1}
	o.underWay[l.Server] = n
	t := term{fence: o.lease.Fence(), until: o.sent + orderlease.Margin}
	o.g.wg.Go(func() {
		n.busy, n.err = o.carryOut(s, l, t)
		select {
		case o.over <- n:
		case <-o.g.x.Done():
		}
	})
	time.AfterFunc(o.pace.Next(), o.wake)
}

// term is the right to give one order: an order goes out right after the record
// that announces it, so that a successor who waits from that record on comes well
// after it.
type term struct {
	fence int64
	until time.Duration
}

// carryOut gives the order and waits until the load is done. With an error, busy
// tells whether the server was still at work.
func (o *orders) carryOut(s directory.Server, l loadplan.Load, t term) (busy bool, err error) {
	x, stop := context.WithTimeout(o.g.x, loadMost)
	defer stop()
	r, err := o.report(x, s)
	if err != nil {
		return false, err
	}
	if r.Versions[l.Model] >= l.Version {
		return false, nil
	}
	if boottime.Now() > t.until {
		return false, outcome.Refuse(outcome.ReasonStaleFence, s.ID)
	}
	y, halt := context.WithTimeout(x, orderLimit)
	err = o.g.engines.Order(y, Order{
		Server: s, Model: l.Model, Version: l.Version, Holder: o.g.s.Name, Fence: t.fence, Expected: r.Orders,
	})
	halt()
	if err != nil && outcome.From(err).Outcome == outcome.NotRun {
		return false, err
	}
	o.g.log.Info("orders: load ordered", zap.String("server", s.ID), zap.String("model", l.Model), zap.Int64("version", l.Version),
		zap.Int64("fence", t.fence), zap.Int64("expected", r.Orders), zap.Error(err))
	pause(x, loadTime)
	return o.await(x, s, l)
}

// await asks the server until it has the version, or is at work on no order though it
// should be. With an error, busy tells whether it was still at work.
func (o *orders) await(x context.Context, s directory.Server, l loadplan.Load) (busy bool, err error) {
	ordered := time.Now().Add(-loadTime)
	for {
		r, err := o.report(x, s)
		if err == nil && r.Versions[l.Model] >= l.Version {
			return false, nil
		}
		if x.Err() == nil {
			busy = err == nil && r.Busy
		}
		if err == nil && !r.Busy && time.Since(ordered) > loadTime+reportLag {
			return false, outcome.Lost(outcome.ReasonConflict, s.ID, nil)
		}
		if !pause(x, reportPause) {
			return busy, outcome.Lost(outcome.ReasonSilent, s.ID, err)
		}
	}
}

func (o *orders) report(x context.Context, s directory.Server) (Report, error) {
	x, stop := context.WithTimeout(x, orderLimit)
	defer stop()
	return o.g.engines.Report(x, s)
}

// loaded takes the end of a load.
func (o *orders) loaded(l *loading) {
	if o.underWay[l.load.Server] == l {
		delete(o.underWay, l.load.Server)
	}
	took := time.Since(l.began)
	if l.err == nil || l.busy {
		o.pace.Took(took, l.together, boottime.Now())
	}
	if l.err == nil {
		delete(o.shun, l.load.Server)
		o.g.metrics.orders.WithLabelValues("loaded").Inc()
		o.g.fleet.hasVersion(l.load.Server, l.load.Model, l.load.Version)
		o.g.log.Info("orders: load done", zap.String("server", l.load.Server), zap.String("model", l.load.Model),
			zap.Int64("version", l.load.Version), zap.Duration("took", took), zap.Int("together", l.together))
		return
	}
	e := outcome.From(l.err)
	o.g.metrics.orders.WithLabelValues(string(e.Reason)).Inc()
	o.avoid(l.load.Server)
	o.g.fleet.notLoaded(l.load.Server, l.load.Model, l.load.Version)
	o.g.log.Info("orders: load failed", zap.String("server", l.load.Server), zap.String("model", l.load.Model),
		zap.Int64("version", l.load.Version), zap.String("reason", string(e.Reason)), zap.String("at", e.Detail), zap.Bool("busy", l.busy))
}

// avoid leaves a server alone that did not carry out an order: each order to a
// server that is gone keeps another one waiting.
func (o *orders) avoid(server string) {
	n := o.shun[server].fails
	d := min(shunFirst<<min(n, 8), shunMost)
	o.shun[server] = shunned{until: time.Now().Add(d), fails: n + 1}
}
