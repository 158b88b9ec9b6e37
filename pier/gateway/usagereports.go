package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/orderlease"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/provider"
	"mulberrypier.example/pier/usage"
)

// Each host counts the requests that it sends to servers and tells the holder of the order lease, which
// decides and reports the counts of each window. Package usage decides what is counted where; this file
// moves totals between hosts.

const (
	// usageInterval is the time between two messages of a host that counts. A total must reach the holder
	// within 0.5 s.
	usageInterval = 400 * time.Millisecond
	// usageSpread is the time over which hosts spread their messages to a new holder.
	usageSpread = 200 * time.Millisecond
	// usageClockInterval is the time between two messages of a host that counts nothing: they carry its
	// time of day.
	usageClockInterval = 5 * time.Second
	// usageTimeout bounds the time for telling the holder.
	usageTimeout = 300 * time.Millisecond
	// maxTotalsSent bounds the totals of a message, maxTotalsRecorded those of a record.
	maxTotalsSent     = 2000
	maxTotalsRecorded = 500
	// consensusInterval is the time between two corrections of the holder's clock.
	consensusInterval = 500 * time.Millisecond
	// consensusSettle is how long a new holder that knows true time waits for the clocks of all hosts: of
	// the first ones, more than half may be wrong.
	consensusSettle = 2 * time.Second
	// consensusWait is how long a new holder that has never learnt true time waits for the clocks of
	// most hosts.
	consensusWait = 3 * time.Second
)

// kindUsage is the kind of a message that tells the holder of the order lease what a host has counted.
const kindUsage = kindDemand + 1

// usageMessage tells the holder the time of day and totals of a host.
type usageMessage struct {
	// Host is the incarnation of the host.
	Host string `msgpack:"h"`
	// Wall is the host's time of day when it sent the message, in nanoseconds since the Unix epoch.
	Wall int64 `msgpack:"t"`
	// Since is the window in which the host started; it is not stated by a host that does not know it.
	Since  *int64        `msgpack:"s,omitempty"`
	Totals []usage.Total `msgpack:"c,omitempty"`
}

// usageAnswer states the time of the holder, in nanoseconds since the Unix epoch. It is 0 if the holder does not know
// the time; it has not taken the totals then.
type usageAnswer struct {
	Holder string `msgpack:"h"`
	Time   int64  `msgpack:"t"`
}

// usageReports counts this host's requests, and decides the reports while it holds the order lease. It is safe for
// concurrent use. A nil *usageReports is that of a deployment without usage reports.
type usageReports struct {
	g *Gateway
	// flushing is set once the process is about to end.
	flushing atomic.Bool
	// changed receives a value when the holder changes.
	changed chan struct{}
	// wall reads the time of day.
	wall func() time.Time

	mu        sync.Mutex
	clock     *usage.Clock
	consensus *usage.Consensus
	// consensusAt is the time since boot at which the clock was last set by the consensus.
	consensusAt time.Duration
	counter     *usage.Counter
	collector   *usage.Collector
	// holder is the incarnation that holds the lease, and tookAt the time since boot at which this host last
	// took it.
	holder string
	tookAt time.Duration
	// toldHolder is the holder that last answered a message, toldAt when.
	toldHolder string
	toldAt     time.Duration
}

// newUsageReports returns nil if the deployment has no usage reports.
func newUsageReports(g *Gateway) *usageReports {
	s := g.s.Provider
	if g.c.Provider.ReportUsage == nil {
		return nil
	}
	if s.UsageWindow.D() <= 0 || s.UsageDue.D() <= 0 {
		g.log.Error("usage: reports are off, as the settings do not state their windows")
		return nil
	}
	w, now := usage.Windows{Length: s.UsageWindow.D()}, boottime.Now()
	clock := usage.NewClock(time.Now(), now)
	u := &usageReports{
		g: g, wall: time.Now, changed: make(chan struct{}, 1), clock: clock, consensus: usage.NewConsensus(), counter: usage.NewCounter(w, clock, now),
		collector: usage.NewCollector(usage.CollectorConfig{Windows: w, Due: s.UsageDue.D()}),
	}
	d := g.orders.duties
	d.planners = append(d.planners, u.plan)
	d.usageRecorded, d.usageAnswered = u.recorded, u.answered
	return u
}

// add counts a request that was sent at a time since boot.
func (u *usageReports) add(organisation string, sent time.Duration) {
	u.mu.Lock()
	ok := u.counter.Add(organisation, sent)
	u.mu.Unlock()
	if ok {
		u.g.metrics.usageRequests.WithLabelValues("counted").Inc()
	} else {
		u.g.metrics.usageRequests.WithLabelValues("late").Inc()
	}
}

