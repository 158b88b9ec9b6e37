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

// StepResult is what one step took.
type StepResult struct {
	Trainer string
	Step    int64
	// Took is the time from the opening, or from the step before being whole, to
	// the last sample; Limit is the shortest time that was possible.
	Took, Limit time.Duration
	// Idle is the time that the trainer waited for samples of this step.
	Idle time.Duration
}

// Result is what one run gave.
type Result struct {
	Policy string
	Seed   uint64
	Steps  []StepResult
	// Stale holds the staleness of each sample handed over.
	Stale []int64
	// Tokens and Thrown count the tokens of samples handed over and of others.
	Tokens, Thrown int64
	// Over counts samples that were handed over above the bound: never any.
	Over int
	// Chat holds the times of the interactive completions, in seconds.
	Chat []float64
	// Swaps, Failures and Deaths count what happened to the engines.
	Swaps, Failures, Deaths int
	// Load is the number of running streams over time, for the first seed.
	Load []Point
	// Took is the virtual time of the whole run.
	Took time.Duration
	// Decisions counts the assignments.
	Decisions int
}

// Point is the number of running streams at a time, and the loads in progress.
type Point struct {
	At      time.Duration
	Running int
	Loading int
}

// server is one engine with its name and what was last reported of it.
type server struct {
	name   string
	e      *model.Engine
	down   bool
	report engine.Load
	// pushed counts what was pushed since the report, for the baselines.
	pushed int
}

// run is one run of one policy on one seed.
type run struct {
	c     *Config
	p     *Policy
	seed  uint64
	now   time.Time
	start time.Time
	todo  eventqueue.Agenda

	servers  []*server
	byName   map[string]*server
	table    *owner.Table
	orders   *weights.Orders
	permits  *weights.Permits
	trainers []*trainerRun
	// work holds what each running stream was assigned.
	work map[string]rollout.Work
	rng  *rand.Rand
	// lag is the age of reports.
	lag   time.Duration
	rr    int
	chat  map[string]time.Time
	chats int
	// bind maps a stream to the attempt that drew its length, over its moves.
	bind map[rollout.Stream]string
	// store is when the weight store gives out the next load.
	store  time.Time
	asking bool
	over   bool
	res    Result
}

// epoch is the time at which every run begins.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// Run runs one policy on one seed.
func Run(c *Config, p *Policy, seed uint64) *Result {
	r := &run{
		c: c, p: p, seed: seed, now: epoch, start: epoch,
		byName: make(map[string]*server), work: make(map[string]rollout.Work), chat: make(map[string]time.Time),
		rng: rand.New(rand.NewPCG(seed, 99)), bind: make(map[rollout.Stream]string),
		table:   owner.New(owner.Config{Reserve: p.Reserve}),
		orders:  weights.NewOrders(weights.Config{LoadLimit: time.Minute, Retry: 500 * time.Millisecond}),
		permits: weights.NewPermits(weights.PermitConfig{AtOnce: p.LoadsAtOnce, Lease: 30 * time.Second, Retry: 200 * time.Millisecond}),
		res:     Result{Policy: p.Name, Seed: seed},
	}
	r.lag = c.Lag.D()
	if p.Lag > 0 {
		r.lag = p.Lag.D()
	}
	r.build()
	r.loop()
	r.close()
	return &r.res
}

func (r *run) build() {
	var l []owner.Owned
	for i := range r.c.Engines {
		m := r.c.Engine
		m.LoadTime, m.Pause, m.LoadFails = r.c.Load.D(), r.c.Pause.D(), r.c.Faults.LoadFails
		m.Seed = r.seed*1000 + uint64(i)
		s := &server{name: fmt.Sprintf("engine-%d", i), e: model.NewEngine(r.now, m)}
		r.servers = append(r.servers, s)
		r.byName[s.name] = s
		express := 0
		if i < r.p.Express {
			express = r.p.ExpressBatch
		}
		l = append(l, owner.Owned{Server: release.Server{Name: s.name, Deployment: "d", Capacity: m.Batch}, Interactive: r.p.Reserve > 0, Express: express})
	}
	r.table.Own(l)
	for i := range r.c.Trainers {
		t := newTrainerRun(r, &r.c.Trainers[i])
		r.trainers = append(r.trainers, t)
	}
	for _, s := range r.servers {
		r.takeReport(s, s.load())
	}
	for _, t := range r.trainers {
		t.begin()
	}
	r.after(r.c.Report.D(), r.reports)
	if r.c.Chat.Rate > 0 {
		r.after(r.gap(r.c.Chat.Rate), r.chatArrives)
	}
	if d := r.c.Faults.EngineDeaths.D(); d > 0 {
		r.after(r.gap(1/sec(d)), r.engineDies)
	}
	r.askSoon()
}

