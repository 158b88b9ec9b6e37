package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"mulberrypier.example/mulberrybench/internal/eventqueue"
	"mulberrypier.example/mulberrybench/internal/model"
	"mulberrypier.example/pier/engine"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/owner"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/rollout"
	"mulberrypier.example/pier/weights"
)

// StepResult is the timing of one step.
type StepResult struct {
	Trainer string
	Step    int64
	// Took is the time until the last sample was handed over, from the opening of the step
	// or, if later, from the completion of the step before. MinTime is the shortest time
	// that the engines could have needed.
	Took, MinTime time.Duration
	// IdleTime is how long the trainer waited for samples of this step.
	IdleTime time.Duration
}

// Result is the result of one run.
type Result struct {
	Policy string
	Seed   uint64
	Steps  []StepResult
	// Staleness holds the staleness of each sample handed over, in versions.
	Staleness []int64
	// Tokens counts the tokens of the samples handed over, Discarded those that were
	// discarded.
	Tokens, Discarded int64
	// OverBound counts the samples handed over above the staleness bound. It must be 0.
	OverBound int
	// ChatTimes holds the times of the interactive completions, in seconds.
	ChatTimes []float64
	// Swaps and Failures count the finished and failed weight loads, Crashes the
	// crashes of engines.
	Swaps, Failures, Crashes int
	// LoadOverTime is the load at each report interval.
	LoadOverTime []LoadPoint
	// Took is the virtual duration of the run.
	Took time.Duration
	// Assignments counts the streams that were assigned to engines.
	Assignments int
}

// LoadPoint is the number of running streams at a time since the start of the run, and
// the number of engines that are loading weights.
type LoadPoint struct {
	At      time.Duration
	Running int
	Loading int
}

// server is one engine with its name.
type server struct {
	name string
	sim  *model.Engine
	down bool
	// report is the last load report that has arrived; pushed counts the streams that a
	// baseline has pushed since.
	report engine.Load
	pushed int
}

// run is the simulation of one policy on one seed.
type run struct {
	c         *Config
	p         *Policy
	seed      uint64
	now       time.Time
	startedAt time.Time
	events    eventqueue.Queue

	servers  []*server
	byName   map[string]*server
	table    *owner.Table
	orders   *weights.Orders
	permits  *weights.Permits
	trainers []*trainerState
	// assigned holds the assignment of each running stream by stream id.
	assigned map[string]rollout.Work
	rng      *rand.Rand
	// lag is the age of load reports.
	lag time.Duration
	// roundRobinIndex is the index, modulo the number of engines, of the engine that
	// RoundRobin tried last.
	roundRobinIndex int
	// chatStarts holds the start time of each running completion by stream id; chatCount
	// is the number of completions so far, from which their ids are made.
	chatStarts map[string]time.Time
	chatCount  int
	// lengthKeys maps a stream to the id that its length was drawn with, which is that of
	// its first attempt if the stream was resumed on another engine.
	lengthKeys map[rollout.Stream]string
	// storeFreeAt is when the weight store grants the next load.
	storeFreeAt time.Time
	// assignScheduled is set while a call of assignWork is scheduled.
	assignScheduled bool
	// finishedAll is set when every trainer has published the version after its last
	// step, which ends the run.
	finishedAll bool
	res         Result
}

// startTime is the virtual time at which every run starts.
var startTime = time.Unix(1_700_000_000, 0).UTC()

// Run simulates one policy on one seed. It panics if the simulation has no event left
// before all trainers are done, or if package rollout returns an error.
func Run(c *Config, p *Policy, seed uint64) *Result {
	r := &run{
		c: c, p: p, seed: seed, now: startTime, startedAt: startTime,
		byName: make(map[string]*server), assigned: make(map[string]rollout.Work), chatStarts: make(map[string]time.Time),
		rng: rand.New(rand.NewPCG(seed, 99)), lengthKeys: make(map[rollout.Stream]string),
		table:   owner.New(owner.Config{Reserve: p.Reserve}),
		orders:  weights.NewOrders(weights.Config{LoadLimit: time.Minute, Retry: 500 * time.Millisecond}),
		permits: weights.NewPermits(weights.PermitConfig{MaxLoads: p.LoadsAtOnce, Lease: 30 * time.Second, Retry: 200 * time.Millisecond}),
		res:     Result{Policy: p.Name, Seed: seed},
	}
	r.lag = c.Lag.D()
	if p.Lag > 0 {
		r.lag = p.Lag.D()
	}
	r.setUp()
	r.loop()
	r.summarise()
	return &r.res
}

