package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/promptload"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/stepjournal"
	"mulberrypier.example/pier/stepplan"
)

const (
	// driveInterval is the longest time between two checks of a step with samples that wait
	// to start.
	driveInterval = 50 * time.Millisecond
	// driveMaxViewAge is the greatest age of the view of the step's partition at which new
	// samples start: a host that cannot reach the log does not learn of the step's end.
	driveMaxViewAge = 10 * time.Second
	// watchedTimeout is how long a step counts as watched after the last query for it.
	watchedTimeout = 2 * time.Second
	// abandonMargin is added to the time after which the route gives samples up. It covers the
	// small difference in rate of the clocks of hosts and of trainers.
	abandonMargin = 3 * time.Second
)

// stepDriver runs the samples of one step on this host.
type stepDriver struct {
	g     *Gateway
	route *routetable.Route
	step  *stepjournal.Step
	view  *view
	ctx   context.Context
	stop  context.CancelFunc
	// endedRuns receives the samples whose run ended, with a result or to be run again.
	endedRuns chan *sample
	// waiting holds the samples to start, in this order; running holds the started ones by
	// item.
	waiting []*sample
	running map[int]*sample
	// samples holds all samples, runs counts their runs that have not ended.
	samples []*sample
	runs    sync.WaitGroup
	// ended reports by item whether nothing is left to do here; remaining counts the items
	// that are not ended.
	ended     []bool
	remaining int
	// startedAt is when this host learnt that it drives the step; movedAt is when it last
	// searched for samples to move.
	startedAt time.Time
	movedAt   time.Time
	// demandedAt is when this host last asked for engines with a version that samples wait for.
	demandedAt time.Time
	// watched is the time since boot at which another host last queried the step. Hosts do
	// so while the step is open and this host is its driver.
	watched atomic.Int64
	// open is what other goroutines see of the samples; sizes is the number of samples by service, by
	// sizesTable. departing is set while a server is taken away that runs samples of the step.
	open       atomic.Pointer[openSamples]
	sizes      map[string]int
	sizesTable *routetable.Table
	departing  bool
}

func newStepDriver(g *Gateway, r *routetable.Route, s *stepjournal.Step, v *view) *stepDriver {
	d := &stepDriver{
		g: g, route: r, step: s, view: v, endedRuns: make(chan *sample, len(s.Items)),
		running: make(map[int]*sample), ended: make([]bool, len(s.Items)), remaining: len(s.Items), startedAt: time.Now(),
	}
	d.ctx, d.stop = context.WithCancel(g.ctx)
	l := make([]stepplan.Sample, len(s.Items))
	for i, t := range s.Items {
		l[i] = stepplan.Sample{ItemIndex: i, Group: t.Group, ExpectedTokens: t.ExpectedTokens}
	}
	for _, p := range stepplan.StartOrder(l) {
		d.waiting = append(d.waiting, newSample(d, p.ItemIndex))
	}
	d.samples = slices.Clone(d.waiting)
	return d
}

// run returns when the step has all its results, was ended, or was taken over.
func (d *stepDriver) run() {
	defer d.stop()
	defer d.cancelRuns()
	d.restore()
	for d.ctx.Err() == nil {
		changed, ok := d.applyJournal()
		if !ok || d.remaining == 0 {
			break
		}
		capacityChanged := d.g.fleet.capacityChanged()
		d.startWaiting()
		d.showOpen()
		d.leaveServers()
		d.moveSamples()
		d.wait(changed, capacityChanged)
	}
	d.g.log.Info("step: left", zap.String("id", d.step.ID), zap.Int("open", d.remaining))
}

// restore loads the progress of the samples, as far as a previous driver has saved it.
func (d *stepDriver) restore() {
	savedProgress := d.view.savedProgress(d.step.ID)
	saved := make(map[int64]*sample, len(savedProgress))
	for _, s := range d.waiting {
		if at, ok := savedProgress[s.at]; ok {
			saved[at] = s
		}
	}
	d.view.recordsAt(d.ctx, slices.Collect(maps.Keys(saved)), func(at int64, b []byte) {
		saved[at].restoreRecord(b)
		delete(saved, at)
	})
	for _, s := range saved {
		d.g.log.Warn("sample: saved progress cannot be read; starting anew", zap.String("id", s.item.ID))
	}
}

