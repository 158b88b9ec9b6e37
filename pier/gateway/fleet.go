package gateway

import (
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/loadplan"
	"mulberrypier.example/pier/orderlease"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/stepplan"
)

const (
	// reportAge is how long a load stated in an answer is taken into account.
	reportAge = 400 * time.Millisecond
	// avoidFirst is how long a server is avoided after it failed; the time doubles
	// with each further failure up to avoidMost.
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 3 * time.Second
	// refusalsMost bounds the doublings of the time for which a full server is avoided.
	refusalsMost = 3
	// loadTime is how long an engine takes to load a version.
	loadTime = 950 * time.Millisecond
	// paceAge is how long a measured pace of a server is relied on.
	paceAge = 3 * time.Second
	// paceWeight is the weight of a new measurement.
	paceWeight = 0.5
)

// fleet is what this host knows of the backend servers.
type fleet struct {
	g  *Gateway
	mu sync.Mutex
	// dir, list and state are guarded by mu; list is replaced, never changed.
	dir   *directory.Directory
	list  map[string][]directory.Server
	state map[string]*serverState
	// changed is closed and replaced when a server may have room again.
	changed chan struct{}
}

// serverState is what this host knows of a server beside its registration.
type serverState struct {
	// running is the number of requests that this host has at the server.
	running int
	// load is what the server last stated, at loadAt; own is running at that time.
	load   backend.Load
	loadAt time.Time
	own    int
	// avoid is until when the server gets work only if no other can; fails counts
	// the failures in a row.
	avoid time.Time
	fails int
	// refusals counts the requests in a row that the server had no room for.
	refusals int
	// ordered holds the versions that the server was ordered to load.
	ordered map[string]orderedVersion
	// pace is the time between two events of a generation, measured at paced.
	pace  time.Duration
	paced time.Time
}

type orderedVersion struct {
	version int64
	ready   time.Time
}

func newFleet(g *Gateway) *fleet {
	return &fleet{
		g: g, dir: directory.New(), list: make(map[string][]directory.Server),
		state: make(map[string]*serverState), changed: make(chan struct{}),
	}
}

func (f *fleet) run() {
	w := follower{g: f.g, topic: f.g.c.Sources.Servers, put: f.put, whole: f.whole, pass: f.pass, pace: serversPace}
	w.run()
}

func (f *fleet) put(key string, value []byte, offset int64) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(value) == 0 {
		f.dir.Remove(key, now)
		f.g.log.Info("servers: registration removed", zap.String("server", key), zap.Int64("offset", offset))
		return
	}
	s, err := f.g.c.Sources.ReadServer(key, value)
	if err != nil {
		f.g.metrics.unreadable.WithLabelValues(f.g.c.Sources.Servers).Inc()
		f.g.log.Warn("servers: record cannot be read", zap.String("server", key), zap.Int64("offset", offset), zap.Error(err))
		return
	}
	f.dir.Put(s)
}

func (f *fleet) whole(keys map[string]bool) {
	f.mu.Lock()
	f.dir.Retain(keys, time.Now())
	f.mu.Unlock()
}

func (f *fleet) pass(err error) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.dir.LogAway()
	} else {
		f.dir.LogBack(now)
	}
	if f.dir.Changed() {
		f.rebuild(now)
	}
}

// rebuild makes the lists of servers by service. The caller holds mu.
func (f *fleet) rebuild(now time.Time) {
	l := make(map[string][]directory.Server)
	known := make(map[string]bool)
	for _, s := range f.dir.Snapshot(now) {
		known[s.ID] = true
		l[s.Service] = append(l[s.Service], s)
		if f.state[s.ID] == nil {
			f.state[s.ID] = &serverState{ordered: make(map[string]orderedVersion)}
		}
	}
	for id, t := range f.state {
		if !known[id] && t.running == 0 {
			delete(f.state, id)
		}
	}
	f.list = l
	f.signal()
}

// signal wakes those that wait for room. The caller holds mu.
func (f *fleet) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// room returns a channel that is closed when a server may have room.
func (f *fleet) room() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// lease is the use of a server by one request of this host.
type lease struct {
	f *fleet
	s directory.Server
}

// engine picks the engine for a sample and reserves a place there.
func (f *fleet) engine(service, model string, min int64, slots int) (*lease, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, at := f.engines(service, model, slots, time.Now())
	i := stepplan.Pick(c, min)
	if i < 0 {
		return nil, false
	}
	s := f.list[service][at[i]]
	f.state[s.ID].running++
	return &lease{f: f, s: s}, true
}

// moves returns the places of the runs that should go on at another engine.
func (f *fleet) moves(service, model string, slots int, runs []stepplan.Run, most int) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, _ := f.engines(service, model, slots, time.Now())
	return stepplan.Moves(c, runs, most)
}

// engines returns the engines that take samples, and their places in the list of
// the service. The caller holds mu.
func (f *fleet) engines(service, model string, slots int, now time.Time) ([]stepplan.Engine, []int) {
	l := f.list[service]
	c := make([]stepplan.Engine, 0, len(l))
	at := make([]int, 0, len(l))
	fastest := f.fastest(l, now)
	for i, s := range l {
		t := f.state[s.ID]
		if s.Leaving || now.Before(t.avoid) {
			continue
		}
		n := s.Slots
		if n == 0 {
			n = slots
		}
		at = append(at, i)
		c = append(c, stepplan.Engine{
			ID: s.ID, Version: t.version(s, model, now), Slots: n,
			Running: t.used(now), Near: s.Domain == f.g.s.Domain, Slowness: t.slowness(fastest, now),
		})
	}
	return c, at
}