// setUp creates engines and trainers and schedules the first events.
func (r *run) setUp() {
	var l []owner.Owned
	for i := range r.c.Engines {
		m := r.c.Engine
		m.LoadTime, m.Pause, m.LoadFails = r.c.Load.D(), r.c.Pause.D(), r.c.Faults.LoadFails
		m.Seed = r.seed*1000 + uint64(i)
		s := &server{name: fmt.Sprintf("engine-%d", i), sim: model.NewEngine(r.now, m)}
		r.servers = append(r.servers, s)
		r.byName[s.name] = s
		express := 0
		if i < r.p.Express {
			express = r.p.ExpressBatch
		}
		l = append(l, owner.Owned{Server: release.Server{Name: s.name, Deployment: "d", Capacity: m.MaxBatch}, Interactive: r.p.Reserve > 0, Express: express})
	}
	r.table.SetOwned(l)
	for i := range r.c.Trainers {
		t := newTrainerState(r, &r.c.Trainers[i])
		r.trainers = append(r.trainers, t)
	}
	for _, s := range r.servers {
		r.applyReport(s, s.load())
	}
	for _, t := range r.trainers {
		t.openFirst()
	}
	r.after(r.c.ReportInterval.D(), r.collectReports)
	if r.c.Chat.Rate > 0 {
		r.after(r.randomInterval(r.c.Chat.Rate), r.startChat)
	}
	if d := r.c.Faults.CrashInterval.D(); d > 0 {
		r.after(r.randomInterval(1/seconds(d)), r.crashEngine)
	}
	r.scheduleAssign()
}

// randomInterval returns a random time between two events of a Poisson process with the
// rate, in events a second.
func (r *run) randomInterval(rate float64) time.Duration {
	return time.Duration(r.rng.ExpFloat64() / rate * 1e9)
}

// after runs f after the virtual time d.
func (r *run) after(d time.Duration, f func()) {
	r.events.Add(r.now.Add(d), f)
}

// loop processes events and advances the engines until all trainers are done.
func (r *run) loop() {
	for !r.finishedAll {
		t, ok := r.next()
		if !ok {
			panic(fmt.Sprintf("experiment %s, policy %s, seed %d: no events left before all trainers were done", r.c.Name, r.p.Name, r.seed))
		}
		r.now = t
		for _, s := range r.servers {
			for _, x := range s.sim.Advance(r.now) {
				r.streamFinished(s, x)
			}
		}
		for _, f := r.events.PopUntil(r.now); f != nil; _, f = r.events.PopUntil(r.now) {
			f()
		}
		for _, x := range r.trainers {
			x.pullSamples()
		}
	}
}

// next returns the time of the next event of the queue or of an engine, and false if there
// is none.
func (r *run) next() (time.Time, bool) {
	t, ok := r.events.Next()
	for _, s := range r.servers {
		if n, has := s.sim.Next(); has && (!ok || n.Before(t)) {
			t, ok = n, true
		}
	}
	if ok && t.Before(r.now) {
		t = r.now
	}
	return t, ok
}

// summarise adds the totals of the run and its engines to the result.
func (r *run) summarise() {
	r.res.Took = r.now.Sub(r.startedAt)
	for _, s := range r.servers {
		r.res.Swaps += s.sim.Swaps
		r.res.Failures += s.sim.Failures
	}
}

// load returns the current load of an engine.
func (s *server) load() engine.Load {
	n, w := s.sim.Counts()
	f := s.sim.Failed()
	return engine.Load{Running: n, Waiting: w, Versions: s.sim.Versions(), Loading: s.sim.Loading(), Failed: f}
}

// collectReports takes a load report of each running engine, which arrives after the
// lag, records the load, and schedules the next reports. It also reports the progress of
// all streams to the coordinators.
func (r *run) collectReports() {
	point := LoadPoint{At: r.now.Sub(r.startedAt)}
	for _, s := range r.servers {
		n, _ := s.sim.Counts()
		point.Running += n
		if s.sim.Loading() {
			point.Loading++
		}
		if s.down {
			continue
		}
		l := s.load()
		r.after(r.lag, func() { r.applyReport(s, l) })
	}
	r.res.LoadOverTime = append(r.res.LoadOverTime, point)
	r.after(r.c.ReportInterval.D(), r.collectReports)
	r.after(r.lag, r.orderLoads)
	for _, t := range r.trainers {
		for _, p := range t.steps {
			p.reportProgress()
			p.Tick(r.now)
		}
	}
	r.scheduleAssign()
}

