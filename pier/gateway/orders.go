package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/loadplan"
	"mulberrypier.example/pier/orderlease"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/provider"
)

const (
	// renewInterval is the time between two renewals of the order lease.
	renewInterval = 900 * time.Millisecond
	// ordersReadInterval is the shortest time between two reads of the orders' topic.
	ordersReadInterval = 40 * time.Millisecond
	// rankStep is the additional time that a host waits for an expired lease, compared with
	// the host of the next lower rank: enough to read that host's record first.
	rankStep = 150 * time.Millisecond
)

// orders competes for the order lease and, while this host holds it, orders engines to load
// the versions that trainers name. Every host reads which loads were ordered.
type orders struct {
	g     *Gateway
	lease *orderlease.Lease
	woken chan struct{}
	// inProgress holds the loads that have not ended, by server.
	inProgress map[string]*activeLoad
	// excluded holds the servers that did not carry out their last orders.
	excluded map[string]exclusion
	// endedLoads receives the loads that were completed or have failed.
	endedLoads chan *activeLoad
	// limiter learns from load times how many loads may run at once, and for how long a
	// load counts as running.
	limiter *loadplan.Limiter
	// demands holds what samples wait for.
	demands *demands
	// notices holds what the next record tells all hosts of servers' limits.
	notices *limitNotices
	// duties makes the calls to the infrastructure provider.
	duties *duties
	// appends is the number of records that this incarnation has sent.
	appends int64
	// sent is the time since boot at which this host last sent a record that was appended.
	sent time.Duration
	// slack is the slack of that record.
	slack time.Duration
}

func newOrders(g *Gateway) *orders {
	o := &orders{
		g: g, woken: make(chan struct{}, 1), inProgress: make(map[string]*activeLoad),
		excluded: make(map[string]exclusion), demands: newDemands(), endedLoads: make(chan *activeLoad, 64), notices: &limitNotices{},
		limiter: loadplan.NewLimiter(loadplan.LimiterConfig{
			InitialShare: g.s.Policy.LoadsAtOnce, Least: loadDuration, Lag: reportLag,
		}),
		lease: orderlease.New(orderlease.Config{
			Host: g.self.Host, HostID: g.hostID(), TTL: g.s.Timing.OrderLease.D(),
		}),
	}
	o.duties = newDuties(o)
	return o
}

// wake makes the holder of the lease look for loads to order at once.
func (o *orders) wake() {
	select {
	case o.woken <- struct{}{}:
	default:
	}
}

func (o *orders) run() {
	for o.g.ctx.Err() == nil {
		if o.lease.Holds(boottime.Now()) {
			o.hold()
			continue
		}
		o.inProgress = make(map[string]*activeLoad)
		o.duties.handleWaiting()
		t := time.Now()
		if err := o.read(readWait / 2); err != nil {
			backoff.Sleep(o.g.ctx, logRetryDelay)
			continue
		}
		if o.mayTakeLease(boottime.Now()) {
			o.append(nil)
		}
		backoff.Sleep(o.g.ctx, ordersReadInterval-time.Since(t))
	}
}

// mayTakeLease reports whether this host should try to take the lease. The host that held it
// last need not wait. The others wait until the lease has expired and, depending on their rank, a
// little longer, so that they do not all try at once.
func (o *orders) mayTakeLease(now time.Duration) bool {
	if o.g.drain.leaving() {
		return false
	}
	if o.lease.OwnsNewest() {
		return true
	}
	r := o.g.watch.rank.Load()
	return r != unranked && o.lease.MayAppend(now-time.Duration(r)*rankStep)
}