// run tells the holder of the lease what this host counts, until the gateway is closed.
func (u *usageReports) run() {
	for u.g.ctx.Err() == nil {
		start := time.Now()
		u.tell()
		t := time.NewTimer(usageInterval - time.Since(start))
		select {
		case <-u.g.ctx.Done():
		case <-u.changed:
			backoff.Sleep(u.g.ctx, rand.N(usageSpread))
		case <-t.C:
		}
		t.Stop()
	}
}

// tell sends the holder what it does not have, unless this host holds the lease: then a record tells all hosts.
func (u *usageReports) tell() {
	holder := u.g.orders.notices.leaseHolder()
	m, term, ok := u.nextMessage(holder)
	a, known := peerAddress(holder)
	if !ok || !known {
		return
	}
	ctx, cancel := context.WithTimeout(u.g.ctx, usageTimeout)
	defer cancel()
	sent := boottime.Now()
	u.g.peerLog.keepOpen(a, sent)
	m.Wall = u.wall().UnixNano()
	var r usageAnswer
	if err := u.g.peers.Call(ctx, a, kindUsage, &m, &r); err != nil {
		u.g.metrics.usageMessages.WithLabelValues(string(outcome.AsError(err).Reason)).Inc()
		return
	}
	u.g.metrics.usageMessages.WithLabelValues("answered").Inc()
	u.told(term, m.Totals, r, sent)
}

// nextMessage returns the message that is due to a holder. ok is false if there is none.
func (u *usageReports) nextMessage(holder string) (m usageMessage, term string, ok bool) {
	now := boottime.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle(now)
	if holder == "" || holder == u.g.hostID() {
		return m, "", false
	}
	m = usageMessage{Host: u.g.self.Host, Totals: u.counter.Due(u.holder, maxTotalsSent)}
	if k, known := u.counter.Since(); known {
		m.Since = &k
	}
	idle := len(m.Totals) == 0 && m.Since != nil && u.toldHolder == u.holder && now-u.toldAt < usageClockInterval
	return m, u.holder, !idle
}

// settle drops what is too old to be reported. The caller holds mu.
func (u *usageReports) settle(now time.Duration) {
	if n := u.counter.Settle(now); n > 0 {
		u.g.metrics.usageRequests.WithLabelValues("lost").Add(float64(n))
		u.g.log.Warn("usage: requests are in no report", zap.Int64("requests", n))
	}
	if u.clock.IsLearnt() {
		u.collector.DropOld(u.clock.Now(now))
	}
}

// told processes the answer to a message that was sent in a holder's term.
func (u *usageReports) told(term string, l []usage.Total, r usageAnswer, sent time.Duration) {
	now := boottime.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.Time == 0 || r.Holder != term || u.holder != term {
		return
	}
	u.clock.Learn(time.Unix(0, r.Time), sent, now)
	u.counter.Acknowledged(term, l)
	u.toldHolder, u.toldAt = term, now
}

// answerUsage takes totals of another host, if this one holds the order lease.
func (g *Gateway) answerUsage(q *peer.Request) (any, error) {
	var m usageMessage
	if err := peer.Decode(q.Body, &m); err != nil {
		return nil, err
	}
	if g.usage == nil || g.orders.notices.leaseHolder() != g.hostID() {
		return nil, outcome.Refuse(outcome.ReasonNotOwner, "order lease")
	}
	return g.usage.take(m)
}

// take takes the message of another host.
func (u *usageReports) take(m usageMessage) (*usageAnswer, error) {
	now := boottime.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.consensus.Add(m.Host, time.Unix(0, m.Wall), now)
	u.agree(now)
	r := &usageAnswer{Holder: u.g.self.Host}
	if !u.clock.IsLearnt() {
		return r, nil
	}
	at := u.clock.Now(now)
	if m.Since != nil {
		u.collector.Since(*m.Since)
	}
	if err := u.collector.Add(m.Host, m.Totals, at); err != nil {
		return nil, err
	}
	r.Time = at.UnixNano()
	return r, nil
}

// agree sets the holder's clock to the time that most hosts agree on, if their clocks are known. A holder
// that has no time yet waits for them for some time. The caller holds mu.
func (u *usageReports) agree(now time.Duration) {
	if u.clock.IsLearnt() && (now-u.consensusAt < consensusInterval || now-u.tookAt < consensusSettle) {
		return
	}
	u.consensus.Add(u.g.self.Host, u.wall(), now)
	base, n := u.consensus.Base(now)
	hosts := int(u.g.limits.hosts.Load())
	if hosts > 0 && n > hosts/2 || !u.clock.IsLearnt() && now-u.tookAt >= consensusWait {
		u.clock.Set(base)
		u.consensusAt = now
	}
}