// applyReport passes a load report on to the owner table and to the weight orders.
func (r *run) applyReport(s *server, l engine.Load) {
	if s.down {
		return
	}
	s.report, s.pushed = l, 0
	r.table.Report(r.now, s.name, &l)
	for _, t := range r.trainers {
		k := weights.Target{Server: s.name, Model: t.c.Name}
		r.orders.Report(r.now, k, rollout.Version(max(1, l.Versions[t.c.Name])), l.Failed == t.c.Name)
	}
}

// orderLoads tells the weight orders the newest version of each trainer and executes the
// actions that are due.
func (r *run) orderLoads() {
	for _, t := range r.trainers {
		for _, s := range r.servers {
			if t.version > 1 {
				r.orders.SetWanted(weights.Target{Server: s.name, Model: t.c.Name}, t.version)
			}
		}
	}
	for {
		l := r.orders.Next(r.now)
		if len(l) == 0 {
			return
		}
		for _, x := range l {
			r.executeLoadAction(x)
		}
	}
}

// executeLoadAction asks for a permit to load, or sends the order to the engine. The load
// starts when the weight store grants it; the permit is returned once the load time has
// passed.
func (r *run) executeLoadAction(x weights.Action) {
	s := r.byName[x.Server]
	if x.NeedsPermit {
		ok, after := r.permits.Acquire(r.now, x.Target)
		r.orders.Permitted(r.now, x.Target, ok, after)
		if !ok {
			r.after(after, r.orderLoads)
		}
		return
	}
	if s.down {
		r.orders.Ordered(r.now, x.Target, x.Version, false)
		return
	}
	r.orders.Ordered(r.now, x.Target, x.Version, true)
	wait := time.Duration(0)
	if r.c.StoreRate > 0 {
		if r.storeFreeAt.Before(r.now) {
			r.storeFreeAt = r.now
		}
		r.storeFreeAt = r.storeFreeAt.Add(time.Duration(1e9 / r.c.StoreRate))
		wait = r.storeFreeAt.Sub(r.now)
	}
	r.after(wait, func() {
		if !s.down {
			s.sim.Load(r.now, x.Model, int64(x.Version))
		}
		r.after(r.c.Load.D()+time.Millisecond, func() { r.permits.Done(x.Target) })
	})
}

// scheduleAssign schedules assignWork after one round trip, unless it is scheduled already.
func (r *run) scheduleAssign() {
	if r.assignScheduled {
		return
	}
	r.assignScheduled = true
	r.after(2*r.c.HopLatency.D(), func() {
		r.assignScheduled = false
		r.assignWork()
	})
}

// assignWork offers the free slots of all engines to the trainers in turn, as the owners
// of the service do.
func (r *run) assignWork() {
	if r.p.Placement != LateBinding {
		r.pushAll()
		return
	}
	for _, t := range r.trainerOrder() {
		o := r.table.Offers(r.now, "d", t.c.Name)
		for i := range o {
			o[i].Version = max(1, o[i].Version)
		}
		for _, p := range t.steps {
			w := p.Assign(r.now, "host", o)
			for i := range w {
				for j := range o {
					if o[j].Server == w[i].Server {
						o[j].FreeSlots--
					}
				}
				r.startStream(w[i])
			}
			r.executeCancels(p.Moves(r.now, o))
		}
	}
}

// trainerOrder returns the trainers in the order in which the policy offers them free
// slots.
func (r *run) trainerOrder() []*trainerState {
	n := make(map[string]int)
	for _, w := range r.assigned {
		n[w.Key.Trainer]++
	}
	var q []owner.TrainerLoad
	for _, t := range r.trainers {
		q = append(q, owner.TrainerLoad{
			Trainer: t.c.Name, Share: t.share(), Running: n[t.c.Name], Missing: t.unfinished(), StepOpened: t.pendingSince(),
		})
	}
	owner.SortTrainers(q, r.p.Rule)
	var l []*trainerState
	for _, x := range q {
		l = append(l, r.trainer(x.Trainer))
	}
	return l
}

// pushAll assigns all pending samples at once, as the baselines do.
func (r *run) pushAll() {
	for _, t := range r.trainers {
		for _, p := range t.steps {
			for p.Counts().Pending > 0 {
				s := r.pushTarget()
				if s == nil {
					return
				}
				v := rollout.Version(max(1, s.report.Versions[t.c.Name]))
				w := p.Assign(r.now, "host", []rollout.Offer{{Server: s.name, FreeSlots: 1, Version: v, SecondsToLoad: -1}})
				if len(w) == 0 {
					break
				}
				s.pushed++
				r.startStream(w[0])
			}
		}
	}
}

