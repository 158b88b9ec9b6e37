package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"mulberrypier.example/mulberrybench/internal/eventqueue"
	"mulberrypier.example/mulberrybench/internal/model"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/owner"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/rollout"
	"mulberrypier.example/pier/weights"
)

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
