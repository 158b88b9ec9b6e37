package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/orderlease"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/provider"
	"mulberrypier.example/pier/serverlimit"
)

// The holder of the order lease calls the provider on behalf of all hosts. A call follows the rule of
// an order to an engine: a record of the lease precedes it, and it is sent at most SafetyMargin and the
// record's slack after that record. A successor waits for the lease duration from then on, so its calls
// come after this one. That holds for each record of the lease, whatever it announces. A decision is
// therefore recorded once, and the same call may be repeated after any later record of this host's
// term, such as a renewal. The first call of a successor that repeats the decision follows the record
// with which it took the lease.

const (
	// dutyCallTimeout bounds the time in which the provider answers a call.
	dutyCallTimeout = 2 * time.Second
	// initialDutyBackoff is how long a call waits after one of the same subject that was not
	// answered or refused. The time doubles with each further failure, up to maxDutyBackoff.
	initialDutyBackoff = 500 * time.Millisecond
	maxDutyBackoff     = 8 * time.Second
	// providerShare is the part of the provider's limit that is used. The bucket saves up calls for a
	// quarter of a second, so it grants at most 1.25 times that in a second.
	providerShare = 0.75
	// minSendTime is the least time left for sending a call after its record; with less, the lease is
	// renewed first.
	minSendTime = 100 * time.Millisecond
	// subjectLifetime is how long the failures of a subject are remembered after the wait for its next call.
	subjectLifetime = 30 * time.Second
	// maxDutyAnswers is the number of answers that wait for the loop of the lease's holder.
	maxDutyAnswers = 64
)

// providerBucket is the key of the one token bucket in duties.bucket.
var providerBucket = directory.Incarnation{ID: "provider"}

// dutyCall is a call to the provider. Either Usage or Target is set.
type dutyCall struct {
	Usage  *provider.UsageReport
	Target *provider.Target
	// recorded is set if a record in the topic has announced the call already.
	recorded bool
}

// dutySubject is what a call is about: the usage report of a window, or the servers of a kind for a service
// in a failure domain. Calls of a subject are made one after the other. A report that gets no answer does
// not hold up the next one, which is due as well.
type dutySubject struct {
	usage           bool
	window          int64
	service, domain string
	reclaimable     bool
}

// subjectState is the state of the calls of a subject.
type subjectState struct {
	inFlight bool
	// failures is the number of failures in a row, retryAt the time since boot of the next call.
	failures int
	retryAt  time.Duration
}

// dutyAnswer is the answer to a call; err is nil if the provider accepted it.
type dutyAnswer struct {
	call dutyCall
	err  error
	took time.Duration
}

// duties makes the calls to the provider. All its functions are called by the goroutine of orders.
type duties struct {
	o        *orders
	bucket   *serverlimit.Buckets
	subjects map[dutySubject]subjectState
	answers  chan dutyAnswer

	// planners return the calls that are due, while this host holds the lease; earlier ones go first.
	planners []func(now time.Duration) []dutyCall
	// usageRecorded and targetRecorded are called with each decision in the topic, those of this
	// host included, in the order of the records; at is the time since boot when it was read. They
	// may be nil.
	usageRecorded  func(r provider.UsageReport)
	targetRecorded func(t provider.Target, at time.Duration)
	// usageAnswered and targetAnswered are called with the answer to each call. They may be nil.
	usageAnswered  func(r provider.UsageReport, err error)
	targetAnswered func(t provider.Target, err error)
}

func newDuties(o *orders) *duties {
	return &duties{
		o: o, bucket: serverlimit.NewBuckets(), subjects: make(map[dutySubject]subjectState),
		answers: make(chan dutyAnswer, maxDutyAnswers),
	}
}

// subject returns what the call is about.
func (c dutyCall) subject() dutySubject {
	if c.Usage != nil {
		return dutySubject{usage: true, window: c.Usage.Window}
	}
	return dutySubject{service: c.Target.Service, domain: c.Target.Domain, reclaimable: c.Target.Reclaimable}
}

// label returns the label of the call in metrics and logs.
func (c dutyCall) label() string {
	if c.Usage != nil {
		return "usage"
	}
	return "target"
}

// observeRecord passes on the decision of a record, which was read or appended at a time since boot.
func (d *duties) observeRecord(r *orderlease.Record, at time.Duration) {
	if r.Usage != nil && d.usageRecorded != nil {
		d.usageRecorded(*r.Usage)
	}
	if r.Target != nil && d.targetRecorded != nil {
		d.targetRecorded(*r.Target, at)
	}
}

// round starts the calls that are due. The holder of the lease calls it.
func (d *duties) round() {
	d.dropSubjects(boottime.Now())
	for _, plan := range d.planners {
		for _, c := range plan(boottime.Now()) {
			d.start(c)
		}
	}
}

// dropSubjects drops the failures of subjects that had no call for long.
func (d *duties) dropSubjects(now time.Duration) {
	for k, s := range d.subjects {
		if !s.inFlight && now-s.retryAt > subjectLifetime {
			delete(d.subjects, k)
		}
	}
}