// applyJournal applies the journal's state of the step. It returns the channel that is
// closed with the next record, and false if the step has ended or has another driver.
func (d *stepDriver) applyJournal() (<-chan struct{}, bool) {
	d.view.use()
	e, changed, known := d.view.entry(d.step.ID)
	if !known {
		return changed, true
	}
	if e.Ended || e.Driver.Host != d.g.self.Host {
		return changed, false
	}
	for i, done := range d.view.finished(d.step.ID, len(d.ended)) {
		if done {
			d.finish(i)
		}
	}
	if d.route.AbandonAfter > 0 && e.Age(boottime.Now()) > d.route.AbandonAfter+abandonMargin {
		d.giveUp()
	}
	return changed, true
}

// finish marks an item as ended on this host and cancels its run, if any.
func (d *stepDriver) finish(i int) {
	if d.ended[i] {
		return
	}
	d.ended[i] = true
	d.remaining--
	if s := d.running[i]; s != nil {
		s.cancel()
		delete(d.running, i)
	}
}

// giveUp posts a result with the state Dead for each sample that has no result.
func (d *stepDriver) giveUp() {
	for i := range d.ended {
		if !d.ended[i] {
			d.post(&stepjournal.Result{
				Step: d.step.ID, ItemIndex: i, ID: d.step.Items[i].ID,
				State: stepjournal.Dead,
			})
			d.finish(i)
		}
	}
}

// startWaiting starts waiting samples in order, each as far as there is a free slot that suits it.
// One that waits does not hold up others that need something else.
func (d *stepDriver) startWaiting() {
	if d.outdated(time.Now()) {
		return
	}
	t := d.g.Table()
	if t == nil {
		return
	}
	keep := d.waiting[:0]
	p := slotPicker{f: d.g.fleet, t: t, model: d.step.Model, full: make(map[slotNeed]bool)}
	for _, s := range d.waiting {
		if d.ended[s.at] {
			s.text.drop()
			continue
		}
		if !d.startSample(&p, s) {
			keep = append(keep, s)
		}
	}
	d.waiting = keep
	d.demandEngines(&p)
}

// outdated reports whether the step may have ended or been taken over without this host's
// knowledge: its view is old and no other host queries the step.
func (d *stepDriver) outdated(now time.Time) bool {
	unwatched := boottime.Now() - time.Duration(d.watched.Load())
	return now.Sub(d.startedAt) > driveMaxViewAge && d.view.staleAt(now.Add(-driveMaxViewAge)) && unwatched > watchedTimeout
}

// startSample starts a sample if an engine has a free slot for it, and reports whether it did.
func (d *stepDriver) startSample(p *slotPicker, s *sample) bool {
	services := d.services(p.t, s)
	if len(services) == 0 {
		return false
	}
	s.checkWriter(services)
	p.prompt = s.nextPrompt()
	if s.hasText() {
		if u, ok := p.pick(s.writer.Service, d.need(s)); ok {
			d.start(s, u)
			return true
		}
		if s.prompt.Held {
			return false
		}
		anywhere := stepplan.Need{MinVersion: d.minVersion(s)}
		if !p.hasFree(services, anywhere) || !s.givesTextUp(time.Now()) {
			return false
		}
	}
	for _, k := range services {
		if u, ok := p.pick(k, d.need(s)); ok {
			d.start(s, u)
			return true
		}
	}
	return false
}

// nextPrompt returns what the next engine reads before it generates: the prompt and the text so far.
func (s *sample) nextPrompt() *promptload.Prompt {
	s.prompt.Tokens, s.prompt.Held = s.item.PromptTokens, false
	if s.prompt.Tokens > 0 {
		s.prompt.Tokens += int(s.lastID)
	}
	return &s.prompt
}