// fastest returns the pace of the fastest server, 0 if none was measured. The
// caller holds mu.
func (f *fleet) fastest(l []directory.Server, now time.Time) time.Duration {
	var r time.Duration
	for _, s := range l {
		t := f.state[s.ID]
		if t.pace > 0 && now.Sub(t.paced) < paceAge && (r == 0 || t.pace < r) {
			r = t.pace
		}
	}
	return r
}

// slowness returns the server's pace as a multiple of the fastest one's, 1 if it
// is not known.
func (t *serverState) slowness(fastest time.Duration, now time.Time) float64 {
	if fastest == 0 || t.pace == 0 || now.Sub(t.paced) >= paceAge {
		return 1
	}
	return float64(t.pace) / float64(fastest)
}

// paced takes the time between two events that a generation showed.
func (u *lease) paced(d time.Duration) {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	t := u.f.state[u.s.ID]
	if t == nil {
		return
	}
	now := time.Now()
	if t.pace == 0 || now.Sub(t.paced) >= paceAge {
		t.pace = d
	} else {
		t.pace += time.Duration(paceWeight * float64(d-t.pace))
	}
	t.paced = now
}

// version returns the version of a model that the server is believed to hold.
func (t *serverState) version(s directory.Server, model string, now time.Time) int64 {
	v := s.Versions[model]
	if o, ok := t.ordered[model]; ok && !now.Before(o.ready) {
		v = max(v, o.version)
	}
	return v
}

// used returns how many requests are at the server, as far as is known: those of
// this host, and those of others when the server last told.
func (t *serverState) used(now time.Time) int {
	n := t.running
	if now.Sub(t.loadAt) < reportAge {
		n += max(t.load.Running+t.load.Waiting-t.own, 0)
	}
	return n
}

// plain picks a server for a plain request, beside those in tried.
func (f *fleet) plain(service string, tried map[string]bool) (*lease, bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	best, bestCost := -1, 0.0
	l := f.list[service]
	for i, s := range l {
		t := f.state[s.ID]
		if s.Leaving || tried[s.ID] {
			continue
		}
		c := float64(t.used(now)) / float64(max(s.Slots, 1))
		if now.Before(t.avoid) {
			c += avoidCost
		}
		if s.Domain != f.g.s.Domain {
			c += farCost
		}
		if best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	if best < 0 {
		return nil, false
	}
	f.state[l[best].ID].running++
	return &lease{f: f, s: l[best]}, true
}

const (
	// avoidCost puts a server that failed just now behind all others.
	avoidCost = 100
	// farCost is the load that another failure domain's round trip is worth.
	farCost = 0.1
)

// observe takes what a server says of itself in an answer.
func (u *lease) observe(a *backend.Response) {
	l, ok := a.Load()
	if !ok {
		return
	}
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.state[u.s.ID]; t != nil {
		t.load, t.loadAt, t.own = l, time.Now(), t.running
	}
}

// version takes the version that a server states for a model.
func (u *lease) version(model string, v int64) {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.state[u.s.ID]; t != nil && t.ordered[model].version > v {
		delete(t.ordered, model)
	}
	if u.f.dir.Observe(u.s.ID, model, v) {
		u.f.rebuild(time.Now())
	}
}

// failed puts the server behind others for a while.
func (u *lease) failed(reason string) {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	t := u.f.state[u.s.ID]
	if t == nil {
		return
	}
	d := backoff.Doubled(avoidFirst, avoidMost, t.fails)
	t.fails++
	t.avoid = time.Now().Add(d)
	u.f.g.log.Info("servers: avoided", zap.String("server", u.s.ID), zap.String("reason", reason), zap.Duration("for", d))
}

// refused takes a refusal. A server without room gets no work for d, and for twice
// as long with each refusal in a row; another server at the address is a failure.
func (u *lease) refused(r *backend.Response, d time.Duration) {
	if r.Status == http.StatusMisdirectedRequest {
		u.failed(string(outcome.ReasonNotOwner))
		return
	}
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.state[u.s.ID]; t != nil {
		t.avoid = time.Now().Add(backoff.Doubled(d, d<<refusalsMost, t.refusals))
		t.refusals++
	}
}

// accepted takes the beginning of an answer.
func (u *lease) accepted() {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.state[u.s.ID]; t != nil {
		t.refusals = 0
	}
}

// served takes a success.
func (u *lease) served() {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.state[u.s.ID]; t != nil {
		t.fails = 0
	}
}

// done gives the place back.
func (u *lease) done() {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	u.f.state[u.s.ID].running--
	u.f.signal()
}

// ordered takes an order that was given to a server, by this host or another.
func (f *fleet) ordered(o orderlease.Load, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.state[o.Server]; t != nil {
		t.ordered[o.Model] = orderedVersion{version: o.Version, ready: now.Add(loadTime)}
	}
}

// notLoaded takes back an order that was not carried out.
func (f *fleet) notLoaded(server, model string, v int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.state[server]; t != nil && t.ordered[model].version == v {
		delete(t.ordered, model)
	}
}

// hasVersion takes the version that a server was found to have.
func (f *fleet) hasVersion(server, model string, v int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dir.Observe(server, model, v) {
		f.rebuild(time.Now())
	}
}

// loadable returns the servers of a service that may load weights, with the versions
// that they hold or will hold soon.
func (f *fleet) loadable(service string, now time.Time) []loadplan.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []loadplan.Server
	for _, s := range f.list[service] {
		if s.Leaving {
			continue
		}
		v := make(map[string]int64)
		for m := range s.Versions {
			v[m] = f.state[s.ID].version(s, m, now)
		}
		l = append(l, loadplan.Server{ID: s.ID, Versions: v})
	}
	return l
}

// server returns a registered server.
func (f *fleet) server(id string) (directory.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.list {
		for _, s := range l {
			if s.ID == id {
				return s, true
			}
		}
	}
	return directory.Server{}, false
}