// pushTarget returns the engine that a baseline pushes the next sample to, or nil if all
// engines are down.
func (r *run) pushTarget() *server {
	var best *server
	switch r.p.Placement {
	case RoundRobin:
		for range r.servers {
			r.roundRobinIndex++
			if s := r.servers[r.roundRobinIndex%len(r.servers)]; !s.down {
				return s
			}
		}
	default:
		for _, s := range r.servers {
			if !s.down && (best == nil || s.estimatedStreams() < best.estimatedStreams()) {
				best = s
			}
		}
	}
	return best
}

// estimatedStreams returns the number of streams of the last report plus those pushed
// since.
func (s *server) estimatedStreams() int { return s.report.Running + s.report.Waiting + s.pushed }

// startStream starts an assigned stream on its engine. If the engine is down or the owner
// table refuses the stream, the coordinator is told that it is lost.
func (r *run) startStream(w rollout.Work) {
	s := r.byName[w.Server]
	id := w.ID()
	if s.down {
		r.streamLost(w, nil)
		return
	}
	if r.p.Placement == LateBinding {
		if err := r.table.Start(w.Server, id, owner.Rollout); err != nil {
			r.streamLost(w, nil)
			return
		}
	}
	r.res.Assignments++
	r.assigned[id] = w
	g := w.Key.String() + "/" + strconv.Itoa(int(w.Group))
	x := &model.Stream{ID: id, Model: w.Key.Trainer, Prefix: g, Priority: w.Priority}
	// A stream that is resumed keeps the length of its first attempt, as it continues the
	// same sample. A new attempt draws a new length.
	name := id
	if w.Resume != nil {
		name = w.Resume.ID()
		if n, ok := r.lengthKeys[w.Resume.Stream]; ok {
			name = n
		}
		x.PriorTokens = w.Resume.Tokens
	}
	r.lengthKeys[w.Stream] = name
	l := r.c.Lengths
	l.Seed += r.seed
	x.Length = max(x.PriorTokens+1, l.Draw(g, name, r.c.MaxTokens))
	s.sim.Add(r.now, x)
}

// streamFinished removes a stream that has all its tokens and passes its sample on to the
// coordinator one hop later.
func (r *run) streamFinished(s *server, x *model.Stream) {
	if t, ok := r.chatStarts[x.ID]; ok {
		delete(r.chatStarts, x.ID)
		r.res.ChatTimes = append(r.res.ChatTimes, seconds(r.now.Sub(t)))
		r.table.End(s.name, x.ID)
		s.sim.Remove(r.now, x.ID)
		return
	}
	w, ok := r.assigned[x.ID]
	if !ok {
		return
	}
	m := r.sample(s, x, &w)
	r.removeStream(s, x.ID)
	t := r.trainer(w.Key.Trainer)
	r.after(r.c.HopLatency.D(), func() {
		if p := t.findStep(w.Key.Step); p != nil {
			r.executeCancels(p.Seal(r.now, m))
			t.canPull = true
		}
	})
	r.scheduleAssign()
}

// sample returns the sample of a stream with the tokens so far, including those of the
// attempt that it resumes.
func (r *run) sample(s *server, x *model.Stream, w *rollout.Work) *rollout.Sample {
	m := &rollout.Sample{Stream: w.Stream, Server: s.name, Finish: "stop"}
	if w.Resume != nil {
		m.Segments, m.Tokens = slices.Clone(w.Resume.Segments), w.Resume.Tokens
	}
	for _, g := range s.sim.RecordSegments(x) {
		if err := m.Extend(g.First, g.End, rollout.Version(g.Version)); err != nil {
			panic(err)
		}
	}
	return m
}

// removeStream removes a stream from its engine and from the owner table.
func (r *run) removeStream(s *server, id string) {
	s.sim.Remove(r.now, id)
	delete(r.assigned, id)
	r.table.End(s.name, id)
}

// streamLost reports a stream that ended without a complete sample to its coordinator one
// hop later. m is the partial sample to resume from, or nil.
func (r *run) streamLost(w rollout.Work, m *rollout.Sample) {
	r.after(r.c.HopLatency.D(), func() {
		if p := r.trainer(w.Key.Trainer).findStep(w.Key.Step); p != nil {
			n := 0
			if m != nil {
				n = m.Tokens
			}
			p.StreamFailed(w.Stream, n, m)
			r.scheduleAssign()
		}
	})
}