// plan decides the windows that are to be decided, and returns the reports that the provider has not accepted. The
// holder of the lease calls it.
func (u *usageReports) plan(now time.Duration) []dutyCall {
	for {
		r, ok := u.next(now)
		if !ok {
			return u.owed(now)
		}
		if !u.g.orders.append(&decision{Usage: &r}) {
			return nil
		}
		requests := int64(0)
		for _, n := range r.Counts {
			requests += n
		}
		u.g.log.Info("usage: window decided", zap.Int64("window", r.Window), zap.Int("organisations", len(r.Counts)),
			zap.Int64("requests", requests))
		u.g.metrics.usageReports.WithLabelValues("decided").Inc()
	}
}

// next returns the report of a window that is to be decided now.
func (u *usageReports) next(now time.Duration) (provider.UsageReport, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.agree(now)
	if !u.clock.IsLearnt() {
		return provider.UsageReport{}, false
	}
	if k, ok := u.counter.Since(); ok {
		u.collector.Since(k)
	}
	return u.collector.Next(u.clock.Now(now), now-u.tookAt)
}

// owed returns the calls for the reports that are in the log and were not accepted.
func (u *usageReports) owed(now time.Duration) []dutyCall {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.clock.IsLearnt() {
		return nil
	}
	for _, r := range u.collector.Expire(u.clock.Now(now)) {
		u.g.metrics.usageReports.WithLabelValues("dropped").Inc()
		u.g.log.Warn("usage: report was not accepted in time and is dropped", zap.Int64("window", r.Window))
	}
	var l []dutyCall
	for _, r := range u.collector.Owed() {
		l = append(l, dutyCall{Usage: &r, recorded: true})
	}
	u.g.metrics.usageOwed.Set(float64(len(l)))
	return l
}

// recorded notes a report that is in the log.
func (u *usageReports) recorded(r provider.UsageReport) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.collector.Recorded(r)
	if n := u.counter.Reported(r.Window); n > 0 {
		u.g.metrics.usageRequests.WithLabelValues("lost").Add(float64(n))
		u.g.log.Warn("usage: requests are in no report", zap.Int64("requests", n), zap.Int64("window", r.Window))
	}
}

// answered notes the provider's answer to a report.
func (u *usageReports) answered(r provider.UsageReport, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.collector.Answered(r.Window, err == nil)
	if err == nil {
		u.g.metrics.usageReports.WithLabelValues("accepted").Inc()
		u.g.log.Debug("usage: report accepted", zap.Int64("window", r.Window))
	}
}

// setHolder notes which incarnation holds the lease.
func (u *usageReports) setHolder(holder string) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if holder == u.holder {
		return
	}
	u.holder = holder
	u.g.metrics.usageOwed.Set(0)
	select {
	case u.changed <- struct{}{}:
	default:
	}
}

// tookLease notes that this host took the lease at a time since boot.
func (u *usageReports) tookLease(at time.Duration) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tookAt = at
}

// totalsDue reports whether this host has counted requests that no other host knows of.
func (u *usageReports) totalsDue() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counter.HasDue()
}

// recordTotals returns the totals for the next record of this host.
func (u *usageReports) recordTotals() []usage.Total {
	if u == nil {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.counter.Due(u.g.self.Host, maxTotalsRecorded)
}

// observeTotals takes the totals of a record, which its holder has counted itself.
func (u *usageReports) observeTotals(r *orderlease.Record) {
	if u == nil || len(r.Totals) == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	var at time.Time
	if now := boottime.Now(); u.clock.IsLearnt() {
		at = u.clock.Now(now)
	}
	if err := u.collector.Add(r.Holder, r.Totals, at); err != nil {
		u.g.metrics.usageMessages.WithLabelValues(string(outcome.AsError(err).Reason)).Inc()
		u.g.log.Info("usage: totals of a record were not taken", zap.String("holder", r.Holder), zap.Error(err))
		return
	}
	if r.Holder == u.g.self.Host {
		u.counter.Acknowledged(r.Holder, r.Totals)
	}
}

// flush tells others what this host has counted, before its process ends. It gives up when ctx ends.
func (u *usageReports) flush(ctx context.Context) {
	if u == nil {
		return
	}
	u.flushing.Store(true)
	u.g.orders.wake()
	u.tell()
	for u.totalsDue() && backoff.Sleep(ctx, drainPollInterval/5) {
	}
}

// recordDue reports whether the holder should append a record for its totals, at a time after its last record.
func (u *usageReports) recordDue(since time.Duration) bool {
	return u != nil && (since > usageInterval || u.flushing.Load()) && u.totalsDue()
}