// gap returns a random time between two events of a rate a second.
func (r *run) gap(rate float64) time.Duration {
	return time.Duration(r.rng.ExpFloat64() / rate * 1e9)
}

// after schedules an event.
func (r *run) after(d time.Duration, f func()) {
	r.todo.Add(r.now.Add(d), f)
}

// loop runs events and engines until all trainers are done.
func (r *run) loop() {
	for !r.over {
		t, ok := r.next()
		if !ok {
			panic(fmt.Sprintf("experiment %s, policy %s, seed %d stands still", r.c.Name, r.p.Name, r.seed))
		}
		r.now = t
		for _, s := range r.servers {
			for _, x := range s.e.Advance(r.now) {
				r.finished(s, x)
			}
		}
		for _, f := r.todo.Take(r.now); f != nil; _, f = r.todo.Take(r.now) {
			f()
		}
		for _, x := range r.trainers {
			x.turn()
		}
	}
}

// next returns the time of the next event.
func (r *run) next() (time.Time, bool) {
	t, ok := r.todo.Next()
	for _, s := range r.servers {
		if n, has := s.e.Next(); has && (!ok || n.Before(t)) {
			t, ok = n, true
		}
	}
	if ok && t.Before(r.now) {
		t = r.now
	}
	return t, ok
}

func (r *run) close() {
	r.res.Took = r.now.Sub(r.start)
	for _, s := range r.servers {
		r.res.Swaps += s.e.Swaps
		r.res.Failures += s.e.Failures
	}
}

// load returns what an engine would report now.
func (s *server) load() engine.Load {
	n, w := s.e.Counts()
	f := s.e.Failed()
	return engine.Load{Running: n, Waiting: w, Versions: s.e.Versions(), Loading: s.e.Loading(), Failed: f}
}

// reports takes the reports of all engines, which arrive after the lag.
func (r *run) reports() {
	point := Point{At: r.now.Sub(r.start)}
	for _, s := range r.servers {
		n, _ := s.e.Counts()
		point.Running += n
		if s.e.Loading() {
			point.Loading++
		}
		if s.down {
			continue
		}
		l := s.load()
		r.after(r.lag, func() { r.takeReport(s, l) })
	}
	r.res.Load = append(r.res.Load, point)
	r.after(r.c.Report.D(), r.reports)
	r.after(r.lag, r.order)
	for _, t := range r.trainers {
		for _, p := range t.steps {
			p.progress()
			p.Tick(r.now)
		}
	}
	r.askSoon()
}