// executeCancels removes the streams that a coordinator cancels. A stream that is to move
// is then reported as lost, so that its tokens are continued on another engine.
func (r *run) executeCancels(l []rollout.Cancel) {
	for _, c := range l {
		id := c.Stream.ID()
		w, ok := r.assigned[id]
		if !ok {
			continue
		}
		s := r.byName[w.Server]
		m := r.sample(s, s.sim.Stream(id), &w)
		r.removeStream(s, id)
		if c.Move {
			if m.Tokens == 0 {
				m = nil
			}
			r.streamLost(w, m)
		}
	}
	if len(l) > 0 {
		r.scheduleAssign()
	}
}

// trainer returns the trainer with a name, or nil.
func (r *run) trainer(name string) *trainerState {
	for _, t := range r.trainers {
		if t.c.Name == name {
			return t
		}
	}
	return nil
}

// startChat starts an interactive completion and schedules the next one.
func (r *run) startChat() {
	r.after(r.randomInterval(r.c.Chat.Rate), r.startChat)
	r.chatCount++
	id := fmt.Sprintf("chat/%d", r.chatCount)
	name, err := r.table.PickInteractive("d")
	if err == nil {
		err = r.table.Start(name, id, owner.Interactive)
	}
	if err != nil {
		// Without a running engine the completion is dropped. Otherwise all batches are
		// full, and the engine that the completion is pushed to queues it.
		if outcome.HasReason(err, outcome.ReasonNoServer) {
			return
		}
		name = r.pushTarget().name
	}
	x := &model.Stream{ID: id, Model: "", Prefix: "chat", Length: r.c.Chat.Tokens}
	if r.p.ChatPriority {
		x.Priority = 8
	}
	r.chatStarts[id] = r.now
	r.byName[name].sim.Add(r.now, x)
}

// crashEngine crashes a random engine, whose streams and loaded versions are lost, and
// schedules its repair and the next crash.
func (r *run) crashEngine() {
	r.after(r.randomInterval(1/seconds(r.c.Faults.CrashInterval.D())), r.crashEngine)
	s := r.servers[r.rng.IntN(len(r.servers))]
	if s.down {
		return
	}
	r.res.Crashes++
	for _, id := range s.sim.IDs() {
		w, ok := r.assigned[id]
		x := s.sim.Stream(id)
		if !ok {
			delete(r.chatStarts, id)
			r.table.End(s.name, id)
			continue
		}
		m := r.sample(s, x, &w)
		if m.Tokens == 0 {
			m = nil
		}
		r.removeStream(s, id)
		r.streamLost(w, m)
	}
	s.down = true
	r.table.Down(s.name)
	swaps, fails := s.sim.Swaps, s.sim.Failures
	r.after(r.c.Faults.RepairTime.D(), func() {
		m := r.c.Engine
		m.LoadTime, m.Pause, m.LoadFails = r.c.Load.D(), r.c.Pause.D(), r.c.Faults.LoadFails
		m.Seed = r.rng.Uint64()
		s.sim = model.NewEngine(r.now, m)
		s.sim.Swaps, s.sim.Failures = swaps, fails
		s.down = false
		// The new process loads the newest published weights when it starts.
		for _, t := range r.trainers {
			s.sim.Load(r.now, t.c.Name, int64(t.version))
		}
		r.scheduleAssign()
	})
}

// minStepTime returns a lower bound of the time for the samples of a step: the greater of
// the time for all tokens at the trainer's share of the throughput of all engines, and
// the time of the longest sample on an idle engine. It counts the prompt of a group once
// in full and for each further sample as cached, at a tenth of the cost.
func (r *run) minStepTime(t *trainerState, p *openStep) time.Duration {
	work, longest := 0.0, 0.0
	for i := range t.c.Groups {
		g := p.Key().String() + "/" + strconv.Itoa(i*t.c.Samples)
		for j := range t.c.Samples {
			w := rollout.Stream{Key: p.Key(), Slot: rollout.Slot(i*t.c.Samples + j)}
			l := r.c.Lengths
			l.Seed += r.seed
			n := float64(l.Draw(g, w.ID(), r.c.MaxTokens))
			work += n + r.c.Engine.PrefillTokens/10
			longest = math.Max(longest, n)
		}
		work += r.c.Engine.PrefillTokens * 0.9
	}
	share, all := t.share(), 0.0
	for _, x := range r.trainers {
		all += x.share()
	}
	d := work / (r.c.maxThroughput() * share / all)
	d = math.Max(d, (longest+r.c.Engine.PrefillTokens)/r.c.Engine.Speed)
	return time.Duration(d * 1e9)
}