// start runs a sample at the server of a reservation.
func (d *stepDriver) start(s *sample, u *reservation) {
	s.server, s.service, s.placedAt = u.s.ID, u.s.Service, time.Now()
	s.prompt.HeldSince = time.Time{}
	if s.startedAt.IsZero() {
		s.startedAt = time.Now()
	}
	ctx, cancel := context.WithCancel(d.ctx)
	s.cancel = cancel
	d.running[s.at] = s
	d.runs.Add(1)
	d.g.wg.Go(func() {
		defer d.runs.Done()
		defer cancel()
		s.run(ctx, u)
		d.endedRuns <- s
	})
}

// services returns the services that may generate a sample, in the order in which it uses them. It
// is empty if no route leads to any.
func (d *stepDriver) services(t *routetable.Table, s *sample) []string {
	if s.table == t {
		return s.services
	}
	s.table, s.services = t, nil
	if r := t.Match(d.step.Host, s.item.Path); r != nil {
		s.services = r.ServicesFor(xxhash.Sum64String(s.item.ID))
	}
	return s.services
}

// minVersion returns the oldest version that may generate the rest of a sample.
func (d *stepDriver) minVersion(s *sample) int64 { return max(d.step.MinVersion, s.pinned.Load()) }

// need returns what the next run of a sample requires of its engine.
func (d *stepDriver) need(s *sample) stepplan.Need {
	n := stepplan.Need{MinVersion: d.minVersion(s)}
	if s.hasText() {
		n.Software = s.writer.Version
	}
	return n
}

// wait returns on any event that may allow progress: a record, free capacity, the end of a
// run, or the check interval.
func (d *stepDriver) wait(changed, capacityChanged <-chan struct{}) {
	if len(d.waiting) == 0 {
		capacityChanged = nil
	}
	interval := driveInterval
	if len(d.waiting) == 0 && !d.departing {
		interval = moveInterval
	}
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-d.ctx.Done():
	case <-changed:
	case <-capacityChanged:
	case <-t.C:
	case s := <-d.endedRuns:
		d.runEnded(s)
	}
}

// runEnded handles the end of a sample's run: it posts the result, or queues the sample to
// run again before the other waiting ones.
func (d *stepDriver) runEnded(s *sample) {
	delete(d.running, s.at)
	if d.ended[s.at] {
		s.text.drop()
		return
	}
	if s.result == nil {
		d.waiting = append([]*sample{s}, d.waiting...)
		return
	}
	s.log()
	d.post(s.finalResult())
	s.text.drop()
	d.g.metrics.sample.Observe(time.Since(s.startedAt).Seconds())
	d.finish(s.at)
}

// post appends a result to the journal.
func (d *stepDriver) post(r *stepjournal.Result) {
	b, err := stepjournal.Finished(r)
	if err != nil {
		d.g.log.Error("step: result cannot be encoded; not added to the journal",
			zap.String("id", r.ID), zap.Error(outcome.AsError(err)))
		return
	}
	d.g.metrics.samples.WithLabelValues(string(r.State)).Inc()
	d.view.post(b)
}

// release records that the step has no driver, so that any other host may take it over. It
// is called at the end of a drain.
func (d *stepDriver) release() {
	b, err := stepjournal.TakenOver(d.step.ID, d.g.self.Host, stepjournal.Driver{})
	if err != nil {
		d.g.log.Error("step: release record cannot be encoded; step not released",
			zap.String("id", d.step.ID), zap.Error(err))
		return
	}
	d.view.post(b)
}

// dropTexts gives the memory of all texts back once no run is left. It is called after run.
func (d *stepDriver) dropTexts() {
	d.runs.Wait()
	for _, s := range d.samples {
		s.text.drop()
	}
}

// cancelRuns cancels the runs of all samples.
func (d *stepDriver) cancelRuns() {
	for _, s := range d.running {
		s.cancel()
	}
}
