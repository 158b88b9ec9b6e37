package experiment

import (
	"time"

	"mulberrypier.example/mulberrybench/internal/model"
	"mulberrypier.example/pier/engine"
	"mulberrypier.example/pier/rollout"
	"mulberrypier.example/pier/weights"
)

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
		r.after(r.c.Load.D()+time.Millisecond, func() { r.permits.Release(x.Target) })
	})
}

// estimatedStreams returns the number of streams of the last report plus those pushed
// since.
func (s *server) estimatedStreams() int { return s.report.Running + s.report.Waiting + s.pushed }

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