func (r *run) takeReport(s *server, l engine.Load) {
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

// order carries out the steps of the weight loads that are due.
func (r *run) order() {
	for _, t := range r.trainers {
		for _, s := range r.servers {
			if t.version > 1 {
				r.orders.Want(weights.Target{Server: s.name, Model: t.c.Name}, t.version)
			}
		}
	}
	for {
		l := r.orders.Next(r.now)
		if len(l) == 0 {
			return
		}
		for _, x := range l {
			r.carryOut(x)
		}
	}
}

func (r *run) carryOut(x weights.Step) {
	s := r.byName[x.Server]
	if x.Permit {
		ok, after := r.permits.Ask(r.now, x.Target)
		r.orders.Permitted(r.now, x.Target, ok, after)
		if !ok {
			r.after(after, r.order)
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
		if r.store.Before(r.now) {
			r.store = r.now
		}
		r.store = r.store.Add(time.Duration(1e9 / r.c.StoreRate))
		wait = r.store.Sub(r.now)
	}
	r.after(wait, func() {
		if !s.down {
			s.e.Load(r.now, x.Model, int64(x.Version))
		}
		r.after(r.c.Load.D()+time.Millisecond, func() { r.permits.Done(x.Target) })
	})
}

// askSoon lets the owners ask for work after a round trip.
func (r *run) askSoon() {
	if r.asking {
		return
	}
	r.asking = true
	r.after(2*r.c.Hop.D(), func() {
		r.asking = false
		r.ask()
	})
}

// ask offers room to the trainers in turn, as the daemon's owners do.
func (r *run) ask() {
	if r.p.Placement != LateBinding {
		r.push()
		return
	}
	for _, t := range r.turns() {
		o := r.table.Offers(r.now, "d", t.c.Name)
		for i := range o {
			o[i].Version = max(1, o[i].Version)
		}
		for _, p := range t.steps {
			w := p.Ask(r.now, "host", o)
			for i := range w {
				for j := range o {
					if o[j].Server == w[i].Server {
						o[j].Room--
					}
				}
				r.begin(w[i])
			}
			r.give(p.Moves(r.now, o))
		}
	}
}

// turns returns the trainers, the one with the fewest streams for its share first.
func (r *run) turns() []*trainerRun {
	n := make(map[string]int)
	for _, w := range r.work {
		n[w.Key.Trainer]++
	}
	var q []owner.Turn
	for _, t := range r.trainers {
		q = append(q, owner.Turn{Trainer: t.c.Name, Share: t.share(), Running: n[t.c.Name], Left: t.left(), Since: t.since()})
	}
	owner.Turns(q, r.p.Rule)
	var l []*trainerRun
	for _, x := range q {
		l = append(l, r.trainer(x.Trainer))
	}
	return l
}

// push assigns all pending samples at once, as the baselines do.
func (r *run) push() {
	for _, t := range r.trainers {
		for _, p := range t.steps {
			for p.Counts().Pending > 0 {
				s := r.choose()
				if s == nil {
					return
				}
				v := rollout.Version(max(1, s.report.Versions[t.c.Name]))
				w := p.Ask(r.now, "host", []rollout.Offer{{Server: s.name, Room: 1, Version: v, Until: -1}})
				if len(w) == 0 {
					break
				}
				s.pushed++
				r.begin(w[0])
			}
		}
	}
}

// choose returns the engine that a baseline pushes the next sample to.
func (r *run) choose() *server {
	var best *server
	switch r.p.Placement {
	case RoundRobin:
		for range r.servers {
			r.rr++
			if s := r.servers[r.rr%len(r.servers)]; !s.down {
				return s
			}
		}
	default:
		for _, s := range r.servers {
			if !s.down && (best == nil || s.load1() < best.load1()) {
				best = s
			}
		}
	}
	return best
}

func (s *server) load1() int { return s.report.Running + s.report.Waiting + s.pushed }

// begin starts an assigned stream on its engine.
func (r *run) begin(w rollout.Work) {
	s := r.byName[w.Server]
	id := w.ID()
	if s.down {
		r.lost(w, nil)
		return
	}
	if r.p.Placement == LateBinding {
		if err := r.table.Start(w.Server, id, owner.Rollout); err != nil {
			r.lost(w, nil)
			return
		}
	}
	r.res.Decisions++
	r.work[id] = w
	g := w.Key.String() + "/" + strconv.Itoa(int(w.Group))
	x := &model.Stream{ID: id, Model: w.Key.Trainer, Prefix: g, Priority: w.Priority}
	// The length belongs to the slot, so that a sample which goes on elsewhere is
	// the same one; a fresh attempt draws anew.
	name := id
	if w.Resume != nil {
		name = w.Resume.ID()
		if n, ok := r.bind[w.Resume.Stream]; ok {
			name = n
		}
		x.Given = w.Resume.Tokens
	}
	r.bind[w.Stream] = name
	l := r.c.Lengths
	l.Seed += r.seed
	x.Length = max(x.Given+1, l.Draw(g, name, r.c.MaxTokens))
	s.e.Add(r.now, x)
}

// finished takes a stream that has all its tokens.
func (r *run) finished(s *server, x *model.Stream) {
	if t, ok := r.chat[x.ID]; ok {
		delete(r.chat, x.ID)
		r.res.Chat = append(r.res.Chat, sec(r.now.Sub(t)))
		r.table.End(s.name, x.ID)
		s.e.Remove(r.now, x.ID)
		return
	}
	w, ok := r.work[x.ID]
	if !ok {
		return
	}
	m := r.sample(s, x, &w)
	r.drop(s, x.ID)
	t := r.trainer(w.Key.Trainer)
	r.after(r.c.Hop.D(), func() {
		if p := t.step(w.Key.Step); p != nil {
			r.give(p.Seal(r.now, m))
			t.ready = true
		}
	})
	r.askSoon()
}

// sample returns the tokens that a stream has produced so far.
func (r *run) sample(s *server, x *model.Stream, w *rollout.Work) *rollout.Sample {
	m := &rollout.Sample{Stream: w.Stream, Server: s.name, Finish: "stop"}
	if w.Resume != nil {
		m.Segments, m.Tokens = slices.Clone(w.Resume.Segments), w.Resume.Tokens
	}
	for _, g := range s.e.Note(x) {
		if err := m.Extend(g.First, g.End, rollout.Version(g.Version)); err != nil {
			panic(err)
		}
	}
	return m
}

// drop forgets a stream.
func (r *run) drop(s *server, id string) {
	s.e.Remove(r.now, id)
	delete(r.work, id)
	r.table.End(s.name, id)
}

// lost tells the coordinator of a stream that ended without a sample.
func (r *run) lost(w rollout.Work, m *rollout.Sample) {
	r.after(r.c.Hop.D(), func() {
		if p := r.trainer(w.Key.Trainer).step(w.Key.Step); p != nil {
			n := 0
			if m != nil {
				n = m.Tokens
			}
			p.Failed(w.Stream, n, m)
			r.askSoon()
		}
	})
}

// give carries out cancellations and moves.
func (r *run) give(l []rollout.Cancel) {
	for _, c := range l {
		id := c.Stream.ID()
		w, ok := r.work[id]
		if !ok {
			continue
		}
		s := r.byName[w.Server]
		m := r.sample(s, s.e.Stream(id), &w)
		r.drop(s, id)
		if c.Move {
			if m.Tokens == 0 {
				m = nil
			}
			r.lost(w, m)
		}
	}
	if len(l) > 0 {
		r.askSoon()
	}
}

func (r *run) trainer(name string) *trainerRun {
	for _, t := range r.trainers {
		if t.c.Name == name {
			return t
		}
	}
	return nil
}

// chatArrives starts an interactive completion.
func (r *run) chatArrives() {
	r.after(r.gap(r.c.Chat.Rate), r.chatArrives)
	r.chats++
	id := fmt.Sprintf("chat/%d", r.chats)
	name, err := r.table.Pick("d")
	if err == nil {
		err = r.table.Start(name, id, owner.Interactive)
	}
	if err != nil {
		// With the batch full of rollouts the engine queues the completion.
		if outcome.Is(err, outcome.ReasonNoServer) {
			return
		}
		name = r.choose().name
	}
	x := &model.Stream{ID: id, Model: "", Prefix: "chat", Length: r.c.Chat.Tokens}
	if r.p.ChatPriority {
		x.Priority = 8
	}
	r.chat[id] = r.now
	r.byName[name].e.Add(r.now, x)
}

// engineDies crashes a random engine: its streams and its versions are lost.
func (r *run) engineDies() {
	r.after(r.gap(1/sec(r.c.Faults.EngineDeaths.D())), r.engineDies)
	s := r.servers[r.rng.IntN(len(r.servers))]
	if s.down {
		return
	}
	r.res.Deaths++
	for _, id := range s.e.IDs() {
		w, ok := r.work[id]
		x := s.e.Stream(id)
		if !ok {
			delete(r.chat, id)
			r.table.End(s.name, id)
			continue
		}
		m := r.sample(s, x, &w)
		if m.Tokens == 0 {
			m = nil
		}
		r.drop(s, id)
		r.lost(w, m)
	}
	s.down = true
	r.table.Down(s.name)
	swaps, fails := s.e.Swaps, s.e.Failures
	r.after(r.c.Faults.Repair.D(), func() {
		m := r.c.Engine
		m.LoadTime, m.Pause, m.LoadFails = r.c.Load.D(), r.c.Pause.D(), r.c.Faults.LoadFails
		m.Seed = r.rng.Uint64()
		s.e = model.NewEngine(r.now, m)
		s.e.Swaps, s.e.Failures = swaps, fails
		s.down = false
		// A new process starts from the newest weights that were published.
		for _, t := range r.trainers {
			s.e.Load(r.now, t.c.Name, int64(t.version))
		}
		r.askSoon()
	})
}

// limit returns the shortest time that a step's samples can take.
func (r *run) limit(t *trainerRun, p *stepRun) time.Duration {
	work, longest := 0.0, 0.0
	for i := range t.c.Groups {
		g := p.Key().String() + "/" + strconv.Itoa(i*t.c.Samples)
		for j := range t.c.Samples {
			w := rollout.Stream{Key: p.Key(), Slot: rollout.Slot(i*t.c.Samples + j)}
			l := r.c.Lengths
			l.Seed += r.seed
			n := float64(l.Draw(g, w.ID(), r.c.MaxTokens))
			work += n + r.c.Engine.Prefill/10
			longest = math.Max(longest, n)
		}
		work += r.c.Engine.Prefill * 0.9
	}
	share, all := t.share(), 0.0
	for _, x := range r.trainers {
		all += x.share()
	}
	d := work / (r.c.capacity() * share / all)
	d = math.Max(d, (longest+r.c.Engine.Prefill)/r.c.Engine.Speed)
	return time.Duration(d * 1e9)
}