// read reads and applies the next records of the orders' topic.
func (o *orders) read(wait time.Duration) error {
	ctx, cancel := context.WithTimeout(o.g.ctx, wait+o.g.peerLog.limit(readSlack))
	defer cancel()
	p, err := o.g.c.Log.Read(ctx, partitionlog.ReadRequest{
		Partition: partitionlog.Partition{Topic: orderlease.Topic}, From: o.lease.NextOffset(),
		MaxBytes: maxReadBytes, Wait: wait,
	})
	now := boottime.Now()
	if outcome.HasReason(err, partitionlog.ReasonExpired) {
		o.lease.SkipTo(p.First, now)
		return nil
	}
	if err != nil {
		if o.g.ctx.Err() == nil {
			o.g.logHealth.failed(orderlease.Topic, orderlease.Topic, err)
		}
		return err
	}
	o.g.logHealth.answered(orderlease.Topic)
	for i, b := range p.Records {
		r, err := orderlease.Decode(b)
		if err != nil {
			// Counted as a renewal by an unknown holder.
			o.g.unreadable.skipped(orderlease.Topic, err, zap.Int64("offset", p.From+int64(i)))
			r = &orderlease.Record{Holder: "unknown"}
		}
		if r.Holder != o.lease.Holder() {
			o.g.log.Info("orders: lease holder changed", zap.String("holder", r.Holder),
				zap.Int64("offset", p.From+int64(i)))
		}
		o.lease.Read(p.From+int64(i), r, now)
		o.g.usage.observeTotals(r)
		if r.Load != nil {
			o.g.fleet.ordered(*r.Load, time.Now())
		}
		o.duties.observeRecord(r, now)
		for _, n := range r.Limits {
			o.g.limits.learnNotice(n, now)
		}
	}
	o.notices.setHolder(o.lease.HolderHost())
	o.g.usage.setHolder(o.lease.Holder())
	return nil
}

// decision is what a record announces besides the lease. At most one of the fields is set.
type decision struct {
	Load   *orderlease.Load
	Usage  *provider.UsageReport
	Target *provider.Target
}

// append renews or takes the lease, and announces a decision unless it is nil. It reports
// whether the record was appended.
func (o *orders) append(d *decision) bool {
	if d == nil {
		d = &decision{}
	}
	sent := boottime.Now()
	o.appends++
	r := orderlease.Record{
		Holder: o.g.self.Host, HostID: o.g.hostID(), Append: o.appends, Load: d.Load, Limits: o.notices.next(sent),
		Slack: orderSlack(o.g.peerLog.latency()), Usage: d.Usage, Target: d.Target,
		Totals: o.g.usage.recordTotals(),
	}
	if o.lease.Holds(sent) {
		r.Fence = o.lease.Fence()
	}
	offset, err := o.appendRecord(&r)
	if err != nil {
		o.g.log.Info("orders: append to take or renew the lease failed", zap.Error(err))
		if o.g.ctx.Err() == nil {
			_ = o.read(0)
		}
		return false
	}
	o.g.logHealth.answered(orderlease.Topic)
	held := o.lease.Holds(sent)
	o.lease.AppendSucceeded(offset, sent)
	o.sent, o.slack = sent, r.Slack
	o.notices.setHolder(o.g.hostID())
	o.notices.done(len(r.Limits))
	o.g.usage.setHolder(o.g.self.Host)
	o.g.usage.observeTotals(&r)
	o.duties.observeRecord(&r, sent)
	if !held {
		o.g.usage.tookLease(sent)
		o.g.log.Info("orders: lease taken", zap.Int64("fence", o.lease.Fence()))
	}
	return true
}

// orderSlack returns the slack of a record at a log with some latency. Within SafetyMargin there is
// room for a quick one.
func orderSlack(latency time.Duration) time.Duration {
	if latency < orderlease.SafetyMargin/4 {
		return 0
	}
	return min(2*latency, orderlease.MaxSlack)
}

// renewalDue reports whether the holder should renew the lease, or tell all hosts of limits.
func (o *orders) renewalDue(now time.Duration) bool {
	d := renewInterval
	if o.notices.any() {
		d = noticeRecordDelay
	}
	return now-o.sent > d || o.g.usage.recordDue(now-o.sent)
}

// hold does one round of the lease holder's work: it renews the lease if due, gives orders,
// and waits until the next round is due.
func (o *orders) hold() {
	if o.renewalDue(boottime.Now()) && !o.append(nil) {
		backoff.Sleep(o.g.ctx, logRetryDelay)
		return
	}
	for _, l := range o.plan() {
		o.order(l)
	}
	o.duties.round()
	t := time.NewTimer(renewInterval / 4)
	defer t.Stop()
	select {
	case <-o.g.ctx.Done():
	case <-o.woken:
	case <-t.C:
	case l := <-o.endedLoads:
		o.loadEnded(l)
	case a := <-o.duties.answers:
		o.duties.handle(a)
	}
}