// ready reports whether a call of a subject may be made: none is in flight, and the wait after the last
// failure is over.
func (d *duties) ready(s dutySubject, now time.Duration) bool {
	x := d.subjects[s]
	return !x.inFlight && now >= x.retryAt
}

// start records the decision of a call unless that was done, and makes the call without waiting for its
// answer. It reports whether the call was started; otherwise it may be started later.
func (d *duties) start(c dutyCall) bool {
	now := boottime.Now()
	if !d.o.g.hasDuty(c) || !d.ready(c.subject(), now) {
		return false
	}
	if !d.bucket.Ask(d.ask(), providerShare, now).Granted {
		return false
	}
	if !d.announce(c) {
		return false
	}
	s := d.subjects[c.subject()]
	s.inFlight = true
	d.subjects[c.subject()] = s
	t := d.o.term()
	d.o.g.wg.Go(func() {
		start := time.Now()
		err := d.o.g.callProvider(c, t)
		select {
		case d.answers <- dutyAnswer{call: c, err: err, took: time.Since(start)}:
		case <-d.o.g.ctx.Done():
		}
	})
	return true
}

// ask returns the request for a token of the provider's bucket.
func (d *duties) ask() serverlimit.Ask {
	return serverlimit.Ask{
		Server: providerBucket, Limit: serverlimit.Limit{PerSecond: d.o.g.s.Provider.CallsPerSecond},
	}
}

// announce ensures that a record in the topic precedes the call: it appends the decision if it is not recorded
// yet, or renews the lease if too little time is left to send the call.
func (d *duties) announce(c dutyCall) bool {
	if !c.recorded {
		return d.o.append(&decision{Usage: c.Usage, Target: c.Target})
	}
	return boottime.Now()+minSendTime < d.o.term().until || d.o.append(nil)
}

// hasDuty reports whether the deployment has the duty to which a call belongs.
func (g *Gateway) hasDuty(c dutyCall) bool {
	if c.Usage != nil {
		return g.c.Provider.ReportUsage != nil
	}
	return g.c.Provider.SetTarget != nil
}

// callProvider makes a call while the term t of the lease permits it.
func (g *Gateway) callProvider(c dutyCall, t term) error {
	check := func() error {
		if boottime.Now() > t.until {
			return outcome.Refuse(outcome.ReasonStaleFence, "call to the provider")
		}
		return nil
	}
	if err := check(); err != nil {
		return err
	}
	// A successor takes the lease no earlier than its duration after t.until.
	ctx, cancel := context.WithTimeout(g.ctx, min(dutyCallTimeout, g.s.Timing.OrderLease.D()))
	defer cancel()
	h := provider.Holder{Host: g.s.Name, Fence: t.fence, Check: check}
	if c.Usage != nil {
		return g.c.Provider.ReportUsage(ctx, h, *c.Usage)
	}
	return g.c.Provider.SetTarget(ctx, h, *c.Target)
}

// handle processes the answer to a call.
func (d *duties) handle(a dutyAnswer) {
	s := a.call.subject()
	if a.err == nil || !needsBackoff(a.err) {
		delete(d.subjects, s)
	} else {
		n := d.subjects[s].failures
		d.subjects[s] = subjectState{
			failures: n + 1, retryAt: boottime.Now() + backoff.Exponential(initialDutyBackoff, maxDutyBackoff, n),
		}
	}
	d.report(a)
	if a.call.Usage != nil && d.usageAnswered != nil {
		d.usageAnswered(*a.call.Usage, a.err)
	}
	if a.call.Target != nil && d.targetAnswered != nil {
		d.targetAnswered(*a.call.Target, a.err)
	}
}

// needsBackoff reports whether the calls of a subject wait after an error. A conflict says that the
// provider answers; the planner of targets decides what follows it. A call that this host could not
// send in time says nothing of the provider.
func needsBackoff(err error) bool {
	return !outcome.HasReason(err, outcome.ReasonConflict) && !outcome.HasReason(err, outcome.ReasonStaleFence)
}

// report counts an answer, and logs it unless the call was accepted.
func (d *duties) report(a dutyAnswer) {
	result := "accepted"
	if a.err != nil {
		e := outcome.AsError(a.err)
		result = string(e.Reason)
		d.o.g.log.Info("duties: call to the provider failed", zap.String("call", a.call.label()),
			zap.String("reason", result), zap.String("outcome", string(e.Outcome)), zap.Duration("took", a.took), zap.Error(a.err))
	}
	d.o.g.metrics.providerCalls.WithLabelValues(a.call.label(), result).Inc()
}

// handleWaiting processes the answers that have arrived. It is called while this host does not hold the
// lease.
func (d *duties) handleWaiting() {
	for {
		select {
		case a := <-d.answers:
			d.handle(a)
		default:
			return
		}
	}
}
